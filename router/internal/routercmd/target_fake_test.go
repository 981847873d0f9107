package routercmd

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
)

// script writes the response to one request on a raw connection of a fake target.
type script func(t *fakeTarget, c net.Conn, r *http.Request, body string)

// fakeTarget is a target whose responses are written by a script, byte by byte.
type fakeTarget struct {
	ln   net.Listener
	addr netip.AddrPort

	mu           sync.Mutex
	script       script
	requestLines []string
	requestIDs   []string
	conns        int
}

func newFakeTarget(t testing.TB, s script) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{ln: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort(), script: s}
	go f.accept()
	t.Cleanup(func() { _ = ln.Close() })
	return f
}

func (f *fakeTarget) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns++
		f.mu.Unlock()
		go f.serve(c)
	}
}

func (f *fakeTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := newReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requestLines = append(f.requestLines, r.Method+" "+r.RequestURI)
		f.requestIDs = append(f.requestIDs, r.Header.Get("Fuchsiashed-Request-Id"))
		s := f.script
		f.mu.Unlock()
		s(f, c, r, string(body))
	}
}

// runs returns the number of requests that were not about streams.
func (f *fakeTarget) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.requestLines {
		if !strings.Contains(s, "/v1/streams/") {
			n++
		}
	}
	return n
}

func (f *fakeTarget) received(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.requestLines {
		if strings.HasPrefix(s, prefix) {
			return true
		}
	}
	return false
}
