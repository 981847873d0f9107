// Package routercmd assembles the router program.
package routercmd

import (
	"net/netip"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// Settings are the settings of a router, with a field for each section.
type Settings struct {
	Host        program.HostSection
	Router      RouterSection
	Control     program.ControlSection
	Dispatchers DispatchersSection
}

// RouterSection is the [Router] section.
type RouterSection struct {
	// Callers is the address for callers, Targets the address to which targets announce
	// themselves.
	Callers netip.AddrPort
	Targets netip.AddrPort
	// StopLimit bounds a planned stop; requests that still run then are aborted.
	StopLimit time.Duration `default:"15m" min:"1s" max:"24h"`
	// MaxConnections bounds the open connections of all callers.
	MaxConnections int `default:"20000" min:"1" max:"1000000"`
	// BodyGrace bounds the wait for a request header and for a body's first bytes,
	// WriteTimeout each write of a part of a response to a caller.
	BodyGrace    time.Duration `default:"5s" min:"100ms" max:"10m"`
	WriteTimeout time.Duration `default:"10s" min:"100ms" max:"10m"`
	// EventLog is the path of a file that records the reducer's events; empty for none.
	EventLog string `default:""`
}

// DispatchersSection is the [Dispatchers] section.
type DispatchersSection struct {
	// Addresses lists the addresses of all dispatchers.
	Addresses []netip.AddrPort
}
