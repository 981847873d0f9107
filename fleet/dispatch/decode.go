package dispatch

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
)

// Decode decodes a recorded event of the dispatcher; it fails if there is no event of that
// name. It is an eventlog.Decoder.
func Decode(name string, raw json.RawMessage) (fleet.Event, error) {
	switch name {
	case ReportReceived{}.EventName():
		return eventlog.DecodeAs[ReportReceived](raw)
	case RouterDisconnected{}.EventName():
		return eventlog.DecodeAs[RouterDisconnected](raw)
	case ConfigConfirmed{}.EventName():
		return eventlog.DecodeAs[ConfigConfirmed](raw)
	case LeaseHeld{}.EventName():
		return eventlog.DecodeAs[LeaseHeld](raw)
	case LeaseLost{}.EventName():
		return LeaseLost{}, nil
	case Tick{}.EventName():
		return Tick{}, nil
	case fleet.Expired{}.EventName():
		return decodeExpired(raw)
	}
	return nil, errors.Errorf("event %q does not exist in the dispatcher", name)
}

func decodeExpired(raw json.RawMessage) (fleet.Event, error) {
	var ev struct{ Effect SendGrants }
	if err := json.Unmarshal(raw, &ev); err != nil {
		return nil, errors.Wrap(err, "decode event Expired")
	}
	return fleet.Expired{Effect: ev.Effect}, nil
}
