package soakcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/latency"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/mutant"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/world"
)

// environment is what all verbs share.
type environment struct {
	io  *iostreams.IOStreams
	ctx context.Context
}

// playOptions are the flags by which plans are played.
type playOptions struct {
	For       time.Duration `long:"for" default:"60s" description:"how long faults come"`
	Processes int           `long:"processes" default:"6" description:"processes of the fleet: 3 control hosts, 5 from 12 on, 7 from 40 on, and routers"`
	Binary    string        `long:"binary" value-name:"FILE" description:"program of the deployment; built from the sources when it is not given"`
	Without   string        `long:"without" value-name:"MECHANISM" description:"build with one mechanism switched off"`
	Out       string        `long:"out" value-name:"FOLDER" description:"folder for reports, logs and data; a temporary one when it is not given"`
	Network   int           `long:"network" default:"80" description:"second byte of the loopback addresses; the next one is used too"`
	JSON      bool          `long:"json" description:"print the reports as JSON"`
}

// report is what is kept of a run.
type report struct {
	Plan       plan.Plan
	Without    string `json:",omitempty"`
	Took       time.Duration
	Recovery   time.Duration
	Requests   map[string]int
	Runs       int
	Acks       int
	Reads      int
	Times      string
	Violations []check.Violation
	Folder     string
}

// prepare makes the folder and the program.
func (o *playOptions) prepare(ctx context.Context) error {
	if o.Out == "" {
		folder, err := os.MkdirTemp("", programName+"-")
		if err != nil {
			return errors.Wrap(err, "make folder")
		}
		o.Out = folder
	}
	if err := os.MkdirAll(o.Out, 0o700); err != nil {
		return errors.Wrap(err, "make folder")
	}
	if o.Binary != "" {
		return nil
	}
	binary, err := mutant.Build(ctx, o.Out, o.Without)
	o.Binary = binary
	return err
}

// play plays a plan and writes its report. Logs and data are kept when it broke a promise.
func (o *playOptions) play(ctx context.Context, p plan.Plan) (*report, error) {
	folder := filepath.Join(o.Out, fmt.Sprintf("seed-%d-%d", p.Seed, time.Now().UnixNano()))
	if err := os.Mkdir(folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	begin := time.Now()
	out, err := world.Run(ctx, world.Config{Plan: p, Binary: o.Binary, Folder: folder, Network: o.Network})
	if err != nil {
		return nil, err
	}
	r := &report{
		Plan: p, Without: o.Without, Took: time.Since(begin), Recovery: out.Recovery, Violations: out.Violations, Folder: folder,
		Requests: countRequests(&out.Record), Runs: len(out.Record.Runs), Acks: len(out.Record.Acks), Reads: len(out.Record.Reads),
		Times: times(&out.Record),
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode report")
	}
	if len(r.Violations) == 0 {
		if err := os.RemoveAll(folder); err != nil {
			return nil, errors.Wrap(err, "remove folder")
		}
	}
	return r, errors.Wrap(os.WriteFile(folder+".json", text, 0o600), "write report")
}

// countRequests counts requests by how they ended.
func countRequests(r *check.Record) map[string]int {
	n := map[string]int{}
	for i := range r.Requests {
		switch q := &r.Requests[i]; {
		case q.Status == 0:
			n["NoAnswer"]++
		case !q.Whole:
			n["Cut"]++
		default:
			n[fmt.Sprint(q.Status)]++
		}
	}
	return n
}

// times returns the quantiles of the whole answers' times, as text.
func times(r *check.Record) string {
	h := latency.New()
	for i := range r.Requests {
		if q := &r.Requests[i]; q.Whole && q.Status == 200 {
			h.Record(string(q.Kind), q.Ended-q.Sent)
		}
	}
	return h.String()
}

// table prints a line for each report.
func table(io *iostreams.IOStreams, reports []*report) error {
	w := tabwriter.NewWriter(io.Out, 0, 0, 2, ' ', 0)
	if io.IsTerminal() {
		fmt.Fprintln(w, "SEED\tPROCESSES\tSTEPS\tREQUESTS\tSERVED\tRECOVERY\tVERDICT")
	}
	for _, r := range reports {
		all := 0
		for _, n := range r.Requests {
			all += n
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Plan.Seed, r.Plan.Controls+r.Plan.Routers, len(r.Plan.Steps),
			all, r.Requests["200"], r.Recovery.Round(time.Millisecond), verdict(r))
	}
	return errors.Wrap(w.Flush(), "print table")
}

func verdict(r *report) string {
	if len(r.Violations) == 0 {
		return "ok"
	}
	rules := []string{}
	seen := map[string]bool{}
	for _, v := range r.Violations {
		if !seen[v.Rule] {
			seen[v.Rule] = true
			rules = append(rules, v.Rule)
		}
	}
	return "BROKEN " + strings.Join(rules, ",") + " " + r.Folder
}
