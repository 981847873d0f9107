package record_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

func TestRecordSurvivesRestart(t *testing.T) {
	convey.Convey("Runs are read back, also those without an end and those before an incomplete line", t, func() {
		path := filepath.Join(t.TempDir(), "record")
		rec, err := record.Open(path)
		convey.So(err, convey.ShouldBeNil)
		n, err := rec.Start(record.Run{RequestID: "r1", Started: time.Unix(1, 0).UTC()})
		convey.So(err, convey.ShouldBeNil)
		convey.So(rec.End(n, time.Unix(2, 0).UTC()), convey.ShouldBeNil)
		_, err = rec.Start(record.Run{RequestID: "r2", Key: "k"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(rec.Close(), convey.ShouldBeNil)
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		convey.So(err, convey.ShouldBeNil)
		_, err = f.WriteString(`{"N":2,"Ru`)
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.Close(), convey.ShouldBeNil)

		runs, err := record.Read(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(runs), convey.ShouldEqual, 2)
		reopened, err := record.Open(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(reopened.Runs(), convey.ShouldResemble, []record.Run{
			{RequestID: "r1", Started: time.Unix(1, 0).UTC(), Ended: time.Unix(2, 0).UTC()}, {RequestID: "r2", Key: "k"},
		})
		n, err = reopened.Start(record.Run{RequestID: "r3"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(n, convey.ShouldEqual, 2)
		convey.So(reopened.Close(), convey.ShouldBeNil)
		reopenedAgain, err := record.Open(path)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(reopenedAgain.Runs()), convey.ShouldEqual, 3)
		convey.So(reopenedAgain.Close(), convey.ShouldBeNil)
	})
}
