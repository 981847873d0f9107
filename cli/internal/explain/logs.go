package explain

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/cli/internal/table"
	"github.com/fuchsiashed/fuchsiashed/fleet/logtrail"
)

// traceLogs prints the trace of a request from log files.
func traceLogs(o *Options) error {
	var lines []logtrail.Line
	for _, path := range o.Logs {
		logLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, logLines...)
	}
	trace := logtrail.TraceRequest(lines, o.Args.Request)
	if o.Factory.Globals.JSON {
		return table.JSON(o.Factory.IO, trace)
	}
	t := table.New(o.Factory.IO, "after", "host", "event", "detail")
	for _, l := range trace.Lines {
		t.Row(l.Time.Sub(trace.Lines[0].Time).Round(time.Microsecond), l.Host, l.Event, formatFields(l.Fields))
	}
	if err := t.Print(); err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.IO.Out, "Cause: %s\n", trace.Cause)
	for _, m := range trace.Missing {
		fmt.Fprintf(o.Factory.IO.Out, "Missing: %s\n", m)
	}
	return nil
}

// readLog reads the log lines of one file.
func readLog(path string) ([]logtrail.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer f.Close()
	lines, _, err := logtrail.Read(f)
	return lines, errors.Wrapf(err, "%s", path)
}

// formatFields returns the fields of a line as "NAME=VALUE", sorted by name, without the
// request id.
func formatFields(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if name != "request" {
			out = append(out, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(out, " ")
}
