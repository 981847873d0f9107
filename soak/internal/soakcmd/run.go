package soakcmd

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

// runOptions are the flags of run.
type runOptions struct {
	*environment
	planOptions
	Seed  uint64 `long:"seed" default:"1" description:"first seed"`
	Count int    `long:"count" default:"1" description:"number of consecutive seeds to run"`
}

// Execute implements flags.Commander.
func (o *runOptions) Execute([]string) error {
	if err := o.prepare(o.ctx); err != nil {
		return err
	}
	var plans []plan.Plan
	for i := range o.Count {
		plans = append(plans, plan.New(o.Seed+uint64(i), o.For, o.Processes))
	}
	return o.runPlans(&o.planOptions, plans)
}

// runPlans runs plans one after another and prints their reports and violations. It returns
// errViolations if there were any.
func (e *environment) runPlans(o *planOptions, plans []plan.Plan) error {
	var reports []*report
	violated := false
	for _, p := range plans {
		r, err := o.runPlan(e.ctx, p)
		if err != nil {
			return err
		}
		reports = append(reports, r)
		violated = violated || len(r.Violations) > 0
		for _, v := range r.Violations {
			fmt.Fprintf(e.io.Err, "seed %d: %s at %v: %s\n", p.Seed, v.Rule, v.At, v.Detail)
		}
	}
	if err := e.printReports(o, reports); err != nil {
		return err
	}
	if violated {
		return errViolations
	}
	return nil
}

// printReports prints the reports as a table or as JSON.
func (e *environment) printReports(o *planOptions, reports []*report) error {
	if !o.JSON {
		return printTable(e.io, reports)
	}
	enc := json.NewEncoder(e.io.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(reports), "print reports")
}
