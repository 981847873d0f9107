package fleet_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

var namePattern = regexp.MustCompile(`\A[A-Za-z0-9][A-Za-z0-9._:/-]*\z`)

// FuzzCheckName compares CheckName with the regular expression that defines names.
func FuzzCheckName(f *testing.F) {
	for _, s := range []string{"", "a", "riga-a", "-a", "a b", "a\n", "ā", "r1.2/3:4_5", strings.Repeat("x", 129), "a\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, name string) {
		want := len(name) <= fleet.MaxNameLength && namePattern.MatchString(name)
		if got := fleet.CheckName("Name", name) == nil; got != want {
			t.Fatalf("CheckName accepts %q: %v; want %v", name, got, want)
		}
	})
}

func BenchmarkCheckName(b *testing.B) {
	for b.Loop() {
		if fleet.CheckName("Name", "r-0123456789abcdef0123456789abcdef") != nil {
			b.Fatal("a valid name was refused")
		}
	}
}
