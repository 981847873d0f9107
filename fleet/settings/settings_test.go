package settings_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/settings"
)

type server struct {
	Listen  netip.AddrPort
	Peers   []netip.AddrPort `default:""`
	Timeout time.Duration    `default:"2s" min:"100ms" max:"1m"`
	Verbose bool             `default:"false"`
}

type file struct {
	Server server
}

func ExampleParse() {
	var f file
	err := settings.Parse("server.ini", []byte("[Server]\nListen = 127.0.0.1:80\nPeers = 127.0.0.1:81, 127.0.0.1:82\n"), &f)
	fmt.Println(err, f.Server.Listen, len(f.Server.Peers), f.Server.Timeout)
	err = settings.Parse("server.ini", []byte("[Server]\nListen = localhost:80\n"), &f)
	fmt.Println(err != nil)
	// Output:
	// <nil> 127.0.0.1:80 2 2s
	// true
}

func TestParseErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"missing key", "[Server]\n", `server.ini: section "Server" key "Listen": key is missing; allowed: an IP address and port such as 127.0.0.1:7000`},
		{"missing section", "", `key "Listen": key is missing`},
		{"unknown section", "[Sever]\n", `section "Sever": section is unknown; allowed: [Server]`},
		{"out of bounds", "[Server]\nListen = 127.0.0.1:80\nTimeout = 1h\n", "value 1h0m0s is out of bounds; allowed: a duration such as 500ms or 5s from 100ms to 1m"},
		{"not a bool", "[Server]\nListen = 127.0.0.1:80\nVerbose = yes\n", "allowed: true or false"},
		{"key before section", "Listen = x\n[Server]\n", "key stands before the first section"},
		{"not an INI file", "[Server\n", "is not an INI file"},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			var f file
			err := settings.Parse("server.ini", []byte(tt.text), &f)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, tt.want)
		})
	}
}
