package soakcmd

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

// shrinkOptions are the flags of shrink.
type shrinkOptions struct {
	*environment
	planOptions
	Tries int `long:"tries" default:"2" description:"how often a shorter list is run without a violation before it counts as passing"`
	Args  struct {
		Seed uint64 `positional-arg-name:"SEED" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *shrinkOptions) Execute([]string) error {
	if err := o.prepare(o.ctx); err != nil {
		return err
	}
	failing, err := o.runUntilViolation(plan.New(o.Args.Seed, o.For, o.Processes))
	if err != nil {
		return err
	}
	if failing == nil {
		return errors.Errorf("seed %d shows no violation in %d tries", o.Args.Seed, o.Tries)
	}
	steps, err := shrink(failing.Plan.Steps, func(steps []plan.Step) (bool, error) {
		p := failing.Plan
		p.Steps = steps
		r, err := o.runUntilViolation(p)
		if r == nil || err != nil {
			return false, err
		}
		failing = r
		return true, nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.io.Err, "%d steps are left\n", len(steps))
	return o.printReports(&o.planOptions, []*report{failing})
}

// runUntilViolation runs a plan up to Tries times, until a run shows a violation, and returns
// that run's report; nil if no run did.
func (o *shrinkOptions) runUntilViolation(p plan.Plan) (*report, error) {
	for range o.Tries {
		r, err := o.runPlan(o.ctx, p)
		if err != nil {
			return nil, err
		}
		if len(r.Violations) > 0 {
			return r, nil
		}
	}
	return nil, nil
}

// shrink removes parts of a list as long as the rest still fails: halves first, then smaller
// parts, finally single steps (delta debugging).
func shrink(steps []plan.Step, fails func([]plan.Step) (bool, error)) ([]plan.Step, error) {
	for size := (len(steps) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(steps); {
			shorter := slices.Delete(slices.Clone(steps), from, min(from+size, len(steps)))
			failed, err := fails(shorter)
			if err != nil {
				return nil, err
			}
			if failed {
				steps = shorter
			} else {
				from += size
			}
		}
	}
	return steps, nil
}
