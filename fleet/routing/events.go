package routing

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Peer names a dispatcher by its address, since its host is not known before it answers.
type Peer string

// Events.
type (
	// RequestAccepted tells of a request whose body has been read completely.
	RequestAccepted struct {
		Request  fleet.RequestID
		Customer fleet.CustomerName
		Service  fleet.ServiceName
		// Idempotent says whether the call may be repeated.
		Idempotent bool
		Key        fleet.IdempotencyKey `json:",omitempty"`
		Content    fleet.ContentHash
		Prefix     fleet.PrefixHash `json:",omitempty"`
		Hint       fleet.Cost       `json:",omitempty"`
		// Bytes is the memory that the request holds while it waits.
		Bytes fleet.ByteSize
		// Deadline is the caller's own; zero when it gave none.
		Deadline time.Time
		// Random seeds the jitter of the request's retries.
		Random uint64
	}

	// LedgerBegun carries the ledger's reply about a call that may run once.
	LedgerBegun struct {
		Request fleet.RequestID
		// Failed says that no reply came; the begin may or may not be recorded.
		Failed bool
		Reply  fleet.LedgerBeginReply
	}

	// LedgerEnded tells that the ledger recorded the end of a call.
	LedgerEnded struct{ Request fleet.RequestID }

	// DispatcherUp tells of a new connection to a dispatcher.
	DispatcherUp struct{ Peer Peer }

	// DispatcherDown tells that no connection to a dispatcher is left.
	DispatcherDown struct{ Peer Peer }

	// ReportLost tells that a report may not have reached a dispatcher.
	ReportLost struct{ Peer Peer }

	// GrantsReceived carries a message of a dispatcher.
	GrantsReceived struct {
		Peer    Peer
		Message fleet.DispatcherGrants
	}

	// AnswerBegun tells that the first part of an answer is about to reach the caller.
	AnswerBegun struct {
		Request fleet.RequestID
		Attempt int
	}

	// AttemptProgressed tells the cost of a running attempt so far.
	AttemptProgressed struct {
		Request    fleet.RequestID
		Attempt    int
		Spent      fleet.Cost
		FirstToken time.Duration
	}

	// AttemptEnded tells how an attempt, or its resumption, ended.
	AttemptEnded struct {
		Request fleet.RequestID
		Attempt int
		Cause   Cause
		// Wrote says that a byte of the request may have reached the target.
		Wrote bool
		// Answered says that a part of the answer was passed to the caller.
		Answered bool
		// Offset is how many bytes of the answer's body arrived.
		Offset     int64
		Spent      fleet.Cost
		FirstToken time.Duration
		// RetryAfter is when the target said to come back.
		RetryAfter time.Duration
		Detail     string
		// Answer is the answer of a completed call that may run once.
		Answer *fleet.RecordedAnswer `json:",omitempty"`
	}

	// AttemptReleased tells whether the target confirmed that an attempt no longer runs.
	AttemptReleased struct {
		Request   fleet.RequestID
		Grant     fleet.GrantID
		Confirmed bool
	}

	// CallerGone tells that the caller closed its connection before the answer's end.
	CallerGone struct{ Request fleet.RequestID }

	// TargetAnnounced carries an announcement of a target.
	TargetAnnounced struct{ Announcement fleet.Announcement }

	// ConfigConfirmed carries the configuration, confirmed until NotAfter.
	ConfigConfirmed struct {
		Config   fleet.Confirmed
		NotAfter time.Time
	}

	// StopRequested begins a planned stop.
	StopRequested struct{}

	// StopForced ends all requests now.
	StopForced struct{}

	// Tick passes the time; the shell sends one every TickInterval.
	Tick struct{}
)

// TickInterval is the time between two Tick events.
const TickInterval = 20 * time.Millisecond

// Cause says how an attempt ended.
type Cause string

// The causes.
const (
	// CauseCompleted means that the whole answer arrived and was passed on.
	CauseCompleted Cause = "Completed"
	// CauseGrantExpired means that the grant lapsed before the first byte.
	CauseGrantExpired Cause = "Lapsed"
	// CauseConnectFailed means that no connection to the target could be opened.
	CauseConnectFailed Cause = "Connect"
	// CauseNotRun means that the target refused and said that it did not run the request.
	CauseNotRun Cause = "NotRun"
	// CauseUnavailable means that the target answered that it is unavailable.
	CauseUnavailable Cause = "Unavailable"
	// CauseReset means that the connection broke.
	CauseReset Cause = "Reset"
	// CauseIdleTimeout means that the target sent nothing for the idle timeout.
	CauseIdleTimeout Cause = "Silent"
	// CauseTruncated means that the answer ended before its end.
	CauseTruncated Cause = "Short"
	// CauseWrongAnswer means that the answer belongs to another request.
	CauseWrongAnswer Cause = "Wrong"
	// CauseUnknownStream means that the target does not know the stream to resume.
	CauseUnknownStream Cause = "UnknownStream"
	// CauseCallerGone means that the caller took no more of the answer.
	CauseCallerGone Cause = "Caller"
)

// notRun says whether no target ran anything of an attempt that ended so.
func (c Cause) notRun() bool {
	return c == CauseGrantExpired || c == CauseConnectFailed || c == CauseNotRun
}

// EventName implements fleet.Event.
func (RequestAccepted) EventName() string { return "RequestAccepted" }

// EventName implements fleet.Event.
func (LedgerBegun) EventName() string { return "LedgerBegun" }

// EventName implements fleet.Event.
func (LedgerEnded) EventName() string { return "LedgerEnded" }

// EventName implements fleet.Event.
func (DispatcherUp) EventName() string { return "DispatcherUp" }

// EventName implements fleet.Event.
func (DispatcherDown) EventName() string { return "DispatcherDown" }

// EventName implements fleet.Event.
func (ReportLost) EventName() string { return "ReportLost" }

// EventName implements fleet.Event.
func (GrantsReceived) EventName() string { return "GrantsReceived" }

// EventName implements fleet.Event.
func (AnswerBegun) EventName() string { return "AnswerBegun" }

// EventName implements fleet.Event.
func (AttemptProgressed) EventName() string { return "AttemptProgressed" }

// EventName implements fleet.Event.
func (AttemptEnded) EventName() string { return "AttemptEnded" }

// EventName implements fleet.Event.
func (AttemptReleased) EventName() string { return "AttemptReleased" }

// EventName implements fleet.Event.
func (CallerGone) EventName() string { return "CallerGone" }

// EventName implements fleet.Event.
func (TargetAnnounced) EventName() string { return "TargetAnnounced" }

// EventName implements fleet.Event.
func (ConfigConfirmed) EventName() string { return "ConfigConfirmed" }

// EventName implements fleet.Event.
func (StopRequested) EventName() string { return "StopRequested" }

// EventName implements fleet.Event.
func (StopForced) EventName() string { return "StopForced" }

// EventName implements fleet.Event.
func (Tick) EventName() string { return "Tick" }
