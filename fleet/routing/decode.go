package routing

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
)

// decoders maps the names of the router's events to their decoders.
var decoders = map[string]func(json.RawMessage) (fleet.Event, error){
	RequestAccepted{}.EventName():   eventlog.DecodeAs[RequestAccepted],
	LedgerBegun{}.EventName():       eventlog.DecodeAs[LedgerBegun],
	LedgerEnded{}.EventName():       eventlog.DecodeAs[LedgerEnded],
	DispatcherUp{}.EventName():      eventlog.DecodeAs[DispatcherUp],
	DispatcherDown{}.EventName():    eventlog.DecodeAs[DispatcherDown],
	ReportLost{}.EventName():        eventlog.DecodeAs[ReportLost],
	GrantsReceived{}.EventName():    eventlog.DecodeAs[GrantsReceived],
	AnswerBegun{}.EventName():       eventlog.DecodeAs[AnswerBegun],
	AttemptProgressed{}.EventName(): eventlog.DecodeAs[AttemptProgressed],
	AttemptEnded{}.EventName():      eventlog.DecodeAs[AttemptEnded],
	AttemptReleased{}.EventName():   eventlog.DecodeAs[AttemptReleased],
	CallerGone{}.EventName():        eventlog.DecodeAs[CallerGone],
	TargetAnnounced{}.EventName():   eventlog.DecodeAs[TargetAnnounced],
	ConfigConfirmed{}.EventName():   eventlog.DecodeAs[ConfigConfirmed],
	StopRequested{}.EventName():     eventlog.DecodeAs[StopRequested],
	StopForced{}.EventName():        eventlog.DecodeAs[StopForced],
	Tick{}.EventName():              eventlog.DecodeAs[Tick],
	fleet.Expired{}.EventName():     decodeExpired,
}

// Decode returns the router event of a name and its JSON, for eventlog.Each. It fails for names
// of other reducers' events.
func Decode(name string, raw json.RawMessage) (fleet.Event, error) {
	decode, ok := decoders[name]
	if !ok {
		return nil, errors.Errorf("the router has no event %q", name)
	}
	return decode(raw)
}

// decodeExpired decodes fleet.Expired; StartSend is the only effect of a router that can
// expire.
func decodeExpired(raw json.RawMessage) (fleet.Event, error) {
	var ev struct{ Effect StartSend }
	if err := json.Unmarshal(raw, &ev); err != nil {
		return nil, errors.Wrap(err, "decode event Expired")
	}
	return fleet.Expired{Effect: ev.Effect}, nil
}
