package caller

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/router/internal/target"
)

// call is one open request of a caller. The goroutine of its HTTP handler performs its
// effects.
type call struct {
	server   *Server
	id       fleet.RequestID
	w        gin.ResponseWriter
	rc       *http.ResponseController
	exchange *target.Exchange
	effects  *effectQueue

	customer fleet.CustomerName
	service  fleet.ServiceName
	attempt  int
	// readWithoutCaller reports whether the response is read to its end even if the
	// caller disconnects.
	readWithoutCaller bool
	// callerGone reports whether writing to the caller has failed.
	callerGone    bool
	begun         bool
	isEventStream bool
}

// effectQueue holds the effects that a call has yet to perform, in order.
type effectQueue struct {
	mu    sync.Mutex
	queue []fleet.Effect
	wake  chan struct{}
}

func newEffectQueue() *effectQueue { return &effectQueue{wake: make(chan struct{}, 1)} }

func (q *effectQueue) put(e fleet.Effect) {
	q.mu.Lock()
	q.queue = append(q.queue, e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *effectQueue) get() fleet.Effect {
	for {
		q.mu.Lock()
		if len(q.queue) > 0 {
			e := q.queue[0]
			q.queue = q.queue[1:]
			q.mu.Unlock()
			return e
		}
		q.mu.Unlock()
		<-q.wake
	}
}

// run performs the effects of the call until one ends it.
func (c *call) run() {
	for {
		switch e := c.effects.get().(type) {
		case routing.StartSend:
			c.attempt, c.readWithoutCaller = e.Attempt, e.Detach
			c.post(c.exchange.Start(e))
		case routing.ResumeSend:
			c.post(c.exchange.Resume(e))
		case routing.WaitOn:
			c.post(c.exchange.WaitOn())
		case routing.AnswerFailure:
			c.fail(e.Failure)
			return
		case routing.AnswerRecorded:
			c.replay(e.Answer)
			return
		case routing.AnswerDone:
			c.finish()
			return
		}
	}
}

func (c *call) post(ev routing.AttemptEnded) { c.server.cfg.Events.Post(ev) }

// Begin implements target.Sink: it posts AnswerBegun.
func (c *call) Begin() {
	c.server.cfg.Events.Post(routing.AnswerBegun{Request: c.id, Attempt: c.attempt})
}

// Header implements target.Sink: it sends the header to the caller.
func (c *call) Header(status int, h http.Header, length int64) error {
	c.begun = true
	out := c.w.Header()
	for name, values := range h {
		out[name] = values
	}
	out.Set(headerRequestID, string(c.id))
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.isEventStream = strings.HasPrefix(out.Get("Content-Type"), eventStreamType)
	c.w.WriteHeader(status)
	c.w.WriteHeaderNow()
	return nil
}

const eventStreamType = "text/event-stream"

// Write implements target.Sink. If the caller has disconnected, it discards the body if
// the call needs the whole response, and fails otherwise.
func (c *call) Write(p []byte) (int, error) {
	if c.callerGone {
		return len(p), nil
	}
	if err := c.write(p); err != nil {
		if !c.readWithoutCaller {
			return 0, err
		}
		c.callerGone = true
	}
	return len(p), nil
}

func (c *call) write(p []byte) error {
	if err := c.extendWriteDeadline(); err != nil {
		return err
	}
	if _, err := c.w.Write(p); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(c.rc.Flush(), "write to caller")
}

// extendWriteDeadline sets the deadline of the next write to WriteTimeout from now.
func (c *call) extendWriteDeadline() error {
	return errors.Wrap(c.rc.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)), "write to caller")
}

// Progress implements target.Sink: it posts AttemptProgressed.
func (c *call) Progress(spent fleet.Cost, firstToken time.Duration) {
	c.server.cfg.Events.Post(routing.AttemptProgressed{Request: c.id, Attempt: c.attempt, Spent: spent, FirstToken: firstToken})
}

// fail ends the call with a failure. Once a part of a response has been sent, it closes
// the connection instead; a stream gets an error event first.
func (c *call) fail(f fleet.Failure) {
	if !c.begun {
		if others := c.server.otherHosts(c.customer, c.service); others != "" && f.RetryAfter > 0 {
			c.w.Header().Set(headerHosts, others)
		}
		if c.extendWriteDeadline() == nil {
			writeFailure(c.w, c.id, f)
		}
		return
	}
	if c.isEventStream && !c.callerGone {
		errorEvent := append([]byte("\n\nevent: error\ndata: "), failureJSON(c.id, f)...)
		// The connection is closed next, whether or not the event arrives.
		_ = c.write(append(errorEvent, '\n', '\n'))
	}
	panic(http.ErrAbortHandler)
}

// replay ends the call with the response recorded in the ledger.
func (c *call) replay(a fleet.RecordedAnswer) {
	if c.extendWriteDeadline() != nil {
		return
	}
	h := c.w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(headerRequestID, string(c.id))
	h.Set(headerReplayed, "true")
	c.w.WriteHeader(a.Status)
	// The write fails only if the caller has disconnected.
	_, _ = c.w.Write(a.Body)
}

// finish ends a call whose response has been passed on, or whose caller has disconnected.
func (c *call) finish() {
	if !c.begun || c.callerGone || c.exchange.Finish() != nil {
		panic(http.ErrAbortHandler)
	}
}
