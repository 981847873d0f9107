package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/control/disk"
)

func TestReplaceKeepsWorkingAfterAnError(t *testing.T) {
	convey.Convey("A failed Replace keeps the stored records, and it can be retried", t, func() {
		folder := t.TempDir()
		l, err := disk.Open(folder)
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Append([]byte("one")), convey.ShouldBeNil)
		convey.So(l.Sync(), convey.ShouldBeNil)
		// A folder with the name of the new file makes Replace fail.
		blocker := filepath.Join(folder, "replica.log.new")
		convey.So(os.Mkdir(blocker, 0o700), convey.ShouldBeNil)
		convey.So(l.Replace([]byte("two")), convey.ShouldNotBeNil)
		convey.So(l.Append([]byte("three")), convey.ShouldBeNil)
		convey.So(l.Sync(), convey.ShouldBeNil)
		records, err := l.Records()
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(records), convey.ShouldEqual, 2)
		convey.So(os.Remove(blocker), convey.ShouldBeNil)
		convey.So(l.Replace([]byte("two")), convey.ShouldBeNil)
		convey.So(l.Append([]byte("four")), convey.ShouldBeNil)
		convey.So(l.Sync(), convey.ShouldBeNil)
		records, err = l.Records()
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(records[0])+string(records[1]), convey.ShouldEqual, "twofour")
		convey.So(l.Close(), convey.ShouldBeNil)
	})
}
