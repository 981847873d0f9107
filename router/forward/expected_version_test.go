package forward_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

// Guards against a request for weights that no target has, which took all targets out of use one after
// the other (review, case 8).
func TestRefusedVersion(t *testing.T) {
	convey.Convey("A request for another version goes to one target, which still serves other requests", t, func() {
		refuse := respond("421 Misdirected Request", "Content-Length: 5\r\n", "other")
		first, second := newFakeTarget(refuse, respondOK("x")), newFakeTarget(refuse, respondOK("x"))
		f := newFixture(deployment.KindIdempotent, 3, false, first, second)
		req, err := http.NewRequest(http.MethodPost, f.server.URL+"/x", nil)
		convey.So(err, convey.ShouldBeNil)
		req.Header.Set("Request-Id", "id-1")
		req.Header.Set("Expected-Version", "9")
		resp, err := http.DefaultClient.Do(req)
		convey.So(err, convey.ShouldBeNil)
		body, err := io.ReadAll(resp.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.Body.Close(), convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusServiceUnavailable)
		convey.So(string(body), convey.ShouldContainSubstring, "VersionRefused")
		convey.So(string(body), convey.ShouldContainSubstring, "NotRun")
		convey.So(first.count()+second.count(), convey.ShouldEqual, 1)
		refusing, other := first, second
		if second.count() == 1 {
			refusing, other = second, first
		}
		other.responses = slices.Repeat([]func(net.Conn, *http.Request){respondOK("x")}, 20)
		for i := 0; i < 20 && refusing.count() == 1; i++ {
			status, _, err := f.post("id-2", "")
			convey.So(err, convey.ShouldBeNil)
			convey.So(status, convey.ShouldEqual, http.StatusOK)
		}
		convey.So(refusing.count(), convey.ShouldBeGreaterThan, 1)
	})
}
