package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestParseLimit(t *testing.T) {
	const name = "Limit"
	convey.Convey("A limit is a decimal number of requests a second", t, func() {
		for value, want := range map[string]fleet.RequestRate{"2.3": 2.3, "7": 7, "0": minLimit, "0.01": minLimit, "1e6": maxLimit} {
			limit, err := parseLimit(http.Header{name: {value}}, name)
			convey.So(err, convey.ShouldBeNil)
			convey.So(limit, convey.ShouldEqual, want)
		}
		limit, err := parseLimit(http.Header{}, name)
		convey.So(err, convey.ShouldBeNil)
		convey.So(limit, convey.ShouldEqual, fleet.RequestRate(0))
	})
	convey.Convey("Other values are errors", t, func() {
		for _, values := range [][]string{{""}, {"-1"}, {"NaN"}, {"Inf"}, {"1e9"}, {"two"}, {"2 "}, {"1", "2"}, {"9999999999999999999999999e999"}} {
			limit, err := parseLimit(http.Header{name: values}, name)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(limit, convey.ShouldEqual, fleet.RequestRate(0))
		}
	})
}

func TestParseLeaving(t *testing.T) {
	const name = "Leaving"
	convey.Convey("A target leaves if a value of the header is 1", t, func() {
		for _, values := range [][]string{{"1"}, {"1", "1"}, {"0", "1"}} {
			leaving, err := parseLeaving(http.Header{name: values}, name)
			convey.So(err, convey.ShouldBeNil)
			convey.So(leaving, convey.ShouldBeTrue)
		}
		leaving, err := parseLeaving(http.Header{}, name)
		convey.So(err, convey.ShouldBeNil)
		convey.So(leaving, convey.ShouldBeFalse)
	})
	convey.Convey("Other values are errors", t, func() {
		for _, values := range [][]string{{""}, {"0"}, {"yes"}, {"11"}} {
			leaving, err := parseLeaving(http.Header{name: values}, name)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(leaving, convey.ShouldBeFalse)
		}
	})
}

func TestParseRetryAfter(t *testing.T) {
	convey.Convey("Retry-After is a number of seconds, up to a maximum", t, func() {
		for value, want := range map[string]time.Duration{"0": 0, "2": 2 * time.Second, "0.25": 250 * time.Millisecond, "1e9": maxRetryAfter, "Inf": maxRetryAfter} {
			after, err := parseRetryAfter(http.Header{"Retry-After": {value}})
			convey.So(err, convey.ShouldBeNil)
			convey.So(after, convey.ShouldEqual, want)
		}
	})
	convey.Convey("Other values are errors", t, func() {
		for _, values := range [][]string{{""}, {"-1"}, {"NaN"}, {"Fri, 04 Dec 2026 16:00:00 GMT"}, {"1", "1"}} {
			after, err := parseRetryAfter(http.Header{"Retry-After": values})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(after, convey.ShouldEqual, time.Duration(0))
		}
	})
}
