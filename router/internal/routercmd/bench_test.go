package routercmd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// routed starts a router before a target that answers at once, and returns the URLs of
// the same call through the router and without it.
func routed(b *testing.B) (w *world, through, direct string) {
	w = startWorldWith(b, strings.Replace(testText, "ConnectionsPerCustomer = 16", "ConnectionsPerCustomer = 1000", 1))
	target := newFakeTarget(b, plainAnswer("open"))
	w.dispatcher.setTargets("desk", target.addr)
	return w, w.url + "/services/desk/status/1", "http://" + target.addr.String() + "/status/1"
}

func callOnce(client *http.Client, url string) error {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "open" {
		err = fmt.Errorf("answer is %q", body)
	}
	return err
}

// measure reports the latency of one call after another.
func measure(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{}}
	times := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		began := time.Now()
		if err := callOnce(client, url); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	for _, p := range []int{50, 95, 99} {
		b.ReportMetric(float64(times[(len(times)-1)*p/100].Microseconds()), fmt.Sprintf("p%d-us", p))
	}
}

func BenchmarkLatency(b *testing.B) {
	w, through, direct := routed(b)
	defer w.end(b)
	b.Run("direct", func(b *testing.B) { measure(b, direct) })
	b.Run("router", func(b *testing.B) { measure(b, through) })
}

// saturate reports the CPU time of a call, of all that runs in this process.
func saturate(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(2)
	began := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := callOnce(client, url); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
}

func BenchmarkThroughput(b *testing.B) {
	runtime.GOMAXPROCS(min(4, runtime.NumCPU()))
	defer runtime.GOMAXPROCS(runtime.NumCPU())
	w, through, direct := routed(b)
	defer w.end(b)
	b.Run("direct", func(b *testing.B) { saturate(b, direct) })
	b.Run("router", func(b *testing.B) { saturate(b, through) })
}

// openStreams is how many streams BenchmarkOpenStreams holds open, below what a
// customer may have.
const openStreams = 300

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// hold opens streams, reports the memory of each and closes them.
func hold(b *testing.B, url string, done chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	var open []io.Closer
	before := memory()
	for range openStreams {
		r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"stream":true}`))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 6)); err != nil {
			b.Fatal(err)
		}
		open = append(open, resp.Body)
	}
	b.ReportMetric(float64(memory()-before)/openStreams, "bytes/stream")
	close(done)
	for _, c := range open {
		_ = c.Close()
	}
}

func BenchmarkOpenStreams(b *testing.B) {
	var done chan struct{}
	stream := func(_ *fakeTarget, c net.Conn, r *http.Request, _ string) {
		if about(r) {
			notFound(c)
			return
		}
		send(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n")
		<-done
	}
	w := startWorldWith(b, strings.NewReplacer("IdleTimeout = 300ms", "IdleTimeout = 1m", "ConnectionsPerCustomer = 16", "ConnectionsPerCustomer = 1000").Replace(testText))
	defer w.end(b)
	target := newFakeTarget(b, stream)
	w.dispatcher.setTargets("drafter", target.addr)
	for _, way := range []struct{ name, url string }{{"direct", "http://" + target.addr.String() + "/v1/chat/completions"}, {"router", w.url + chat}} {
		b.Run(way.name, func(b *testing.B) {
			done = make(chan struct{})
			hold(b, way.url, done)
		})
	}
}
