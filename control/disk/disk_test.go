package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/control/disk"
)

// writeRecords appends the records with one sync each and returns the path of the log file.
func writeRecords(folder string, records ...string) string {
	l, err := disk.Open(folder)
	convey.So(err, convey.ShouldBeNil)
	for _, rec := range records {
		convey.So(l.Append([]byte(rec)), convey.ShouldBeNil)
		convey.So(l.Sync(), convey.ShouldBeNil)
	}
	convey.So(l.Close(), convey.ShouldBeNil)
	return filepath.Join(folder, "replica.log")
}

// readRecords opens the storage in a folder and returns its records.
func readRecords(folder string) ([]string, error) {
	l, err := disk.Open(folder)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	raw, err := l.Records()
	records := make([]string, len(raw))
	for i := range raw {
		records[i] = string(raw[i])
	}
	return records, err
}

func TestTail(t *testing.T) {
	convey.Convey("Records survive a restart", t, func() {
		folder := t.TempDir()
		writeRecords(folder, "one", "two")
		writeRecords(folder, "three")
		records, err := readRecords(folder)
		convey.So(err, convey.ShouldBeNil)
		convey.So(records, convey.ShouldResemble, []string{"one", "two", "three"})
	})
	convey.Convey("A torn last frame is truncated, whatever its length", t, func() {
		folder := t.TempDir()
		path := writeRecords(folder, "one", "two")
		whole, err := os.ReadFile(path)
		convey.So(err, convey.ShouldBeNil)
		frameSize := len(whole) / 2
		for n := frameSize; n < len(whole); n++ {
			convey.So(os.WriteFile(path, whole[:n], 0o600), convey.ShouldBeNil)
			records, err := readRecords(folder)
			convey.So(err, convey.ShouldBeNil)
			convey.So(records, convey.ShouldResemble, []string{"one"})
			info, err := os.Stat(path)
			convey.So(err, convey.ShouldBeNil)
			convey.So(info.Size(), convey.ShouldEqual, frameSize)
		}
	})
}

func TestDamage(t *testing.T) {
	convey.Convey("A changed byte in a frame before the last is an error with the position of the frame", t, func() {
		folder := t.TempDir()
		path := writeRecords(folder, "one", "two", "three")
		whole, err := os.ReadFile(path)
		convey.So(err, convey.ShouldBeNil)
		frameSize := len("one") + 17
		for i := frameSize; i < 2*frameSize; i++ {
			damaged := append([]byte(nil), whole...)
			damaged[i] ^= 0x10
			convey.So(os.WriteFile(path, damaged, 0o600), convey.ShouldBeNil)
			_, err := readRecords(folder)
			var e *disk.DamagedError
			convey.So(err, convey.ShouldHaveSameTypeAs, e)
			convey.So(err.(*disk.DamagedError).Position, convey.ShouldEqual, frameSize)
			convey.So(err.Error(), convey.ShouldContainSubstring, path)
			convey.So(err.Error(), convey.ShouldContainSubstring, "control replace")
		}
	})
}

func TestReplace(t *testing.T) {
	convey.Convey("Replace replaces all stored records", t, func() {
		folder := t.TempDir()
		writeRecords(folder, "one", "two")
		l, err := disk.Open(folder)
		convey.So(err, convey.ShouldBeNil)
		_, err = disk.Open(folder)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(l.Replace([]byte("three")), convey.ShouldBeNil)
		convey.So(l.Append([]byte("four")), convey.ShouldBeNil)
		convey.So(l.Sync(), convey.ShouldBeNil)
		convey.So(l.Close(), convey.ShouldBeNil)
		records, err := readRecords(folder)
		convey.So(err, convey.ShouldBeNil)
		convey.So(records, convey.ShouldResemble, []string{"three", "four"})
	})
}

func TestRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.SliceOf(rapid.Byte()), 1, 8).Draw(t, "records")
		frame, err := disk.Frame(records)
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(frame)).Draw(t, "cut")
		got, intact, err := disk.Parse(append(frame, frame[:cut]...))
		if err != nil || intact != len(frame)+cut/len(frame)*len(frame) || len(got) < len(records) {
			t.Fatalf("%d records, %d intact bytes, %v", len(got), intact, err)
		}
	})
}
