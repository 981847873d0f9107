package fleet_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func completion(system, user string) []byte {
	return fmt.Appendf(nil, `{"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, system, user)
}

func TestPromptPrefix(t *testing.T) {
	manual := strings.Repeat("m", fleet.PrefixBytes)
	convey.Convey("Only prompts with the same first PrefixBytes bytes have the same prefix hash", t, func() {
		convey.So(fleet.PromptPrefix(completion(manual, "one")), convey.ShouldEqual, fleet.PromptPrefix(completion(manual, "two")))
		convey.So(fleet.PromptPrefix(completion("short", "one")), convey.ShouldNotEqual, fleet.PromptPrefix(completion("short", "two")))
		convey.So(fleet.PromptPrefix([]byte(`{"messages":[]}`)), convey.ShouldEqual, fleet.PrefixHash(0))
		convey.So(fleet.PromptPrefix([]byte("POST")), convey.ShouldEqual, fleet.PrefixHash(0))
	})
}
