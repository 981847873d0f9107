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
	playOptions
	Seed  uint64 `long:"seed" default:"1" description:"first seed"`
	Count int    `long:"count" default:"1" description:"number of seeds, one after another"`
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
	return o.playAll(&o.playOptions, plans)
}

// playAll plays plans one after another and prints what came of them.
func (e *environment) playAll(o *playOptions, plans []plan.Plan) error {
	var reports []*report
	broken := false
	for _, p := range plans {
		r, err := o.play(e.ctx, p)
		if err != nil {
			return err
		}
		reports = append(reports, r)
		broken = broken || len(r.Violations) > 0
		for _, v := range r.Violations {
			fmt.Fprintf(e.io.Err, "seed %d: %s at %v: %s\n", p.Seed, v.Rule, v.At, v.Detail)
		}
	}
	if err := e.print(o, reports); err != nil {
		return err
	}
	if broken {
		return errBroken
	}
	return nil
}

func (e *environment) print(o *playOptions, reports []*report) error {
	if !o.JSON {
		return table(e.io, reports)
	}
	enc := json.NewEncoder(e.io.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(reports), "print reports")
}
