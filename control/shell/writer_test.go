package shell

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// fullDisk is a storage that refuses its first syncs.
type fullDisk struct {
	refuse   int
	pending  int
	durable  int
	discards int
}

func (d *fullDisk) Append(records ...[]byte) error {
	d.pending += len(records)
	return nil
}

func (d *fullDisk) Sync() error {
	if d.refuse > 0 {
		d.refuse--
		return errors.New("no space left on device")
	}
	d.durable += d.pending
	d.pending = 0
	return nil
}

func (d *fullDisk) Discard() {
	d.discards++
	d.pending = 0
}

func (d *fullDisk) Replace(...[]byte) error    { return nil }
func (d *fullDisk) Records() ([][]byte, error) { return nil, nil }
func (d *fullDisk) Close() error               { return nil }
func newWrite(seq fleet.Sequence) quorum.Write {
	return quorum.Write{Sequence: seq, Records: []quorum.Record{{Vote: &quorum.Vote{Term: fleet.Term(seq)}}}}
}

func TestFullDisk(t *testing.T) {
	convey.Convey("What a full disk refuses is written again, once, and told only when it is durable", t, func() {
		d := &fullDisk{refuse: 3}
		done := make(chan fleet.Sequence, 8)
		early := false
		w := newWriter(d, false, func(seq fleet.Sequence) { done <- seq }, func(error) bool {
			early = early || len(done) > 0
			return true
		})
		w.add(newWrite(1))
		w.add(newWrite(2))
		ended := make(chan error, 1)
		go func() { ended <- w.run() }()
		select {
		case seq := <-done:
			convey.So(seq, convey.ShouldEqual, fleet.Sequence(2))
		case <-time.After(5 * time.Second):
			convey.So("the write", convey.ShouldEqual, "done")
		}
		w.close()
		convey.So(<-ended, convey.ShouldBeNil)
		convey.So(early, convey.ShouldBeFalse)
		convey.So(d.durable, convey.ShouldEqual, 2)
		convey.So(d.discards, convey.ShouldEqual, 3)
	})
	convey.Convey("A replica that does not write again ends", t, func() {
		w := newWriter(&fullDisk{refuse: 1}, false, func(fleet.Sequence) {}, func(error) bool { return false })
		w.add(newWrite(1))
		convey.So(w.run(), convey.ShouldNotBeNil)
	})
}
