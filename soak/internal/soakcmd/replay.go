package soakcmd

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

// replayOptions are the flags of replay.
type replayOptions struct {
	*environment
	planOptions
	Plan string `long:"plan" value-name:"FILE" description:"report whose plan is run, instead of the seed's"`
	Args struct {
		Seed uint64 `positional-arg-name:"SEED"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *replayOptions) Execute([]string) error {
	p := plan.New(o.Args.Seed, o.For, o.Processes)
	if o.Plan != "" {
		text, err := os.ReadFile(o.Plan)
		if err != nil {
			return errors.Wrap(err, "read report")
		}
		var r report
		if err := json.Unmarshal(text, &r); err != nil {
			return errors.Wrap(err, "decode report")
		}
		p = r.Plan
	}
	if err := o.prepare(o.ctx); err != nil {
		return err
	}
	return o.runPlans(&o.planOptions, []plan.Plan{p})
}
