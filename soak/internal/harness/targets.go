package harness

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
	// slotsPerTarget is the number of concurrent requests that each target announces.
	slotsPerTarget = 16
	// maxServiceTime bounds the time that a request without a stream takes. The time between two
	// events of a stream is up to a quarter of it.
	maxServiceTime = 40 * time.Millisecond
	// hangDuration is how long a hanging target holds a request before it aborts it.
	hangDuration = 10 * time.Second
)

// behaviour determines how a target answers requests.
type behaviour int

const (
	behaviourServe behaviour = iota
	// behaviourHang holds requests for hangDuration without answering.
	behaviourHang
	// behaviourAbort closes the connection before the end of the response.
	behaviourAbort
)

// target is a simulated target: an HTTP server that announces itself to the control hosts and
// records the requests that arrive.
type target struct {
	harness *harness
	name    string
	number  int
	server  *http.Server

	mu        sync.Mutex
	behaviour behaviour
	state     fleet.TargetState
	// unavailable stops the announcements.
	unavailable bool
	// startedAt is the time of the last start. The incarnation and the end of the cold period
	// are derived from it.
	startedAt time.Time
	sequence  fleet.Sequence
	// announceNow triggers an announcement before announceInterval has passed.
	announceNow chan struct{}
}

func newTarget(h *harness, i int) (*target, error) {
	t := &target{
		harness: h, name: plan.Target(i), number: i, state: fleet.TargetServing, announceNow: make(chan struct{}, 1),
		// At the start of the run the target is already warm.
		startedAt: time.Now().Add(-time.Minute),
	}
	ln, err := net.Listen("tcp", netip.AddrPortFrom(h.address(roleTarget, i, false), targetPort).String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	t.server = &http.Server{Handler: t, ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: hangDuration}
	go func() {
		// The error is ignored: Serve returns one after Close, too.
		_ = t.server.Serve(ln)
	}()
	return t, nil
}

func (t *target) close() {
	// The run is over, so the error does not matter.
	_ = t.server.Close()
}

// announceUntilDone announces the target to the control hosts every announceInterval until ctx
// ends.
func (t *target) announceUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		t.announceOnce(ctx)
		select {
		case <-ctx.Done():
		case <-t.announceNow:
		case <-time.After(announceInterval):
		}
	}
}

// announceOnce sends one announcement to a random control host and reports whether it was
// acknowledged.
func (t *target) announceOnce(ctx context.Context) bool {
	t.mu.Lock()
	t.sequence++
	a := fleet.Announcement{
		Target: fleet.TargetID(t.name), Incarnation: fleet.Incarnation(t.startedAt.UnixMilli()), Sequence: t.sequence,
		SoftwareVersion: t.softwareVersion(), Service: serviceName, DataCentre: fleet.DataCentreName(dataCentre(t.number)), Slots: slotsPerTarget, State: t.state,
		Address: netip.AddrPortFrom(t.harness.address(roleTarget, t.number, true), targetPort),
		ColdFor: max(0, coldFor-time.Since(t.startedAt)),
	}
	unavailable := t.unavailable
	t.mu.Unlock()
	if unavailable {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return t.harness.client.Announce(ctx, t.harness.control(1+rand.IntN(t.harness.cfg.Plan.Controls)), a) == nil
}

// softwareVersion returns the version of the target's software. Neighbouring targets differ.
func (t *target) softwareVersion() fleet.SoftwareVersion {
	return fleet.SoftwareVersion(fmt.Sprint("v", 1+t.number%2))
}

// update changes the target's state under its lock.
func (t *target) update(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// restart makes the target serve again, as a new incarnation that is cold.
func (t *target) restart() {
	t.update(func() { t.state, t.unavailable, t.startedAt, t.sequence = fleet.TargetServing, false, time.Now(), 0 })
	at := t.harness.now()
	t.harness.recorder.Update(func(r *check.Record) { r.ColdStarts = append(r.ColdStarts, check.ColdStart{Target: t.name, At: at}) })
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

// leave announces that the target leaves, records that it must receive no requests, and
// restarts it d after the acknowledgement.
func (t *target) leave(ctx context.Context, d time.Duration) {
	t.update(func() { t.state = fleet.TargetLeaving })
	for !t.announceOnce(ctx) {
		if !sleep(ctx, announceInterval) {
			return
		}
	}
	acknowledged := t.harness.now()
	sleep(ctx, d)
	until := t.harness.now()
	t.harness.recorder.Update(func(r *check.Record) {
		r.Exclusions = append(r.Exclusions, check.Exclusion{
			Targets: map[string]bool{t.name: true}, Acknowledged: acknowledged, Until: until, Grace: drainGrace, Rule: "LeftGetsNothing",
		})
	})
	t.restart()
}

// disappear stops the announcements and resets all connections for d, then restarts the target.
func (t *target) disappear(ctx context.Context, d time.Duration) {
	p := t.harness.proxies[t.name]
	t.update(func() { t.unavailable = true })
	p.Refuse(true)
	sleep(ctx, d)
	p.Refuse(false)
	t.restart()
}

// behaveAs changes the target's behaviour for d.
func (t *target) behaveAs(ctx context.Context, b behaviour, d time.Duration) {
	t.update(func() { t.behaviour = b })
	sleep(ctx, d)
	t.update(func() { t.behaviour = behaviourServe })
}

// eventCount returns the number of events in the response to a stream request.
func eventCount(id fleet.RequestID) int { return 3 + int(hash(id)%10) }

func hash(id fleet.RequestID) uint64 {
	h := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// responseBody returns the body of the response to a request without a stream.
func responseBody(id fleet.RequestID) string {
	return fmt.Sprintf("answer to %s %s\n", id, strings.Repeat("x", int(hash(id)%3000)))
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := client.RequestID(r)
	at := t.harness.now()
	t.harness.recorder.Update(func(rec *check.Record) {
		rec.Executions = append(rec.Executions, check.Execution{ID: id, Target: t.name, At: at})
	})
	t.mu.Lock()
	b := t.behaviour
	t.mu.Unlock()
	requestBody, err := io.ReadAll(r.Body)
	if err != nil || !bytes.Equal(requestBody, []byte(id)) {
		http.Error(w, "the body is not that of the request", http.StatusBadRequest)
		return
	}
	if b == behaviourHang {
		sleep(r.Context(), hangDuration)
		panic(http.ErrAbortHandler)
	}
	client.MarkRan(w, r, t.name)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		t.stream(w, r, client.Stream(r), b)
		return
	}
	sleep(r.Context(), time.Duration(hash(id)%uint64(maxServiceTime)))
	if b == behaviourAbort {
		panic(http.ErrAbortHandler)
	}
	// The error is ignored: the caller may have disconnected.
	_, _ = io.WriteString(w, responseBody(id))
}

// stream sends the events of the stream id that follow the Last-Event-ID of the request.
func (t *target) stream(w http.ResponseWriter, r *http.Request, id fleet.RequestID, b behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(client.LastEventID(r))
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= eventCount(id); n++ {
		if !sleep(r.Context(), time.Duration(hash(id)%uint64(maxServiceTime))/4) {
			return
		}
		if b == behaviourAbort && n > eventCount(id)/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d %s\n\n", n, id, n, t.softwareVersion()); err != nil {
			return
		}
		// A flush fails only if the caller has disconnected, and then the next write fails too.
		_ = http.NewResponseController(w).Flush()
	}
}
