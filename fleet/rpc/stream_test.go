package rpc

import (
	"encoding/json"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"
)

// TestParseNotification guards against a notification that is taken for a call or loses a part of
// its parameters, whichever side encoded it.
func TestParseNotification(t *testing.T) {
	convey.Convey("Notifications are split, other messages are left to the library", t, func() {
		params := map[string]any{"Text": `"params":{}} "method":"`, "N": 1.0}
		encoded, err := EncodeNotification("Feed.Load", params)
		convey.So(err, convey.ShouldBeNil)
		raw, err := json.Marshal(params)
		convey.So(err, convey.ShouldBeNil)
		message := json.RawMessage(raw)
		request := jsonrpc2.Request{Method: "Feed.Load", Params: &message, Notif: true}
		byLibrary, err := json.Marshal(request)
		convey.So(err, convey.ShouldBeNil)
		for _, line := range [][]byte{encoded, byLibrary} {
			method, got, ok := parseNotification(line)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(method, convey.ShouldEqual, "Feed.Load")
			var decoded map[string]any
			convey.So(json.Unmarshal(got, &decoded), convey.ShouldBeNil)
			convey.So(decoded, convey.ShouldResemble, params)
		}
		request.Notif = false
		call, err := json.Marshal(request)
		convey.So(err, convey.ShouldBeNil)
		for _, line := range []string{string(call), `{"id":1,"jsonrpc":"2.0","result":{}}`, `{"jsonrpc":"2.0","method":"A"}`, "{", ""} {
			_, _, ok := parseNotification([]byte(line))
			convey.So(ok, convey.ShouldBeFalse)
		}
	})
}
