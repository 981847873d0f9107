package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"

	"github.com/fuchsiashed/fuchsiashed/platform/client"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

const (
	// meanCallInterval is the mean time between the end of a caller's request and the next one.
	meanCallInterval = 50 * time.Millisecond
	// callTimeout is how long a caller waits for a response; it is longer than routeTimeout.
	callTimeout = 5 * time.Second
	// routerListTTL is how long a caller uses the list of routers that the directory returned.
	routerListTTL = time.Second
	// maxResponseBytes bounds the size of a response body, in bytes.
	maxResponseBytes = 1 << 20
)

var requestKinds = []check.RequestKind{check.AtMostOnce, check.Idempotent, check.Stream}

// pathPrefixes holds the path prefix of the route for each kind of request.
var pathPrefixes = map[check.RequestKind]string{check.AtMostOnce: "/once/", check.Idempotent: "/repeat/", check.Stream: "/stream/"}

// callerCount returns the number of callers for a number of routers.
func callerCount(routers int) int { return min(4+2*routers, 48) }

// caller sends requests, one at a time, over persistent connections.
type caller struct {
	harness *harness
	// number is part of the request IDs; probes have negative numbers.
	number int
	http   *http.Client
	sent   int

	routers []netip.AddrPort
	// routersAt is when the list was read; zero makes the next request read it again.
	routersAt time.Time
}

func newCaller(h *harness, number int) *caller {
	return &caller{harness: h, number: number, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute},
	}}
}

// run sends requests to random routers until ctx ends, and records them.
func (c *caller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanCallInterval))) {
		c.refreshRouters(ctx)
		if len(c.routers) == 0 {
			continue
		}
		router := c.routers[rand.IntN(min(len(c.routers), 3))]
		result := c.send(ctx, router, requestKinds[rand.IntN(len(requestKinds))])
		if ctx.Err() == nil {
			c.harness.recorder.Update(func(r *check.Record) { r.Requests = append(r.Requests, result) })
		}
		if !result.Whole {
			c.routersAt = time.Time{}
		}
	}
}

// refreshRouters reads the list of routers from the directory if it is older than routerListTTL.
// It keeps the old list if that fails.
func (c *caller) refreshRouters(ctx context.Context) {
	if time.Since(c.routersAt) < routerListTTL {
		return
	}
	nearest := fleet.DataCentreName(dataCentre(c.number))
	routers, err := c.harness.client.Routers(ctx, c.harness.directory(1+rand.IntN(c.harness.cfg.Plan.Controls)), nearest)
	if err != nil || len(routers) == 0 {
		return
	}
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	c.routers, c.routersAt = routers, time.Now()
}

// probe reports whether a router answers a request of a kind correctly.
func (c *caller) probe(ctx context.Context, router int, kind check.RequestKind) bool {
	result := newCaller(c.harness, c.number).send(ctx, c.harness.router(router), kind)
	return result.Status == http.StatusOK && result.Own
}

// send sends one request and reads its response. An interrupted stream is resumed once, at a
// random router.
func (c *caller) send(ctx context.Context, router netip.AddrPort, kind check.RequestKind) check.Request {
	events := &eventReader{}
	result := c.sendOnce(ctx, router, kind, events)
	if events.count == 0 || result.Whole || len(c.routers) == 0 {
		return result
	}
	rest := c.sendOnce(ctx, c.routers[rand.IntN(len(c.routers))], kind, events)
	if ctx.Err() == nil {
		c.harness.recorder.Update(func(r *check.Record) { r.Requests = append(r.Requests, rest) })
	}
	return result
}

// sendOnce sends one request, which resumes the stream of events if that has begun.
func (c *caller) sendOnce(ctx context.Context, router netip.AddrPort, kind check.RequestKind, events *eventReader) check.Request {
	c.sent++
	result := check.Request{
		ID:   fleet.RequestID(fmt.Sprintf("%d-%d-%d-%s", c.number, c.sent, rand.Uint32(), kind)),
		Kind: kind, Router: plan.Router(int(router.Addr().As4()[3])), Sent: c.harness.now(),
	}
	defer func() { result.Ended = c.harness.now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.String()+pathPrefixes[kind]+"x", strings.NewReader(string(result.ID)))
	if err != nil {
		result.Err = err.Error()
		return result
	}
	req.Host = hostName
	client.SetRequestID(req, result.ID)
	if events.count > 0 {
		client.SetResumption(req, events.stream, strconv.Itoa(events.count))
	} else {
		events.stream = result.ID
	}
	resp, err := c.http.Do(req)
	if err != nil {
		result.Err, result.Ended = err.Error(), c.harness.now()
		return result
	}
	defer resp.Body.Close()
	result.Status, result.Verdict = resp.StatusCode, client.Verdict(resp)
	if kind == check.Stream && result.Status == http.StatusOK {
		result.Own, err = events.read(resp.Body)
		result.Versions = slices.Clone(events.versions)
	} else {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		result.Own = string(body) == responseBody(result.ID)
	}
	result.Whole, result.Ended = err == nil, c.harness.now()
	if err != nil {
		result.Err = err.Error()
	}
	return result
}

// eventReader reads the events of one stream from one or more responses.
type eventReader struct {
	// stream is the request that received the first event.
	stream fleet.RequestID
	// count is the number of events received.
	count int
	// versions lists the software versions that wrote them.
	versions []string
	// wrong is set if an event was not the next one.
	wrong bool
}

// read reads an event stream to its end, and reports whether it has the rest of the events in
// order. An event counts once its blank line has been read.
func (e *eventReader) read(r io.Reader) (bool, error) {
	br := bufio.NewReader(io.LimitReader(r, maxResponseBytes))
	data := ""
	for {
		line, err := br.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF):
			return !e.wrong && e.count == eventCount(e.stream), nil
		case err != nil:
			return false, err
		case line == "\n" && data != "":
			e.add(data)
			data = ""
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimSuffix(strings.TrimPrefix(line, "data: "), "\n")
		}
	}
}

// add adds the data of the next event.
func (e *eventReader) add(data string) {
	e.count++
	version, ok := strings.CutPrefix(data, fmt.Sprintf("%s %d ", e.stream, e.count))
	e.wrong = e.wrong || !ok
	if ok && !slices.Contains(e.versions, version) {
		e.versions = append(e.versions, version)
	}
}
