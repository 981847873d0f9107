package registry

import (
	"encoding/binary"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// callState is the state of a call in the ledger. It is stored.
type callState uint8

const (
	// callRunning is a call granted to an attempt whose end is not recorded.
	callRunning callState = iota + 1
	// callDone is a call that ran; its answer is recorded.
	callDone
	// callMayHaveRun is a call of unknown outcome.
	callMayHaveRun
	// callFree is a call that did not run; another attempt may be granted it.
	callFree
)

// call is one record of the ledger.
type call struct {
	Key    fleet.LedgerKey
	Body   fleet.ContentHash
	By     fleet.AttemptID
	State  callState
	Answer *fleet.RecordedAnswer `json:",omitempty"`
	// Ended is when the call ended, Index the log entry that recorded the end.
	Ended LogTime     `json:",omitempty"`
	Index fleet.Index `json:",omitempty"`

	// raw caches the encoded call. Encoding all calls for each snapshot would delay the
	// replica's heartbeats.
	raw []byte
}

// ledger records the calls that may run once.
type ledger struct {
	calls map[fleet.LedgerKey]*call
	// ended lists calls by the time of their end. An element is stale if its index differs
	// from that of the call.
	ended []endedCall
	// running holds the keys of the running calls of each router.
	running map[fleet.HostID]map[fleet.LedgerKey]bool
	// encodedSize is the approximate size of all encoded calls, in bytes.
	encodedSize int
}

// endedCall refers to a call that ended with the log entry index.
type endedCall struct {
	key   fleet.LedgerKey
	index fleet.Index
	at    LogTime
}

// logPosition is a log entry and its log time.
type logPosition struct {
	index fleet.Index
	now   LogTime
}

func newLedger() ledger {
	return ledger{
		calls:   map[fleet.LedgerKey]*call{},
		running: map[fleet.HostID]map[fleet.LedgerKey]bool{},
	}
}

// settledReply returns the reply to a begin that changes nothing, and false if the begin has
// to go through the log.
func (l *ledger) settledReply(r *fleet.LedgerBeginRequest) (fleet.LedgerBeginReply, bool) {
	c := l.calls[r.LedgerKey]
	if c == nil || c.State == callFree && c.hasBody(r.Body) && !isOvertaken(c.By, r.By) {
		return fleet.LedgerBeginReply{}, false
	}
	return c.reply(r), true
}

// reply answers a begin for a recorded call that is not granted to it now.
func (c *call) reply(r *fleet.LedgerBeginRequest) fleet.LedgerBeginReply {
	switch {
	case !c.hasBody(r.Body):
		return fleet.LedgerBeginReply{State: fleet.LedgerMismatch}
	case c.State == callDone:
		return fleet.LedgerBeginReply{State: fleet.LedgerDone, Answer: c.Answer}
	case c.State == callMayHaveRun:
		return fleet.LedgerBeginReply{State: fleet.LedgerMayHaveRun}
	case c.State == callRunning && c.By == r.By:
		// The attempt repeats its request because the reply was lost, so it has sent nothing.
		return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
	}
	return fleet.LedgerBeginReply{State: fleet.LedgerRunning}
}

// hasBody reports whether the call may have the body b. A call whose end was recorded before
// its begin has no body.
func (c *call) hasBody(b fleet.ContentHash) bool { return c.Body == "" || c.Body == b }

// isOvertaken reports whether asking is the attempt that ended, or an earlier one of the
// same router: its begin was then overtaken by that end.
func isOvertaken(ended, asking fleet.AttemptID) bool {
	if ended.Router != asking.Router {
		return false
	}
	if ended.Incarnation != asking.Incarnation {
		return asking.Incarnation < ended.Incarnation
	}
	return asking.Attempt <= ended.Attempt
}

// begin grants the call to the attempt in r, unless its state is settled.
func (l *ledger) begin(r *fleet.LedgerBeginRequest) fleet.LedgerBeginReply {
	if reply, settled := l.settledReply(r); settled {
		return reply
	}
	if c := l.calls[r.LedgerKey]; c != nil {
		l.drop(c)
	}
	l.put(&call{Key: r.LedgerKey, Body: r.Body, By: r.By, State: callRunning})
	return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
}

// end records the outcome that the attempt running the call reports. Recorded is false in
// the reply if the call is another attempt's, or ended with another outcome.
func (l *ledger) end(r *fleet.LedgerEndRequest, at logPosition) fleet.LedgerEndReply {
	c := l.calls[r.LedgerKey]
	if c == nil && r.Verdict == fleet.NotRun {
		// The end arrived before the begin, which must not start the call any more.
		l.put(&call{Key: r.LedgerKey, By: r.By, State: callFree, Ended: at.now, Index: at.index})
		return fleet.LedgerEndReply{Recorded: true}
	}
	if c == nil || c.By != r.By {
		return fleet.LedgerEndReply{}
	}
	if c.State == callDone || c.State == callFree {
		return fleet.LedgerEndReply{Recorded: c.State == stateAfter(r.Verdict)}
	}
	ended := *c
	ended.raw = nil
	ended.State, ended.Answer = stateAfter(r.Verdict), r.Answer
	ended.Ended, ended.Index = at.now, at.index
	l.drop(c)
	l.put(&ended)
	return fleet.LedgerEndReply{Recorded: true}
}

// stateAfter returns the state of a call that ended with the verdict.
func stateAfter(v fleet.Verdict) callState {
	switch v {
	case fleet.NotRun:
		return callFree
	case fleet.Ran:
		return callDone
	}
	return callMayHaveRun
}

// abandon closes the running calls of a router's incarnations up to c.Incarnation as
// may-have-run.
func (l *ledger) abandon(c *AbandonCommand, at logPosition) {
	for _, key := range sortedKeys(l.running[c.Router]) {
		r := l.calls[key]
		if r.By.Incarnation > c.Incarnation {
			continue
		}
		closed := *r
		closed.raw = nil
		closed.State, closed.Ended, closed.Index = callMayHaveRun, at.now, at.index
		l.drop(r)
		l.put(&closed)
	}
}

// expire drops calls that ended before c.Before.
func (l *ledger) expire(c *ExpireCommand) {
	dropped := 0
	for len(l.ended) > 0 && l.ended[0].at < c.Before && dropped < c.Most {
		e := l.ended[0]
		l.ended = l.ended[1:]
		if r := l.calls[e.key]; r != nil && r.State != callRunning && r.Index == e.index {
			l.drop(r)
			dropped++
		}
	}
}

// put adds a call, whose key must not be recorded.
func (l *ledger) put(c *call) {
	old := l.calls[c.Key]
	if !invariant.Check(old == nil, "OneRunPerKey", "call %v is recorded twice", c.Key) {
		return
	}
	if c.raw == nil {
		c.raw = must(encoding.Marshal(c))
	}
	l.calls[c.Key] = c
	l.encodedSize += len(c.raw) + binary.MaxVarintLen32
	if c.State != callRunning {
		l.ended = append(l.ended, endedCall{key: c.Key, index: c.Index, at: c.Ended})
		return
	}
	keys := l.running[c.By.Router]
	if keys == nil {
		keys = map[fleet.LedgerKey]bool{}
		l.running[c.By.Router] = keys
	}
	keys[c.Key] = true
}

// drop removes a call. Its element in ended becomes stale.
func (l *ledger) drop(c *call) {
	delete(l.calls, c.Key)
	l.encodedSize -= len(c.raw) + binary.MaxVarintLen32
	keys := l.running[c.By.Router]
	delete(keys, c.Key)
	if len(keys) == 0 {
		delete(l.running, c.By.Router)
	}
}
