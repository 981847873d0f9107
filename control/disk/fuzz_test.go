package disk_test

import (
	"testing"

	"github.com/fuchsiashed/fuchsiashed/control/disk"
)

// FuzzParse checks that no file content makes Parse panic, and that the part reported as
// intact parses again to the same number of records.
func FuzzParse(f *testing.F) {
	frame, err := disk.Frame([][]byte{[]byte("one"), {}, []byte("three")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(append(frame, frame[:len(frame)-1]...))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, intact, err := disk.Parse(data)
		if err != nil {
			return
		}
		again, n, err := disk.Parse(data[:intact])
		if err != nil || n != intact || len(again) != len(records) {
			t.Fatalf("%d of %d records, %d of %d bytes, %v", len(again), len(records), n, intact, err)
		}
	})
}
