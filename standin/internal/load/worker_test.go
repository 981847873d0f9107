package load_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/load"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

// fakeHost acts as a router and its targets, and can be made to violate their guarantees.
type fakeHost struct {
	*httptest.Server
	rec *record.Record

	mu       sync.Mutex
	requests int
	// changeAnswer changes the body of each answer, omitRecord leaves runs out of the record,
	// recordTwice records each run twice, failNotRun answers NotRun after recording the run.
	changeAnswer func(body string) string
	omitRecord   bool
	recordTwice  bool
	failNotRun   bool
}

func newFakeHost(t *testing.T) *fakeHost {
	rec, err := record.Open("")
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeHost{rec: rec, changeAnswer: func(s string) string { return s }}
	h.Server = httptest.NewServer(h)
	t.Cleanup(h.Close)
	return h
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.requests++
	id := fleet.RequestID(fmt.Sprint("request-", h.requests))
	h.mu.Unlock()
	if r.URL.Path == "/v1/hosts" {
		fmt.Fprintf(w, `{"Hosts":[{"Address":%q,"DataCentre":"a"}],"ValidSeconds":5}`, h.Listener.Addr())
		return
	}
	body, _ := io.ReadAll(r.Body)
	run := record.Run{RequestID: id, Key: fleet.IdempotencyKey(r.Header.Get("Idempotency-Key")), Started: time.Now()}
	if !h.omitRecord {
		h.recordRun(run)
	}
	if h.recordTwice {
		h.recordRun(run)
	}
	w.Header().Set("Fuchsiashed-Request-Id", string(id))
	if h.failNotRun {
		w.Header().Set("Fuchsiashed-Verdict", "NotRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"Verdict":"NotRun","Reason":"NoTarget","RequestId":%q}`, id)
		return
	}
	fmt.Fprint(w, h.changeAnswer(wantAnswer(r, body)))
}

func (h *fakeHost) recordRun(r record.Run) {
	if _, err := h.rec.Start(r); err != nil {
		panic(err)
	}
}

func wantAnswer(r *http.Request, body []byte) string {
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/desk"); ok {
		return answer.PlainBody(r.Method, path, body)
	}
	completion, err := answer.ParseCompletion(body)
	if err != nil {
		panic(err)
	}
	if completion.Stream {
		return completion.StreamBody()
	}
	return completion.UnaryBody()
}

func (h *fakeHost) runLoad(ctx context.Context) (*load.Result, error) {
	return load.Run(ctx, load.Config{
		Clock: fleet.SystemClock{}, Log: slog.New(slog.DiscardHandler), Client: h.Client(),
		EntryHosts:   []netip.AddrPort{netip.MustParseAddrPort(h.Listener.Addr().String())},
		Customers:    []load.Customer{{Name: "large", Key: "k1", Workers: 3}, {Name: "small", Key: "k2", Workers: 1}},
		ModelService: "drafter", PlainService: "desk", PlainPercent: 50, MeanTokens: 5, Duration: time.Second,
		Pause: 2 * time.Millisecond, RequestTimeout: time.Second, MaxAttempts: 1, Seed: 1,
		FetchRecords: func() ([]load.TargetRecord, error) {
			return []load.TargetRecord{{Target: "t", Runs: h.rec.Runs()}}, nil
		},
	})
}

func TestRunFindsWhatMustNotHappen(t *testing.T) {
	tests := []struct {
		name      string
		misbehave func(*fakeHost)
		want      string
	}{
		{"a correct fleet", func(*fakeHost) {}, ""},
		{"a changed byte", func(h *fakeHost) { h.changeAnswer = func(s string) string { return s[:len(s)-1] + "x" } }, "had a wrong byte"},
		{"a short answer", func(h *fakeHost) { h.changeAnswer = func(s string) string { return s[:len(s)/2] } }, "had a wrong byte"},
		{"a call that ran twice", func(h *fakeHost) { h.recordTwice = true }, "ran more than once"},
		{"a call that never ran", func(h *fakeHost) { h.omitRecord = true }, "was answered but never ran"},
		{"a false NotRun", func(h *fakeHost) { h.failNotRun = true }, "ran although its failure said NotRun"},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			h := newFakeHost(t)
			tt.misbehave(h)
			res, err := h.runLoad(context.Background())
			convey.So(err, convey.ShouldBeNil)
			convey.So(res.Requests, convey.ShouldBeGreaterThan, 10)
			if tt.want == "" {
				convey.So(res.Violations(), convey.ShouldBeEmpty)
				convey.So(res.Answered, convey.ShouldEqual, res.Requests)
				return
			}
			convey.So(strings.Join(res.Violations(), "\n"), convey.ShouldContainSubstring, tt.want)
		})
	}
}
