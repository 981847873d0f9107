package world

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/platform/client"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

const (
	// callPause is the mean time between two requests of a caller.
	callPause = 50 * time.Millisecond
	// callTimeout is how long a caller waits; the routes allow less.
	callTimeout = 5 * time.Second
	// directoryAge is how long a caller keeps the answer that names the routers.
	directoryAge = time.Second
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 1 << 20
)

var kinds = []check.Kind{check.Once, check.Repeat, check.Stream}

// paths are the routes of the kinds.
var paths = map[check.Kind]string{check.Once: "/once/", check.Repeat: "/repeat/", check.Stream: "/stream/"}

// callersFor returns how many callers there are.
func callersFor(routers int) int { return min(4+2*routers, 48) }

// caller sends requests, one at a time, on connections that it keeps.
type caller struct {
	w      *world
	number int
	http   *http.Client
	sent   int

	routers []netip.AddrPort
	asked   time.Time
}

func newCaller(w *world, number int) *caller {
	return &caller{w: w, number: number, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
	}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for sleep(ctx, time.Duration(rand.ExpFloat64()*float64(callPause))) {
		c.refresh(ctx)
		if len(c.routers) == 0 {
			continue
		}
		to := c.routers[rand.IntN(min(len(c.routers), 3))]
		q := c.send(ctx, to, kinds[rand.IntN(len(kinds))])
		if ctx.Err() == nil {
			c.w.book.Add(func(r *check.Record) { r.Requests = append(r.Requests, q) })
		}
		if !q.Whole {
			c.asked = time.Time{}
		}
	}
}

// refresh asks for the routers again when the answer is old.
func (c *caller) refresh(ctx context.Context) {
	if time.Since(c.asked) < directoryAge {
		return
	}
	near := fleet.DataCentreName(dataCentre(c.number))
	routers, err := c.w.client.Routers(ctx, c.w.directory(1+rand.IntN(c.w.cfg.Plan.Controls)), near)
	if err != nil || len(routers) == 0 {
		return
	}
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	c.routers, c.asked = routers, time.Now()
}

// probe says whether a router answers a request of a kind.
func (c *caller) probe(ctx context.Context, router int, kind check.Kind) bool {
	q := newCaller(c.w, c.number).send(ctx, c.w.router(router), kind)
	return q.Status == http.StatusOK && q.Own
}

// send sends one request and reads its answer.
func (c *caller) send(ctx context.Context, to netip.AddrPort, kind check.Kind) check.Request {
	c.sent++
	q := check.Request{
		ID:   fleet.RequestID(fmt.Sprintf("%d-%d-%d-%s", c.number, c.sent, rand.Uint32(), kind)),
		Kind: kind, Router: plan.Router(int(to.Addr().As4()[3])), Sent: c.w.now(),
	}
	defer func() { q.Ended = c.w.now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+paths[kind]+"x", strings.NewReader(string(q.ID)))
	if err != nil {
		q.Err = err.Error()
		return q
	}
	req.Host = hostName
	client.SetRequestID(req, q.ID)
	resp, err := c.http.Do(req)
	if err != nil {
		q.Err, q.Ended = err.Error(), c.w.now()
		return q
	}
	defer resp.Body.Close()
	q.Status, q.Verdict = resp.StatusCode, client.Verdict(resp)
	if kind == check.Stream && q.Status == http.StatusOK {
		q.Own, err = readEvents(resp.Body, q.ID)
	} else {
		var text []byte
		text, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		q.Own = string(text) == body(q.ID)
	}
	q.Whole, q.Ended = err == nil, c.w.now()
	if err != nil {
		q.Err = err.Error()
	}
	return q
}

// readEvents reads a stream to its end, and says whether it has all events in order.
func readEvents(r io.Reader, id fleet.RequestID) (bool, error) {
	n := 0
	own := true
	s := bufio.NewScanner(io.LimitReader(r, maxAnswer))
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		n++
		own = own && data == fmt.Sprintf("%s %d", id, n)
	}
	return own && n == events(id), s.Err()
}
