package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

func testConfig() *Config {
	return &Config{Times: DefaultTimes, Clock: fleet.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
}

// fakeConn is a connection whose peer sends text in parts of the given sizes.
type fakeConn struct {
	net.Conn
	text  []byte
	sizes func() int
}

func (c *fakeConn) Read(p []byte) (int, error) {
	if len(c.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.sizes())], c.text)
	c.text = c.text[n:]
	return n, nil
}
func (c *fakeConn) SetReadDeadline(time.Time) error { return nil }
func (c *fakeConn) Close() error                    { return nil }
func (c *fakeConn) LocalAddr() net.Addr             { return c.RemoteAddr() }
func (c *fakeConn) RemoteAddr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }

// randomRequest returns a request as callers may send it, and what is not proper with a low probability.
func randomRequest(rnd *rand.Rand) string {
	lines := []string{"Host: h", "Accept: */*", "X-Long: " + strings.Repeat("v", rnd.IntN(6000))}
	version := "HTTP/1.1"
	if rnd.IntN(10) == 0 {
		version = "HTTP/1.0"
		lines = append(lines, "Connection: keep-alive")
	}
	body := strings.Repeat("b", rnd.IntN(3)*rnd.IntN(20_000))
	switch rnd.IntN(4) {
	case 0:
		body = ""
	case 1:
		lines = append(lines, fmt.Sprintf("content-length:%d", len(body)))
	default:
		lines = append(lines, "Transfer-Encoding: "+[]string{"chunked", "Chunked ", "gzip", "chunked, chunked"}[max(0, rnd.IntN(40)-36)])
		body = chunkedBody(rnd, body)
	}
	if rnd.IntN(30) == 0 {
		lines = append(lines, []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Content-Length: +1", "X: 1\r\n folded", "No colon", "Content-Length :4"}[rnd.IntN(6)])
	}
	rnd.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	end := []string{"\r\n", "\n"}[max(0, rnd.IntN(20)-18)]
	return "POST /" + strings.Repeat("p", rnd.IntN(100)) + " " + version + end + strings.Join(lines, end) + end + end + body
}

// chunkedBody returns a body in chunks of random sizes, with extensions and trailers.
func chunkedBody(rnd *rand.Rand, body string) string {
	var out strings.Builder
	for largest := 2 << rnd.IntN(13); len(body) > 0; {
		n := min(len(body), 1+rnd.IntN(largest))
		fmt.Fprintf(&out, "%x%s\r\n%s\r\n", n, []string{"", ";a=b", " "}[max(0, rnd.IntN(100)-97)], body[:n])
		body = body[n:]
	}
	out.WriteString("0\r\n")
	if rnd.IntN(4) == 0 {
		out.WriteString("T: v\r\n")
	}
	out.WriteString([]string{"\r\n", "x\r\n"}[max(0, rnd.IntN(40)-38)])
	return out.String()
}

// singleReader reads one byte now and then, as the server does while it handles a request.
type singleReader struct {
	io.Reader
	rnd *rand.Rand
}

func (r singleReader) Read(p []byte) (int, error) {
	if r.rnd.IntN(5) == 0 {
		p = p[:1]
	}
	return r.Reader.Read(p)
}

// readAll returns the requests that net/http reads from a connection, up to the first that it refuses.
func readAll(r io.Reader) []string {
	var out []string
	for br := bufio.NewReader(r); ; {
		req, err := http.ReadRequest(br)
		if err != nil {
			return append(out, fmt.Sprint("end ", err == io.EOF))
		}
		for name := range req.Header {
			// The server refuses such names, after ReadRequest.
			if strings.Contains(name, " ") {
				return append(out, "end false")
			}
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return append(out, "end false")
		}
		out = append(out, fmt.Sprint(req.URL, req.ContentLength, len(req.Header), string(body)))
	}
}

// Guards against a connection on which the limits and net/http disagree about where a request ends.
func TestSameRequests(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		var text strings.Builder
		for range 1 + rnd.IntN(4) {
			text.WriteString(randomRequest(rnd))
		}
		want := readAll(strings.NewReader(text.String()))
		most := []int{1, 7, 100, 5000, 1 << 20}[rnd.IntN(5)]
		c := newConn(&fakeConn{text: []byte(text.String()), sizes: func() int { return 1 + rnd.IntN(most) }}, testConfig())
		got := readAll(singleReader{c, rnd})
		if strings.Contains(text.String(), "\r\n folded") {
			// net/http joins folded lines; here they are refused.
			continue
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("seed %d: got %.300q, want %.300q of %.600q", seed, got, want, text.String())
		}
	}
}

// serve serves a handler that reads the body, on a connection to it.
func serve(cfg *Config, h http.HandlerFunc) net.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	srv := &http.Server{Handler: h, MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(NewListener(ln, cfg)) }()
	convey.Reset(func() { _ = srv.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	convey.So(err, convey.ShouldBeNil)
	convey.Reset(func() { _ = c.Close() })
	convey.So(c.SetDeadline(time.Now().Add(10*time.Second)), convey.ShouldBeNil)
	return c
}

func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

// statusOf sends a request and returns the status of the response, or 0 if the connection ends without
// one.
func statusOf(c net.Conn, request string) int {
	// The peer may end the connection before it has read all.
	go func() { _, _ = io.WriteString(c, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestLimits(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	chunks := func(chunk string, n int) string {
		return post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, n) + "0\r\n\r\n"
	}
	for _, tt := range []struct {
		name, request string
		status        int
	}{
		{"many fields", post + fields(200) + "\r\n", 200},
		{"too many fields", post + fields(400) + "\r\n", 400},
		{"a large header", post + "X: " + strings.Repeat("x", 16_000) + "\r\n\r\n", 200},
		{"a header over the limit", post + "X: " + strings.Repeat("x", 30_000) + "\r\n\r\n", 431},
		{"an empty line before the request", "\r\n" + post + "\r\n", 200},
		{"many empty lines before the request", strings.Repeat("\r\n", 100) + post + "\r\n", 400},
		{"a usual body in chunks of one byte", chunks("1\r\nx\r\n", 20_000), 200},
		{"4 MB in chunks of one byte", chunks("1\r\nx\r\n", 4<<20), 408},
		{"4 MB in chunks of 64 bytes", chunks("40\r\n"+strings.Repeat("x", 64)+"\r\n", 64<<10), 200},
		{"a long chunk extension", chunks("1;"+strings.Repeat("x", 8<<10)+"\r\nx\r\n", 1), 408},
		{"a long trailer", post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields(2000) + "\r\n", 408},
	} {
		convey.Convey(tt.name, t, func() {
			convey.So(statusOf(serve(testConfig(), readBody), tt.request), convey.ShouldEqual, tt.status)
		})
	}
}

// Guards against connections that are held by peers which stop in the midst of a request or a response.
func TestStalledPeers(t *testing.T) {
	cfg := testConfig()
	cfg.Times = Times{Head: 200 * time.Millisecond, Stall: 200 * time.Millisecond, Grace: 400 * time.Millisecond, Unread: 200 * time.Millisecond}
	convey.Convey("A header that stops ends the connection", t, func() {
		convey.So(statusOf(serve(cfg, readBody), "POST / HTTP/1.1\r\nHo"), convey.ShouldEqual, 0)
	})
	convey.Convey("A body that stops ends the request", t, func() {
		convey.So(statusOf(serve(cfg, readBody), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx"), convey.ShouldEqual, http.StatusRequestTimeout)
	})
	convey.Convey("A body below the rate ends the request", t, func() {
		c := serve(cfg, readBody)
		go func() {
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for ; err == nil; time.Sleep(50 * time.Millisecond) {
				_, err = io.WriteString(c, "1\r\nx\r\n")
			}
		}()
		convey.So(statusOf(c, ""), convey.ShouldEqual, http.StatusRequestTimeout)
	})
	convey.Convey("A response that is not read ends the connection", t, func() {
		failed := make(chan error, 1)
		c := serve(cfg, func(w http.ResponseWriter, _ *http.Request) {
			var err error
			for block := bytes.Repeat([]byte("x"), 1<<20); err == nil; {
				_, err = w.Write(block)
			}
			failed <- err
		})
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		convey.So(err, convey.ShouldBeNil)
		select {
		case err = <-failed:
		case <-time.After(10 * time.Second):
		}
		convey.So(err, convey.ShouldNotBeNil)
	})
	convey.Convey("An idle connection stays open", t, func() {
		c := serve(cfg, readBody)
		for range 2 {
			convey.So(statusOf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"), convey.ShouldEqual, http.StatusOK)
			time.Sleep(600 * time.Millisecond)
		}
	})
}

// Guards against bytes of headers and chunks that the budget does not count or release.
func TestBudgetOfConnections(t *testing.T) {
	convey.Convey("What a connection holds counts until it is closed", t, func() {
		cfg := testConfig()
		cfg.Budget = bytebudget.New(bytebudget.Config{Total: 1 << 20})
		c := serve(cfg, readBody)
		held := func(want bool) bool {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if (cfg.Budget.Status().Held > 0) == want {
					return true
				}
			}
			return false
		}
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nX: "+strings.Repeat("x", 9000))
		convey.So(err, convey.ShouldBeNil)
		convey.So(held(true), convey.ShouldBeTrue)
		convey.So(statusOf(c, "\r\nHost: h\r\n\r\n"), convey.ShouldEqual, http.StatusOK)
		convey.So(held(false), convey.ShouldBeTrue)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nx")
		convey.So(err, convey.ShouldBeNil)
		convey.So(held(true), convey.ShouldBeTrue)
		convey.So(c.Close(), convey.ShouldBeNil)
		convey.So(held(false), convey.ShouldBeTrue)
	})
}

// Guards against a refusal for want of memory that does not say that the request has not run.
func TestHeaderWithoutMemory(t *testing.T) {
	convey.Convey("A header for which there is no memory is answered with status 503 and a time to come back", t, func() {
		cfg := testConfig()
		cfg.Budget = bytebudget.New(bytebudget.Config{Total: 4 << 10})
		c := serve(cfg, readBody)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nX: "+strings.Repeat("x", 9000))
		convey.So(err, convey.ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		convey.So(err, convey.ShouldBeNil)
		text, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(resp.Header.Get("Retry-After"), convey.ShouldNotBeEmpty)
		convey.So(string(text), convey.ShouldEqual, `{"Reason":"MemoryFull","Verdict":"NotRun"}`)
	})
}

// BenchmarkChunks measures the processor time that a body takes, by the size of its chunks: of the bytes
// on the wire, as net/http reads them alone and behind a Conn.
func BenchmarkChunks(b *testing.B) {
	const wire = 1 << 17
	for _, size := range []int{1, 16, 64, 1 << 10, 16 << 10} {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		request := []byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, wire/len(chunk)) + "0\r\n\r\n")
		for _, behind := range []bool{false, true} {
			b.Run(fmt.Sprintf("size=%d/conn=%t", size, behind), func(b *testing.B) {
				b.SetBytes(int64(len(request)))
				cfg := testConfig()
				for range b.N {
					var r net.Conn = &fakeConn{text: request, sizes: func() int { return 1 << 20 }}
					if behind {
						r = newConn(r, cfg)
					}
					req, err := http.ReadRequest(bufio.NewReader(r))
					if err != nil {
						b.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
