package world

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/platform/client"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

const (
	// announceInterval is the time between two announcements of a target.
	announceInterval = 600 * time.Millisecond
	// slots is how many requests a target runs at once.
	slots = 16
	// workMost bounds the time that a plain request takes, and the pause between two events.
	workMost = 40 * time.Millisecond
	// hangTime is how long a target that hangs keeps a request.
	hangTime = 10 * time.Second
)

// manner is how a target treats requests.
type manner int

const (
	serves manner = iota
	hangs
	breaks
)

// target is a stand-in for a server of requests.
type target struct {
	w      *world
	name   string
	number int
	server *http.Server

	mu       sync.Mutex
	manner   manner
	state    fleet.TargetState
	gone     bool
	born     time.Time
	sequence fleet.Sequence
	// wake asks for an announcement at once.
	wake chan struct{}
}

func newTarget(w *world, i int) (*target, error) {
	t := &target{
		w: w, name: plan.Target(i), number: i, state: fleet.TargetServing, wake: make(chan struct{}, 1),
		// The first start is warm.
		born: time.Now().Add(-time.Minute),
	}
	ln, err := net.Listen("tcp", netip.AddrPortFrom(w.address(roleTarget, i, false), targetPort).String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t.server = &http.Server{Handler: t, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: hangTime}
	go func() {
		// Serve always returns an error; after Close it means nothing.
		_ = t.server.Serve(ln)
	}()
	return t, nil
}

func (t *target) close() {
	// The run is over.
	_ = t.server.Close()
}

// announce tells control of the target until ctx ends.
func (t *target) announce(ctx context.Context) {
	for ctx.Err() == nil {
		t.tell(ctx)
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-time.After(announceInterval):
		}
	}
}

// tell announces the target once and says whether a control host took it.
func (t *target) tell(ctx context.Context) bool {
	t.mu.Lock()
	t.sequence++
	a := fleet.Announcement{
		Target: fleet.TargetID(t.name), Incarnation: fleet.Incarnation(t.born.UnixMilli()), Sequence: t.sequence,
		Service: serviceName, DataCentre: fleet.DataCentreName(dataCentre(t.number)), Slots: slots, State: t.state,
		Address: netip.AddrPortFrom(t.w.address(roleTarget, t.number, true), targetPort),
		ColdFor: max(0, coldFor-time.Since(t.born)),
	}
	gone := t.gone
	t.mu.Unlock()
	if gone {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return t.w.client.Announce(ctx, t.w.control(1+rand.IntN(t.w.cfg.Plan.Controls)), a) == nil
}

func (t *target) set(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// comeBack has the target serve again, as a new start.
func (t *target) comeBack() {
	t.set(func() { t.state, t.gone, t.born, t.sequence = fleet.TargetServing, false, time.Now(), 0 })
	at := t.w.now()
	t.w.book.Add(func(r *check.Record) { r.ColdStarts = append(r.ColdStarts, check.ColdStart{Target: t.name, At: at}) })
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// leave announces that the target leaves, and comes back after d.
func (t *target) leave(ctx context.Context, d time.Duration) {
	t.set(func() { t.state = fleet.TargetLeaving })
	for !t.tell(ctx) {
		if !sleep(ctx, announceInterval) {
			return
		}
	}
	acknowledged := t.w.now()
	sleep(ctx, d)
	until := t.w.now()
	t.w.book.Add(func(r *check.Record) {
		r.Absences = append(r.Absences, check.Absence{
			Targets: map[string]bool{t.name: true}, Acknowledged: acknowledged, Until: until, Grace: leaveGrace, Rule: "LeftGetsNothing",
		})
	})
	t.comeBack()
}

// vanish takes the target away without a word for d.
func (t *target) vanish(ctx context.Context, d time.Duration) {
	h := t.w.hosts[t.name]
	t.set(func() { t.gone = true })
	h.Refuse(true)
	sleep(ctx, d)
	h.Refuse(false)
	t.comeBack()
}

func (t *target) misbehave(ctx context.Context, m manner, d time.Duration) {
	t.set(func() { t.manner = m })
	sleep(ctx, d)
	t.set(func() { t.manner = serves })
}

// events returns how many events the answer to a request has.
func events(id fleet.RequestID) int { return 3 + int(hash(id)%10) }

func hash(id fleet.RequestID) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// body is the answer to a plain request.
func body(id fleet.RequestID) string {
	return fmt.Sprintf("answer to %s %s\n", id, strings.Repeat("x", int(hash(id)%3000)))
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := client.RequestID(r)
	at := t.w.now()
	t.w.book.Add(func(rec *check.Record) { rec.Runs = append(rec.Runs, check.Run{ID: id, Target: t.name, At: at}) })
	t.mu.Lock()
	m := t.manner
	t.mu.Unlock()
	text, err := io.ReadAll(r.Body)
	if err != nil || !bytes.Equal(text, []byte(id)) {
		http.Error(w, "the body is not that of the request", http.StatusBadRequest)
		return
	}
	if m == hangs {
		sleep(r.Context(), hangTime)
		panic(http.ErrAbortHandler)
	}
	client.MarkRan(w, r, t.name)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		t.stream(w, r, id, m)
		return
	}
	sleep(r.Context(), time.Duration(hash(id)%uint64(workMost)))
	if m == breaks {
		panic(http.ErrAbortHandler)
	}
	// A caller that has left does not read its answer.
	_, _ = io.WriteString(w, body(id))
}

// stream answers with the events after the one that the caller has.
func (t *target) stream(w http.ResponseWriter, r *http.Request, id fleet.RequestID, m manner) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(client.LastEventID(r))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= events(id); n++ {
		if !sleep(r.Context(), time.Duration(hash(id)%uint64(workMost))/4) {
			return
		}
		if m == breaks && n > events(id)/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		// A flush fails only when the caller has left, and then the next write does.
		_ = http.NewResponseController(w).Flush()
	}
}
