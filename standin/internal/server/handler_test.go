package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/server"
)

const (
	streamedRequest = `{"messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":20}`
	unaryRequest    = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":20}`
)

// testTarget is a stand-in target in the test's process.
type testTarget struct {
	*httptest.Server
	record  *record.Record
	engine  *engine.Engine
	crashed chan string
}

func newTestTarget(t *testing.T, p fleet.Protocol, configure func(*engine.Config)) *testTarget {
	gin.SetMode(gin.ReleaseMode)
	rec, err := record.Open("")
	if err != nil {
		t.Fatal(err)
	}
	s := &testTarget{record: rec, crashed: make(chan string, 1)}
	crash := func(why string) {
		s.crashed <- why
		panic(http.ErrAbortHandler)
	}
	faults := &fault.Injector{}
	cfg := engine.Config{Clock: fleet.SystemClock{}, Record: rec, Faults: faults, Slots: 2, ColdSlots: 1, ColdFailure: engine.ColdOverloaded, Crash: crash}
	if configure != nil {
		configure(&cfg)
	}
	s.engine = engine.New(cfg)
	h := server.NewHandler(server.HandlerConfig{
		Clock: cfg.Clock, Protocol: p, Engine: s.engine, Faults: faults, Record: rec, FirstToken: 5 * time.Millisecond,
		TokenInterval: 2 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Crash: crash, OnFaultSet: func(fault.Injection) {},
	})
	r := gin.New()
	h.Register(r)
	s.Server = httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s
}

// client opens a connection for every request: on a reused connection Go's transport
// retries a request with an Idempotency-Key by itself after a reset.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a request and returns what was received, also if reading the answer failed.
func (s *testTarget) send(method, path, id, body string) (status int, header http.Header, got string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	req.Header.Set("Fuchsiashed-Request-Id", id)
	req.Header.Set("Idempotency-Key", "key-"+id)
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(raw), err
}

func (s *testTarget) complete(id, body string) (int, http.Header, string, error) {
	return s.send(http.MethodPost, "/v1/chat/completions", id, body)
}

func (s *testTarget) injectFault(injection string) {
	status, _, got, err := s.send(http.MethodPost, "/standin/fault", "", injection)
	if err != nil || status != http.StatusNoContent {
		panic(fmt.Sprintf("inject %s: %d %s %v", injection, status, got, err))
	}
}

func wantAnswer(body string) string {
	c, err := answer.ParseCompletion([]byte(body))
	if err != nil {
		panic(err)
	}
	if c.Stream {
		return c.StreamBody()
	}
	return c.UnaryBody()
}

func TestAnswers(t *testing.T) {
	s := newTestTarget(t, fleet.ProtocolModel, nil)
	plain := newTestTarget(t, fleet.ProtocolPlain, nil)
	convey.Convey("Answers are complete and depend on the request alone", t, func() {
		_, _, got, err := s.complete("r1", streamedRequest)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, wantAnswer(streamedRequest))
		convey.So(strings.Count(got, "data: "), convey.ShouldEqual, 21)
		_, _, got, err = s.complete("r2", unaryRequest)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, wantAnswer(unaryRequest))
		convey.So(got, convey.ShouldContainSubstring, `"completion_tokens":20`)
		status, _, got, _ := plain.send(http.MethodPost, "/filings", "r3", "{}")
		convey.So(status, convey.ShouldEqual, http.StatusOK)
		convey.So(got, convey.ShouldEqual, answer.PlainBody(http.MethodPost, "/filings", []byte("{}")))
		convey.So(plain.record.Runs()[0].Key, convey.ShouldEqual, fleet.IdempotencyKey("key-r3"))
		convey.So(plain.record.Runs()[0].Ended.IsZero(), convey.ShouldBeFalse)
	})
	convey.Convey("A stream is resumed from an offset", t, func() {
		_, _, got, err := s.send(http.MethodGet, "/v1/streams/r1?Offset=100", "", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, wantAnswer(streamedRequest)[100:])
		_, header, got, err := s.send(http.MethodGet, "/v1/streams/r2?Offset=10", "", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, wantAnswer(unaryRequest)[10:])
		convey.So(header.Get("Content-Type"), convey.ShouldEqual, "application/json")
		status, _, _, _ := s.send(http.MethodGet, "/v1/streams/unknown", "", "")
		convey.So(status, convey.ShouldEqual, http.StatusNotFound)
	})
}

func TestFaults(t *testing.T) {
	convey.Convey("Answers with a fault end with a connection error and can be resumed", t, func() {
		s := newTestTarget(t, fleet.ProtocolModel, nil)
		for i, injection := range []string{
			`{"Fault":"Reset","Count":1}`, `{"Fault":"Reset","Count":1,"Phase":"Headers"}`, `{"Fault":"Silent","Count":1}`,
		} {
			id := fmt.Sprintf("r%d", i)
			s.injectFault(injection)
			_, _, got, err := s.complete(id, streamedRequest)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(strings.HasPrefix(wantAnswer(streamedRequest), got), convey.ShouldBeTrue)
			_, _, rest, err := s.send(http.MethodGet, fmt.Sprintf("/v1/streams/%s?Offset=%d", id, len(got)), "", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(got+rest, convey.ShouldEqual, wantAnswer(streamedRequest))
		}
		convey.So(len(s.record.Runs()), convey.ShouldEqual, 3)
	})
	convey.Convey("A short answer ends without a connection error and without its last event", t, func() {
		s := newTestTarget(t, fleet.ProtocolModel, nil)
		s.injectFault(`{"Fault":"ShortAnswer","Count":1}`)
		_, _, got, err := s.complete("r1", streamedRequest)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldEqual, wantAnswer(streamedRequest)[:len(wantAnswer(streamedRequest))/2])
	})
	convey.Convey("A reset before the run leaves no record", t, func() {
		s := newTestTarget(t, fleet.ProtocolModel, nil)
		s.injectFault(`{"Fault":"Reset","Count":1,"Phase":"Accept"}`)
		_, _, _, err := s.complete("r1", streamedRequest)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(s.record.Runs(), convey.ShouldBeEmpty)
	})
	convey.Convey("A request with the poison marker crashes the target after it was recorded", t, func() {
		s := newTestTarget(t, fleet.ProtocolPlain, nil)
		_, _, _, err := s.send(http.MethodPost, "/filings", "r1", answer.PoisonMarker)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(<-s.crashed, convey.ShouldContainSubstring, answer.PoisonMarker)
		convey.So(len(s.record.Runs()), convey.ShouldEqual, 1)
	})
	convey.Convey("Unknown faults are refused", t, func() {
		s := newTestTarget(t, fleet.ProtocolPlain, nil)
		status, _, got, _ := s.send(http.MethodPost, "/standin/fault", "", `{"Fault":"Rain"}`)
		convey.So(status, convey.ShouldEqual, http.StatusBadRequest)
		convey.So(got, convey.ShouldContainSubstring, `Fault "Rain" does not exist`)
	})
}

func TestAdmission(t *testing.T) {
	long := strings.Replace(streamedRequest, "20", "200", 1)
	tests := []struct {
		name      string
		configure func(*engine.Config)
		running   int
		status    int
		notRun    string
		runs      int
	}{
		{"full", nil, 2, http.StatusServiceUnavailable, "true", 2},
		{"cold and overloaded", func(c *engine.Config) { c.WarmAfter = 3 }, 1, http.StatusServiceUnavailable, "true", 1},
		{"cold and failing", func(c *engine.Config) { c.WarmAfter, c.ColdFailure = 3, engine.ColdError }, 1, http.StatusInternalServerError, "", 2},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			s := newTestTarget(t, fleet.ProtocolModel, tt.configure)
			for i := range tt.running {
				go s.complete(fmt.Sprint("busy-", i), long)
			}
			for len(s.engine.Running()) < tt.running {
				time.Sleep(time.Millisecond)
			}
			status, header, _, err := s.complete("r1", streamedRequest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, tt.status)
			convey.So(header.Get("Fuchsiashed-Not-Run"), convey.ShouldEqual, tt.notRun)
			convey.So(len(s.record.Runs()), convey.ShouldEqual, tt.runs)
			status, _, _, _ = s.send(http.MethodDelete, "/v1/streams/busy-0", "", "")
			convey.So(status, convey.ShouldEqual, http.StatusNoContent)
		})
	}
}
