package logtrail_test

import (
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/logtrail"
)

func readLines(text string) []logtrail.Line {
	lines, _, err := logtrail.Read(strings.NewReader(text))
	convey.So(err, convey.ShouldBeNil)
	return lines
}

// retriedRequestLog is the log of a request whose first attempt broke and whose second was
// answered. The router's clock jumps back during the first attempt.
const retriedRequestLog = `
   1.2 router-1 {"time":"2026-06-01T10:00:01.0Z","level":"INFO","msg":"RequestSent","host":"router-1","request":"r","attempt":1,"target":"t-1"}
   1.5 router-1 {"time":"2026-06-01T10:00:00.5Z","level":"WARN","msg":"AttemptEnded","host":"router-1","request":"r","attempt":1,"target":"t-1","outcome":"Broken","status":0,"error":"connection reset","elapsedMs":300}
{"time":"2026-06-01T10:00:01.4Z","level":"INFO","msg":"RequestSent","host":"router-1","request":"r","attempt":2,"target":"t-2"}
{"time":"2026-06-01T10:00:01.9Z","level":"INFO","msg":"AttemptEnded","host":"router-1","request":"r","attempt":2,"target":"t-2","outcome":"Answered","status":200,"elapsedMs":800}
{"time":"2026-06-01T10:00:00.9Z","level":"INFO","msg":"TargetAnnounced","host":"control-1","target":"t-1","state":"Leaving"}
{"time":"2026-06-01T10:00:00.9Z","level":"INFO","msg":"TargetAnnounced","host":"control-1","target":"t-9","state":"Leaving"}
not a line
`

func TestTraceRequest(t *testing.T) {
	convey.Convey("The lines of a request are in causal order, with the changes of its targets", t, func() {
		trace := logtrail.TraceRequest(readLines(retriedRequestLog), "r")
		convey.So(len(trace.Lines), convey.ShouldEqual, 5)
		convey.So(trace.Cause, convey.ShouldContainSubstring, "attempt 2 at target t-2 ended as Answered")
		convey.So(trace.Missing, convey.ShouldBeEmpty)
		var attempts []string
		for _, l := range trace.Lines {
			if l.Event != "TargetAnnounced" {
				attempts = append(attempts, l.Event)
			}
		}
		convey.So(attempts, convey.ShouldResemble, []string{"RequestSent", "AttemptEnded", "RequestSent", "AttemptEnded"})
	})
	convey.Convey("Missing lines are listed", t, func() {
		trace := logtrail.TraceRequest(readLines(strings.Join(strings.Split(retriedRequestLog, "\n")[:2], "\n")), "r")
		convey.So(trace.Missing, convey.ShouldHaveLength, 1)
		convey.So(logtrail.TraceRequest(nil, "r").Missing, convey.ShouldHaveLength, 1)
	})
}

// hedgedRequestLog is the log of a request whose slow first attempt was answered before the second one
// beside it.
const hedgedRequestLog = `
{"time":"2026-06-01T10:00:01.0Z","level":"INFO","msg":"RequestSent","host":"router-1","request":"r","attempt":1,"target":"t-1"}
{"time":"2026-06-01T10:00:01.1Z","level":"INFO","msg":"RequestSent","host":"router-1","request":"r","attempt":2,"target":"t-2","hedgeOf":1}
{"time":"2026-06-01T10:00:01.2Z","level":"INFO","msg":"AttemptEnded","host":"router-1","request":"r","attempt":1,"target":"t-1","outcome":"Answered","status":200,"elapsedMs":200}
{"time":"2026-06-01T10:00:01.2Z","level":"INFO","msg":"AttemptEnded","host":"router-1","request":"r","attempt":2,"target":"t-2","outcome":"Superseded","status":0,"elapsedMs":200}
{"time":"2026-06-01T10:00:01.2Z","level":"INFO","msg":"HedgeEnded","host":"router-1","request":"r","attempt":2,"winner":1,"target":"t-2","outcome":"Superseded"}
`

// Guards against an explanation that names the attempt that lost.
func TestTraceHedgedRequest(t *testing.T) {
	convey.Convey("Of two attempts at once, the one that was answered is named", t, func() {
		trace := logtrail.TraceRequest(readLines(hedgedRequestLog), "r")
		convey.So(trace.Cause, convey.ShouldContainSubstring, "attempt 1 at target t-1 ended as Answered")
		convey.So(trace.Missing, convey.ShouldBeEmpty)
	})
}

// TestRecordedFailures traces twenty failed requests of a recorded log with many failures.
func TestRecordedFailures(t *testing.T) {
	convey.Convey("Each of twenty failed requests of a recorded log has a cause", t, func() {
		f, err := os.Open("testdata/failed.log")
		convey.So(err, convey.ShouldBeNil)
		defer f.Close()
		lines, skipped, err := logtrail.Read(f)
		convey.So(err, convey.ShouldBeNil)
		convey.So(skipped, convey.ShouldEqual, 0)
		ids, err := os.ReadFile("testdata/failed.ids")
		convey.So(err, convey.ShouldBeNil)
		failed := strings.Fields(string(ids))
		convey.So(len(failed), convey.ShouldEqual, 20)
		for _, id := range failed {
			trace := logtrail.TraceRequest(lines, id)
			convey.So(trace.Lines, convey.ShouldNotBeEmpty)
			convey.So(trace.Cause, convey.ShouldNotContainSubstring, "not logged")
		}
	})
}
