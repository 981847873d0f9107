// Package check judges what callers, targets and operators saw of a deployment.
package check

import (
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// Once may run once only.
	Once Kind = "Once"
	// Repeat may run again.
	Repeat Kind = "Repeat"
	// Stream is answered by events, and may go on at another target.
	Stream Kind = "Stream"
)

// Request is what a caller saw. Times count from the begin of the run.
type Request struct {
	ID     fleet.RequestID
	Kind   Kind
	Router string
	Sent   time.Duration
	Ended  time.Duration
	Status int
	// Verdict is what the answer promises; empty when there was none.
	Verdict fleet.Verdict
	// Whole says that an answer came to its end as the protocol tells it.
	Whole bool
	// Own says that the answer is the one to this request, with all its parts in order.
	Own bool
	Err string `json:",omitempty"`
}

// Run is a request as it arrived at a target.
type Run struct {
	ID     fleet.RequestID
	Target string
	At     time.Duration
}

// Interval is a span of time in which something was wrong.
type Interval struct {
	From, To time.Duration
	// OfTarget says that targets were concerned, and no process of the fleet.
	OfTarget bool
	What     string
}

// Acknowledgement is a configuration that a control host acknowledged.
type Acknowledgement struct {
	Number fleet.ConfigNumber
	At     time.Duration
}

// Read is a configuration that a control host answered.
type Read struct {
	Number fleet.ConfigNumber
	// Same says that the content is what was put under the number.
	Same     bool
	From     string
	Sent, At time.Duration
}

// Absence is a span in which targets or a data centre must get no requests.
type Absence struct {
	// Targets are those concerned.
	Targets map[string]bool
	// Acknowledged is when a control host took the news, Until when it ended.
	Acknowledged, Until time.Duration
	// Grace is the time that the routers have to hear of it.
	Grace time.Duration
	Rule  string
}

// Planned is a planned stop of a router.
type Planned struct {
	Router   string
	From, To time.Duration
}

// ColdStart is a target that bears only a little.
type ColdStart struct {
	Target string
	At     time.Duration
}

// Limits are the promises that have numbers.
type Limits struct {
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	ColdFor     time.Duration
	// ColdMost is how many requests a cold target may get while it is cold.
	ColdMost int
}

// Record is all that was seen in a run.
type Record struct {
	Requests   []Request
	Runs       []Run
	Faults     []Interval
	Acks       []Acknowledgement
	Reads      []Read
	Absences   []Absence
	Stops      []Planned
	ColdStarts []ColdStart
	Limits     Limits
}

// Book takes what is seen from several sides at once.
type Book struct {
	mu     sync.Mutex
	record Record
}

// Add changes the record.
func (b *Book) Add(f func(*Record)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.record)
}

// Record returns what was seen so far.
func (b *Book) Record() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record
}
