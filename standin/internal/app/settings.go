package app

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

// Settings is the settings file of a stand-in target.
type Settings struct {
	Target  TargetSection
	Routers RoutersSection
}

// TargetSection is the [Target] section.
type TargetSection struct {
	// Target names the target.
	Target     fleet.TargetID
	Service    fleet.ServiceName
	DataCentre fleet.DataCentreName
	// Listen is where it takes requests, and the orders of tests.
	Listen   netip.AddrPort
	Slots    fleet.Slots    `min:"1" max:"4096"`
	Protocol fleet.Protocol `allowed:"Model, Plain"`
	// Record is the file that keeps the record of runs over a crash; empty for none.
	Record string `default:""`
	// FirstToken and TokenInterval are the timing of a model engine.
	FirstToken    time.Duration `default:"20ms" min:"0s" max:"1m"`
	TokenInterval time.Duration `default:"10ms" min:"0s" max:"1m"`
	// ServiceTime is how long a call of a plain service takes.
	ServiceTime time.Duration `default:"20ms" min:"0s" max:"1m"`
	// ColdSlots requests run at once until WarmAfter requests have completed.
	ColdSlots   fleet.Slots        `default:"1" min:"1" max:"4096"`
	WarmAfter   int                `default:"0" min:"0" max:"1000000"`
	ColdFailure engine.ColdFailure `default:"Overloaded" allowed:"Overloaded, Error, Crash"`
}

// Check implements fleet.Checker.
func (s *TargetSection) Check() error {
	if err := fleet.CheckName("Target", string(s.Target)); err != nil {
		return err
	}
	if s.ColdSlots > s.Slots {
		return errors.Errorf("ColdSlots is %d; at most Slots, %d, are allowed", s.ColdSlots, s.Slots)
	}
	return nil
}

// RoutersSection is the [Routers] section.
type RoutersSection struct {
	// Announce lists the addresses at which routers take announcements.
	Announce []netip.AddrPort
}
