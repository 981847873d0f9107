package benchcmd_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/benchcmd"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

func TestMainRefuses(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"argument", []string{"now"}, `argument "now" is unknown`},
		{"expression", []string{"--only", "("}, "--only is not a regular expression"},
		{"address", []string{"--router", "here"}, "invalid argument for flag `--router'"},
		{"figure", []string{"--only", "^None$", "--figure", "A=many"}, "write VALUE UNIT"},
	}
	for _, tt := range tests {
		convey.Convey("An invalid "+tt.name+" is a usage error", t, func() {
			streams, _, _, errOut := iostreams.Test()
			convey.So(benchcmd.Main(streams, tt.args), convey.ShouldEqual, program.ExitUsage)
			convey.So(errOut.String(), convey.ShouldContainSubstring, tt.want)
		})
	}
}

func TestMainAddsFigures(t *testing.T) {
	convey.Convey("--add writes the figures of an earlier run together with the new ones", t, func() {
		file := filepath.Join(t.TempDir(), "figures.json")
		streams, _, out, _ := iostreams.Test()
		args := []string{"--only", "^None$", "--json", file}
		convey.So(benchcmd.Main(streams, append(args, "--figure", "A=1 ms")), convey.ShouldEqual, program.ExitOK)
		convey.So(benchcmd.Main(streams, append(args, "--add", file, "--figure", "B=2 ms")), convey.ShouldEqual, program.ExitOK)
		convey.So(out.String(), convey.ShouldEqual, "A 1 ms\nB 2 ms\n")
		raw, err := os.ReadFile(file)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(raw), convey.ShouldContainSubstring, `"Name": "A"`)
	})
}
