package replay

import (
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
)

// errRoleDetected stops the reading of a log once its role has been detected.
var errRoleDetected = errors.New("role detected")

// detectConfig returns an Outcome without decisions, with the role and the reducer's
// configuration as far as the events of the log show them.
func detectConfig(log io.ReadSeeker) (Outcome, error) {
	o := Outcome{Role: roleDispatcher, Host: "dispatcher", StandingGrants: true}
	err := eventlog.ForEach(log, dispatch.Decode, func(_ time.Time, ev fleet.Event) error {
		if _, ok := ev.(dispatch.ReportReceived); ok {
			return errRoleDetected
		}
		return nil
	})
	if errors.Is(err, errRoleDetected) {
		return o, nil
	}
	if _, err := log.Seek(0, io.SeekStart); err != nil {
		return o, errors.Wrap(err, "read event log")
	}
	return detectRouterConfig(log)
}

// detectRouterConfig is detectConfig for the log of a router. It fails if the log contains
// events of several incarnations.
func detectRouterConfig(log io.Reader) (Outcome, error) {
	o := Outcome{Role: roleRouter, Host: "router"}
	err := eventlog.ForEach(log, routing.Decode, func(_ time.Time, ev fleet.Event) error {
		switch e := ev.(type) {
		case routing.DispatcherUp:
			if !slices.Contains(o.Dispatchers, e.Peer) {
				o.Dispatchers = append(o.Dispatchers, e.Peer)
			}
		case routing.GrantsReceived:
			if o.Incarnation != 0 && o.Incarnation != e.Message.RouterIncarnation {
				return errors.New("the log contains a restart of the router; record each incarnation in a file of its own")
			}
			o.Host, o.Incarnation = e.Message.Router, e.Message.RouterIncarnation
		}
		return nil
	})
	slices.Sort(o.Dispatchers)
	return o, err
}
