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
	playOptions
	Tries int `long:"tries" default:"2" description:"how often a shorter list is played before it counts as harmless"`
	Args  struct {
		Seed uint64 `positional-arg-name:"SEED" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *shrinkOptions) Execute([]string) error {
	if err := o.prepare(o.ctx); err != nil {
		return err
	}
	last, err := o.broken(plan.New(o.Args.Seed, o.For, o.Processes))
	if err != nil {
		return err
	}
	if last == nil {
		return errors.Errorf("seed %d breaks no promise in %d tries", o.Args.Seed, o.Tries)
	}
	steps, err := shrink(last.Plan.Steps, func(steps []plan.Step) (bool, error) {
		p := last.Plan
		p.Steps = steps
		r, err := o.broken(p)
		if r == nil || err != nil {
			return false, err
		}
		last = r
		return true, nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.io.Err, "%d steps are left\n", len(steps))
	return o.print(&o.playOptions, []*report{last})
}

// broken plays a plan until it breaks a promise, and returns that run's report; nil when
// none of the tries did.
func (o *shrinkOptions) broken(p plan.Plan) (*report, error) {
	for range o.Tries {
		r, err := o.play(o.ctx, p)
		if err != nil {
			return nil, err
		}
		if len(r.Violations) > 0 {
			return r, nil
		}
	}
	return nil, nil
}

// shrink leaves parts of a list out as long as it fails without them: halves first, then
// smaller parts, at last single steps (delta debugging).
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
