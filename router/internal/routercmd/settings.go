// Package routercmd wires the router program together.
package routercmd

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// Settings are the settings of a router.
type Settings struct {
	Host        program.HostSection
	Router      RouterSection
	Control     program.ControlSection
	Dispatchers DispatchersSection
}

// RouterSection is the [Router] section.
type RouterSection struct {
	// Callers is the address for callers, Targets the one to which targets announce themselves.
	Callers netip.AddrPort
	Targets netip.AddrPort
	// StopLimit bounds a planned stop.
	StopLimit time.Duration `default:"15m" min:"1s" max:"24h"`
	// MaxConnections bounds the open connections of all callers.
	MaxConnections int `default:"20000" min:"1" max:"1000000"`
	// BodyGrace bounds the wait for a header and for a body's first bytes, WriteTimeout
	// the write of one part of an answer to a caller.
	BodyGrace    time.Duration `default:"5s" min:"100ms" max:"10m"`
	WriteTimeout time.Duration `default:"10s" min:"100ms" max:"10m"`
	// EventLog is a file that records the events of the reducer; empty for none.
	EventLog string `default:""`
}

// DispatchersSection is the [Dispatchers] section.
type DispatchersSection struct {
	// Addresses lists all dispatchers.
	Addresses []netip.AddrPort
}
