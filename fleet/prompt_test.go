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

func TestPrefixOf(t *testing.T) {
	manual := strings.Repeat("m", fleet.PrefixLength)
	convey.Convey("Prompts that begin alike have the same prefix, and no others", t, func() {
		convey.So(fleet.PrefixOf(completion(manual, "one")), convey.ShouldEqual, fleet.PrefixOf(completion(manual, "two")))
		convey.So(fleet.PrefixOf(completion("short", "one")), convey.ShouldNotEqual, fleet.PrefixOf(completion("short", "two")))
		convey.So(fleet.PrefixOf([]byte(`{"messages":[]}`)), convey.ShouldEqual, fleet.PrefixHash(0))
		convey.So(fleet.PrefixOf([]byte("POST")), convey.ShouldEqual, fleet.PrefixHash(0))
	})
}
