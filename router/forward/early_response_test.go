package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// newEarlyTarget starts a target that writes a response once it has the head of a request, and resets
// the connection a little later. Nothing of the request's body is read.
func newEarlyTarget(response string) *fakeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	convey.Reset(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				var head []byte
				for b := make([]byte, 1); !strings.HasSuffix(string(head), "\r\n\r\n"); head = append(head, b[0]) {
					if _, err := io.ReadFull(c, b); err != nil {
						return
					}
				}
				fmt.Fprint(c, response)
				time.Sleep(10 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return &fakeTarget{ln: ln}
}

// Guards against a target that responds before it has read a long request, and resets the connection:
// the part of an unframed response that came before must not be passed on as a whole one (MIXED).
func TestResetDuringUpload(t *testing.T) {
	responses := map[string]string{
		"an unframed answer": "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nConnection: close\r\n\r\npart of the answer",
		"an unframed stream": "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: 1\n\n",
	}
	upload := strings.Repeat("x", 4<<20)
	for name, response := range responses {
		convey.Convey("The part of "+name+" is not passed on as a whole", t, func() {
			for range 20 {
				f := newFixture(deployment.KindAtMostOnce, 1, false, newEarlyTarget(response))
				status, body, err := f.post("id-1", upload)
				if err == nil && status == http.StatusOK {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			}
		})
	}
}
