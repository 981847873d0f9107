package app

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
)

// Settings holds the settings file of a stand-in target.
type Settings struct {
	Target  TargetSection
	Routers RoutersSection
}

// TargetSection holds the section [Target].
type TargetSection struct {
	// Target is the id of the target.
	Target     fleet.TargetID
	Service    fleet.ServiceName
	DataCentre fleet.DataCentreName
	// Listen is the address for requests of routers and for fault injection by tests.
	Listen   netip.AddrPort
	Slots    fleet.Slots    `min:"1" max:"4096"`
	Protocol fleet.Protocol `allowed:"Model, Plain"`
	// Record is the file in which runs are recorded, to survive a crash; empty keeps them in
	// memory only.
	Record string `default:""`
	// FirstToken is the time to the first token of a model engine's answer, TokenInterval
	// the time between tokens.
	FirstToken    time.Duration `default:"20ms" min:"0s" max:"1m"`
	TokenInterval time.Duration `default:"10ms" min:"0s" max:"1m"`
	// ServiceTime is the duration of a call of a plain service.
	ServiceTime time.Duration `default:"20ms" min:"0s" max:"1m"`
	// ColdSlots limits the concurrent requests until WarmAfter requests have completed.
	// ColdFailure is what happens to requests above that limit.
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
		return errors.Errorf("ColdSlots is %d; it must be at most Slots, which is %d", s.ColdSlots, s.Slots)
	}
	return nil
}

// RoutersSection holds the section [Routers].
type RoutersSection struct {
	// Announce lists the addresses on which routers accept announcements.
	Announce []netip.AddrPort
}
