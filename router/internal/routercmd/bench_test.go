package routercmd

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// openStreams is how many streams BenchmarkOpenStreams keeps open at once. It is below
// ConnectionsPerCustomer.
const openStreams = 300

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// measureOpenStreams opens streams, reports the memory per stream and closes them.
func measureOpenStreams(b *testing.B, url string, done chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	var open []io.Closer
	before := memoryInUse()
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
	b.ReportMetric(float64(memoryInUse()-before)/openStreams, "bytes/stream")
	close(done)
	for _, c := range open {
		_ = c.Close()
	}
}

func BenchmarkOpenStreams(b *testing.B) {
	var done chan struct{}
	stream := func(_ *fakeTarget, c net.Conn, r *http.Request, _ string) {
		if isStreamRequest(r) {
			notFound(c)
			return
		}
		send(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ndata: \r\n")
		<-done
	}
	f := startFixtureWithText(b, strings.NewReplacer("IdleTimeout = 300ms", "IdleTimeout = 1m", "ConnectionsPerCustomer = 16", "ConnectionsPerCustomer = 1000").Replace(testText))
	defer f.stop(b)
	target := newFakeTarget(b, stream)
	f.dispatcher.setTargets("drafter", target.addr)
	for _, c := range []struct{ name, url string }{{"direct", "http://" + target.addr.String() + "/v1/chat/completions"}, {"router", f.url + completionsPath}} {
		b.Run(c.name, func(b *testing.B) {
			done = make(chan struct{})
			measureOpenStreams(b, c.url, done)
		})
	}
}
