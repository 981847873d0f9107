package shell

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// failingStorage is a storage whose first syncs fail. It counts records.
type failingStorage struct {
	failures int
	pending  int
	durable  int
	discards int
}

func (d *failingStorage) Append(records ...[]byte) error {
	d.pending += len(records)
	return nil
}

func (d *failingStorage) Sync() error {
	if d.failures > 0 {
		d.failures--
		return errors.New("no space left on device")
	}
	d.durable += d.pending
	d.pending = 0
	return nil
}

func (d *failingStorage) Discard() {
	d.discards++
	d.pending = 0
}

func (d *failingStorage) Replace(...[]byte) error    { return nil }
func (d *failingStorage) Records() ([][]byte, error) { return nil, nil }
func (d *failingStorage) Close() error               { return nil }
func newWrite(seq fleet.Sequence) quorum.Write {
	return quorum.Write{Sequence: seq, Records: []quorum.Record{{Vote: &quorum.Vote{Term: fleet.Term(seq)}}}}
}

func TestFullDisk(t *testing.T) {
	convey.Convey("Writes that fail on a full disk are retried, stored once and reported only when durable", t, func() {
		d := &failingStorage{failures: 3}
		durable := make(chan fleet.Sequence, 8)
		reportedEarly := false
		w := newWriter(d, false, func(seq fleet.Sequence) { durable <- seq }, func(error) bool {
			reportedEarly = reportedEarly || len(durable) > 0
			return true
		})
		w.add(newWrite(1))
		w.add(newWrite(2))
		ended := make(chan error, 1)
		go func() { ended <- w.run() }()
		select {
		case seq := <-durable:
			convey.So(seq, convey.ShouldEqual, fleet.Sequence(2))
		case <-time.After(5 * time.Second):
			convey.So("the write", convey.ShouldEqual, "done")
		}
		w.close()
		convey.So(<-ended, convey.ShouldBeNil)
		convey.So(reportedEarly, convey.ShouldBeFalse)
		convey.So(d.durable, convey.ShouldEqual, 2)
		convey.So(d.discards, convey.ShouldEqual, 3)
	})
	convey.Convey("Without a retry the error ends the writer", t, func() {
		w := newWriter(&failingStorage{failures: 1}, false, func(fleet.Sequence) {}, func(error) bool { return false })
		w.add(newWrite(1))
		convey.So(w.run(), convey.ShouldNotBeNil)
	})
}
