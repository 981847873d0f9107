package quorum_test

import (
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
)

// FuzzDecodeMessage checks that decoding arbitrary bytes never panics, and that an accepted
// message can be encoded and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	raw, err := quorum.EncodeMessage(&quorum.Message{
		Kind: quorum.KindAppend, From: "a", To: "b", FromIncarnation: 1, ToIncarnation: 2, Term: 3,
		Entries: []quorum.Entry{{Index: 1, Term: 3, Kind: quorum.EntryCommand, Data: []byte("x")}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := quorum.DecodeMessage(data)
		if err != nil {
			return
		}
		again, err := quorum.EncodeMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := quorum.DecodeMessage(again); err != nil {
			t.Fatal(err)
		}
	})
}
