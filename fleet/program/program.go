// Package program runs a fleet process: it parses the command line, reads and checks the
// settings, and starts and stops an fx application.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/settings"
)

// Version is the release of all programs.
var Version = "0.1.0"

// Exit codes of every program.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitError means that the command failed.
	ExitError = 1
	// ExitUsage means a wrong command line or wrong settings.
	ExitUsage = 2
	// ExitCancelled means that the user or a signal ended the command before it was complete.
	ExitCancelled = 3
)

// DefaultStopLimit bounds a planned stop unless Spec.StopLimit is set.
const DefaultStopLimit = 15 * time.Minute

// ForcedStopLimit is the time that a process has left to stop after a second signal.
const ForcedStopLimit = 3 * time.Second

// ForceStop is closed by a second signal, which ends a planned stop. The application then has
// ForcedStopLimit to end its open requests.
type ForceStop <-chan struct{}

// Options are the flags that every fleet process accepts.
type Options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Spec describes a program.
type Spec struct {
	// Name is the file name of the program.
	Name string
	// Summary is the first line of the help, Example its example command lines.
	Summary string
	Example string
	// Settings is a pointer to the settings struct to fill, see package settings.
	Settings any
	// Identity returns what is added to every log line. It is called after the settings are
	// filled.
	Identity func() Identity
	// Log makes the logger; nil means text on the error stream.
	Log func(io *iostreams.IOStreams) *slog.Logger
	// StopLimit returns the bound on a planned stop; nil means DefaultStopLimit. It is called
	// after the settings are filled.
	StopLimit func() time.Duration
	// Modules returns the fx options of the program. It is called after the settings are
	// filled.
	Modules func() fx.Option
}

// Identity identifies the process that writes a log line.
type Identity struct {
	Host       fleet.HostID
	DataCentre fleet.DataCentreName
}

// Main runs the program with the arguments of the command line and returns its exit code.
func Main(spec Spec, io *iostreams.IOStreams, args []string) int {
	var opts Options
	parser := flags.NewNamedParser(spec.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = spec.Summary
	parser.LongDescription = spec.Summary + "\n\nExamples:\n" + spec.Example
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitError
	}
	rest, err := parser.ParseArgs(args)
	if code, done := parseResult(io, rest, err); done {
		return code
	}
	if opts.Version {
		fmt.Fprintf(io.Out, "%s %s\n", spec.Name, Version)
		return ExitOK
	}
	if opts.Settings == "" {
		fmt.Fprintf(io.Err, "--settings is missing; give the settings file, or see %s --help\n", spec.Name)
		return ExitUsage
	}
	if err := settings.Load(opts.Settings, spec.Settings); err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitUsage
	}
	if opts.Check {
		fmt.Fprintf(io.Out, "%s: settings are valid\n", opts.Settings)
		return ExitOK
	}
	return run(spec, io)
}

// parseResult handles the result of parsing the command line. If the program is done, it
// returns its exit code and true.
func parseResult(io *iostreams.IOStreams, rest []string, err error) (code int, done bool) {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(io.Out, fe.Message)
		return ExitOK, true
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("argument %q is unknown", rest[0])
	}
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitUsage, true
	}
	return ExitOK, false
}

// run starts the application, waits for a signal or fx.Shutdowner, and stops it.
func run(spec Spec, io *iostreams.IOStreams) int {
	id := spec.Identity()
	log := newLogger(spec, io).With("program", spec.Name, "host", string(id.Host), "datacentre", string(id.DataCentre))
	force := make(chan struct{})
	app := fx.New(
		fx.Supply(log, ForceStop(force)),
		fx.Supply(fx.Annotate(fleet.SystemClock{}, fx.As(new(fleet.Clock)))),
		fx.WithLogger(func() fxevent.Logger { return &fxErrorLogger{log: log} }),
		fx.StopTimeout(stopLimit(spec)),
		spec.Modules(),
	)
	if err := app.Err(); err != nil {
		log.Error(logevent.Build, "error", err)
		return ExitError
	}
	// The first signal starts a planned stop, the second one forces it.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		log.Error(logevent.Start, "error", err)
		return ExitError
	}
	log.Info(logevent.Started, "version", Version, "pid", os.Getpid())
	select {
	case <-signals:
	case sig := <-app.Wait():
		if sig.ExitCode != 0 {
			return stop(app, log, signals, force, sig.ExitCode)
		}
	}
	return stop(app, log, signals, force, ExitOK)
}

func stopLimit(spec Spec) time.Duration {
	if spec.StopLimit != nil {
		return spec.StopLimit()
	}
	return DefaultStopLimit
}

// newLogger returns the logger of Spec.Log, or one that writes text to the error stream.
func newLogger(spec Spec, io *iostreams.IOStreams) *slog.Logger {
	if spec.Log != nil {
		return spec.Log(io)
	}
	return slog.New(slog.NewTextHandler(io.Err, &slog.HandlerOptions{ReplaceAttr: ErrorText}))
}

// ErrorText is a slog ReplaceAttr function that logs an error by its message alone. Without it,
// handlers also print the stack trace that errors of pkg/errors carry.
func ErrorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

// stop stops the application. A second signal closes force and leaves ForcedStopLimit for the
// rest. It returns code, or ExitCancelled if the application did not stop properly in time.
func stop(app *fx.App, log *slog.Logger, signals <-chan os.Signal, force chan<- struct{}, code int) int {
	log.Info(logevent.Stopping)
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	go func() {
		select {
		case <-signals:
			log.Warn(logevent.StopForced)
			close(force)
			time.AfterFunc(ForcedStopLimit, cancel)
		case <-ctx.Done():
		}
	}()
	if err := app.Stop(ctx); err != nil {
		log.Error(logevent.Stop, "error", err)
		return ExitCancelled
	}
	log.Info(logevent.Stopped)
	return code
}

// fxErrorLogger logs the errors of fx and none of its other events.
type fxErrorLogger struct {
	log *slog.Logger
}

// LogEvent implements fxevent.Logger.
func (l *fxErrorLogger) LogEvent(ev fxevent.Event) {
	switch e := ev.(type) {
	case *fxevent.OnStartExecuted:
		l.logError("OnStart", e.Err)
	case *fxevent.OnStopExecuted:
		l.logError("OnStop", e.Err)
	case *fxevent.Invoked:
		l.logError("Invoke", e.Err)
	case *fxevent.Provided:
		l.logError("Provide", e.Err)
	}
}

func (l *fxErrorLogger) logError(event string, err error) {
	if err != nil {
		l.log.Error(event, "error", err)
	}
}
