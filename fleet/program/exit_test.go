package program_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

type testSettings struct {
	Host program.HostSection
}

func TestMainExitCodes(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good.ini")
	bad := filepath.Join(dir, "bad.ini")
	writeFile(t, good, "[Host]\nHost = r1\nDataCentre = a\nAdmin = 127.0.0.1:7000\n")
	writeFile(t, bad, "[Host]\nHost = r1\nDataCenter = a\nAdmin = 127.0.0.1:7000\n")
	tests := []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"help", []string{"--help"}, program.ExitOK, "Examples:"},
		{"version", []string{"--version"}, program.ExitOK, "fuchsiashed-test " + program.Version},
		{"check", []string{"--settings", good, "--check"}, program.ExitOK, "settings are valid"},
		{"bad settings", []string{"--settings", bad, "--check"}, program.ExitUsage, `key "DataCenter": key is unknown; allowed: Admin, DataCentre, Host`},
		{"no settings", nil, program.ExitUsage, "--settings is missing"},
		{"unknown flag", []string{"--colour"}, program.ExitUsage, "unknown flag"},
		{"unknown argument", []string{"go"}, program.ExitUsage, `argument "go" is unknown`},
		{"start fails", []string{"--settings", good}, program.ExitError, "no such part"},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			io, _, out, errOut := iostreams.Test()
			var s testSettings
			code := program.Main(program.Spec{
				Name:     "fuchsiashed-test",
				Summary:  "Tests the command line",
				Example:  "  fuchsiashed-test --settings test.ini",
				Settings: &s,
				Identity: func() program.Identity { return program.Identity{Host: s.Host.Host} },
				Modules:  func() fx.Option { return fx.Error(os.NewSyscallError("no such part", os.ErrInvalid)) },
			}, io, tt.args)
			convey.So(code, convey.ShouldEqual, tt.code)
			convey.So(out.String()+errOut.String(), convey.ShouldContainSubstring, tt.out)
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
