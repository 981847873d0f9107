package registry

import (
	"encoding/binary"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// callState is where a recorded call stands.
type callState uint8

const (
	callRunning callState = iota + 1
	callDone
	callMayHaveRun
	// callFree is a call that did not run; another attempt may take it.
	callFree
)

// call is one record of the ledger.
type call struct {
	Key    fleet.LedgerKey
	Body   fleet.ContentHash
	By     fleet.AttemptID
	State  callState
	Answer *fleet.RecordedAnswer `json:",omitempty"`
	// Ended is when the call ended, Index the entry that told so.
	Ended LogTime     `json:",omitempty"`
	Index fleet.Index `json:",omitempty"`

	// raw is the encoded call: encoding all calls for each snapshot would hold up the
	// replica's heartbeats.
	raw []byte
}

// ledger holds the calls that may run once.
type ledger struct {
	calls map[fleet.LedgerKey]*call
	// ended lists calls in the order of their ends; an entry whose index differs from
	// that of the call is void.
	ended []endedCall
	// running lists the keys that each router runs.
	running map[fleet.HostID]map[fleet.LedgerKey]bool
	// size is about that of all encoded calls in bytes.
	size int
}

type endedCall struct {
	key   fleet.LedgerKey
	index fleet.Index
	at    LogTime
}

// moment is the position of an entry in the log and in log time.
type moment struct {
	index fleet.Index
	now   LogTime
}

func newLedger() ledger {
	return ledger{
		calls:   map[fleet.LedgerKey]*call{},
		running: map[fleet.HostID]map[fleet.LedgerKey]bool{},
	}
}

// peek returns the reply to a Begin that changes nothing, and false when the call has
// to be put into the log.
func (l *ledger) peek(r *fleet.LedgerBeginRequest) (fleet.LedgerBeginReply, bool) {
	c := l.calls[r.LedgerKey]
	if c == nil || c.State == callFree && c.hasBody(r.Body) && !stale(c.By, r.By) {
		return fleet.LedgerBeginReply{}, false
	}
	return c.reply(r), true
}

// reply answers a Begin for a call that is on record and not free for it.
func (c *call) reply(r *fleet.LedgerBeginRequest) fleet.LedgerBeginReply {
	switch {
	case !c.hasBody(r.Body):
		return fleet.LedgerBeginReply{State: fleet.LedgerMismatch}
	case c.State == callDone:
		return fleet.LedgerBeginReply{State: fleet.LedgerDone, Answer: c.Answer}
	case c.State == callMayHaveRun:
		return fleet.LedgerBeginReply{State: fleet.LedgerMayHaveRun}
	case c.State == callRunning && c.By == r.By:
		// The attempt asks again because it lost the answer, so it has sent nothing.
		return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
	}
	return fleet.LedgerBeginReply{State: fleet.LedgerRunning}
}

// hasBody says whether the call may be that with the body b; a call whose end overtook
// its beginning has no body on record.
func (c *call) hasBody(b fleet.ContentHash) bool { return c.Body == "" || c.Body == b }

// stale says whether asking is the attempt that ended, or an earlier one of the same
// router: such a message was overtaken by that end.
func stale(ended, asking fleet.AttemptID) bool {
	if ended.Router != asking.Router {
		return false
	}
	if ended.Incarnation != asking.Incarnation {
		return asking.Incarnation < ended.Incarnation
	}
	return asking.Attempt <= ended.Attempt
}

// begin gives the call to the first attempt that asks.
func (l *ledger) begin(r *fleet.LedgerBeginRequest) fleet.LedgerBeginReply {
	if reply, settled := l.peek(r); settled {
		return reply
	}
	if c := l.calls[r.LedgerKey]; c != nil {
		l.drop(c)
	}
	l.put(&call{Key: r.LedgerKey, Body: r.Body, By: r.By, State: callRunning})
	return fleet.LedgerBeginReply{State: fleet.LedgerGranted}
}

// end records what the attempt that holds the call reports.
func (l *ledger) end(r *fleet.LedgerEndRequest, at moment) fleet.LedgerEndReply {
	c := l.calls[r.LedgerKey]
	if c == nil && r.Verdict == fleet.NotRun {
		// The end overtook the beginning, which must not start the call any more.
		l.put(&call{Key: r.LedgerKey, By: r.By, State: callFree, Ended: at.now, Index: at.index})
		return fleet.LedgerEndReply{Recorded: true}
	}
	if c == nil || c.By != r.By {
		return fleet.LedgerEndReply{}
	}
	if c.State == callDone || c.State == callFree {
		return fleet.LedgerEndReply{Recorded: c.State == endState(r.Verdict)}
	}
	ended := *c
	ended.raw = nil
	ended.State, ended.Answer = endState(r.Verdict), r.Answer
	ended.Ended, ended.Index = at.now, at.index
	l.drop(c)
	l.put(&ended)
	return fleet.LedgerEndReply{Recorded: true}
}

func endState(v fleet.Verdict) callState {
	switch v {
	case fleet.NotRun:
		return callFree
	case fleet.Ran:
		return callDone
	}
	return callMayHaveRun
}

// abandon closes the calls of a router that is gone.
func (l *ledger) abandon(c *AbandonCommand, at moment) {
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

// expire drops calls that ended before a log time.
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

func (l *ledger) put(c *call) {
	old := l.calls[c.Key]
	if !invariant.Check(old == nil, "OneRunPerKey", "call %v is recorded twice", c.Key) {
		return
	}
	if c.raw == nil {
		c.raw = must(encoding.Marshal(c))
	}
	l.calls[c.Key] = c
	l.size += len(c.raw) + binary.MaxVarintLen32
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

func (l *ledger) drop(c *call) {
	delete(l.calls, c.Key)
	l.size -= len(c.raw) + binary.MaxVarintLen32
	keys := l.running[c.By.Router]
	delete(keys, c.Key)
	if len(keys) == 0 {
		delete(l.running, c.By.Router)
	}
}
