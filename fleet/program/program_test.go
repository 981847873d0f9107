package program

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
)

func TestErrorText(t *testing.T) {
	convey.Convey("Errors are logged without their stacks", t, func() {
		var out bytes.Buffer
		log := slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: ErrorText}))
		log.Error("Stop", "error", errors.Wrap(errors.New("disk is full"), "write log"))
		convey.So(out.String(), convey.ShouldEndWith, "msg=Stop error=\"write log: disk is full\"\n")
	})
}
