// Package factory creates the dependencies of commands.
package factory

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/admin"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/command"
	"github.com/fuchsiashed/fuchsiashed/cli/internal/control"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
	"github.com/fuchsiashed/fuchsiashed/fleet/settings"
)

// Environment variables that are used if the flag of the same name is not given.
const (
	envControl = "FUCHSIASHED_CONTROL"
	envAdmin   = "FUCHSIASHED_ADMIN"
)

// ErrNoAddresses is returned if neither a flag nor an environment variable nor the settings
// file gives the addresses of processes.
var ErrNoAddresses = errors.New("no addresses are given")

// defaultSettingsPath is the path of the default settings file, relative to the user's
// configuration folder.
const defaultSettingsPath = "fuchsiashed/cli.ini"

// Globals holds the flags that all commands accept.
type Globals struct {
	Control  string        `long:"control" value-name:"IP:PORT,..." description:"control replicas; else $FUCHSIASHED_CONTROL, else the settings file"`
	Admin    string        `long:"admin" value-name:"IP:PORT,..." description:"operators' addresses of routers and dispatchers; else $FUCHSIASHED_ADMIN, else the settings file"`
	Settings string        `long:"settings" value-name:"FILE" description:"settings file (default: fuchsiashed/cli.ini in the user's configuration folder)"`
	JSON     bool          `long:"json" description:"print JSON"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit of the command"`
	Version  func() error  `long:"version" description:"print the version and exit"`
}

// fileSettings is the content of the settings file.
type fileSettings struct {
	Control struct {
		Replicas []netip.AddrPort `default:""`
	}
	Admin struct {
		Addresses []netip.AddrPort `default:""`
	}
}

// Factory holds the dependencies of commands. Tests can replace them.
type Factory struct {
	IO      *iostreams.IOStreams
	Globals *Globals
	Clock   fleet.Clock
	// Control returns a client that is connected to the control replicas.
	Control func() (*control.Client, error)
	// PlatformControl returns a client that is connected to control hosts of
	// fuchsiashed-platform, whose connections are not compressed.
	PlatformControl func() (*control.Client, error)
	// Admin returns a client for the operators' addresses of --admin. The error wraps
	// ErrNoAddresses if none are given.
	Admin func() (*admin.Client, error)
	// NewOperation returns a new unique operation id.
	NewOperation func() (fleet.OperationID, error)
	// Operator returns the name under which changes are recorded in the history.
	Operator func() string

	// cleanup holds the functions that Close calls.
	cleanup []func()
}

// New returns the factory of the program.
func New(io *iostreams.IOStreams) *Factory {
	f := &Factory{IO: io, Globals: &Globals{}, Clock: fleet.SystemClock{}, NewOperation: newOperation, Operator: operator}
	f.Control = func() (*control.Client, error) { return f.connectControl(false) }
	f.PlatformControl = func() (*control.Client, error) { return f.connectControl(true) }
	f.Admin = f.newAdminClient
	return f
}

// Close closes the connections of all clients that were created.
func (f *Factory) Close() {
	for _, c := range f.cleanup {
		c()
	}
	f.cleanup = nil
}

// Context returns the context of a command, which ends after --timeout or on SIGTERM or
// SIGINT.
func (f *Factory) Context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, f.Globals.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// connectControl is the implementation of Control and PlatformControl.
func (f *Factory) connectControl(uncompressed bool) (*control.Client, error) {
	replicas, err := f.resolveAddresses("--control", f.Globals.Control, envControl, func(s fileSettings) []netip.AddrPort { return s.Control.Replicas })
	if err != nil {
		return nil, err
	}
	c := rpc.NewControlClient(rpc.ControlClientConfig{Replicas: replicas, Uncompressed: uncompressed})
	c.Start()
	f.cleanup = append(f.cleanup, c.Stop)
	client := &control.Client{Caller: c}
	for i, addr := range replicas {
		client.Replicas = append(client.Replicas, control.Replica{Address: addr, Caller: c.Replica(i)})
	}
	return client, nil
}

// newAdminClient is the implementation of Admin.
func (f *Factory) newAdminClient() (*admin.Client, error) {
	addresses, err := f.resolveAddresses("--admin", f.Globals.Admin, envAdmin, func(s fileSettings) []netip.AddrPort { return s.Admin.Addresses })
	if err != nil {
		return nil, err
	}
	return &admin.Client{HTTP: &http.Client{}, Addresses: addresses}, nil
}

// resolveAddresses returns the addresses given by a flag, else by an environment variable,
// else by the settings file.
func (f *Factory) resolveAddresses(flag, value, env string, fromFile func(fileSettings) []netip.AddrPort) ([]netip.AddrPort, error) {
	source := flag
	if value == "" {
		source, value = "$"+env, os.Getenv(env)
	}
	if value != "" {
		return parseAddresses(source, value)
	}
	s, path, err := f.loadSettings()
	if err != nil {
		return nil, err
	}
	if list := fromFile(s); len(list) > 0 {
		return list, nil
	}
	return nil, command.WrapFlagError(ErrNoAddresses, "use %s IP:PORT,..., or $%s, or the settings file %s", flag, env, path)
}

// loadSettings reads the settings file. It is no error if the default file does not exist.
func (f *Factory) loadSettings() (s fileSettings, path string, err error) {
	path = f.Globals.Settings
	if path == "" {
		dir, err := os.UserConfigDir()
		if err != nil {
			return s, defaultSettingsPath, nil
		}
		path = filepath.Join(dir, defaultSettingsPath)
		if _, err := os.Stat(path); err != nil {
			return s, path, nil
		}
	}
	if err := settings.Load(path, &s); err != nil {
		return s, path, command.FlagErrorf("%s", err)
	}
	return s, path, nil
}

// parseAddresses parses a comma-separated list of addresses. source is the flag or variable
// that is named in errors.
func parseAddresses(source, value string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, text := range strings.Split(value, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, command.FlagErrorf("%s: %q is not an IP address and port such as 127.0.0.1:7100", source, text)
		}
		list = append(list, addr)
	}
	return list, nil
}

// newOperation returns a random operation id of 64 bits.
func newOperation() (fleet.OperationID, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "generate an operation id")
	}
	return fleet.OperationID("op-" + hex.EncodeToString(b[:])), nil
}

// operator returns the operator's name from the environment.
func operator() string {
	for _, env := range []string{"FUCHSIASHED_OPERATOR", "USER", "LOGNAME"} {
		if name := os.Getenv(env); name != "" {
			return name
		}
	}
	return "unknown"
}
