package soakcmd

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

func TestShrink(t *testing.T) {
	convey.Convey("Only the steps that the failure needs are left", t, func() {
		var steps []plan.Step
		for i := range 20 {
			steps = append(steps, plan.Step{Subject: plan.Router(i)})
		}
		has := func(steps []plan.Step, subject string) bool {
			for _, s := range steps {
				if s.Subject == subject {
					return true
				}
			}
			return false
		}
		left, err := shrink(steps, func(s []plan.Step) (bool, error) {
			return has(s, plan.Router(3)) && has(s, plan.Router(17)), nil
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(left, convey.ShouldResemble, []plan.Step{steps[3], steps[17]})
	})
}

func TestCommandLine(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"--help"}, program.ExitOK},
		{[]string{"run", "--help"}, program.ExitOK},
		{nil, program.ExitUsage},
		{[]string{"play"}, program.ExitUsage},
		{[]string{"shrink"}, program.ExitUsage},
		{[]string{"run", "--seed", "x"}, program.ExitUsage},
		{[]string{"replay", "--plan", "missing.json"}, program.ExitError},
		{[]string{"run", "--without", "Nothing"}, program.ExitError},
	} {
		convey.Convey("The command line gives the right exit code", t, func() {
			io, _, _, _ := iostreams.Test()
			convey.So(Main(io, c.args), convey.ShouldEqual, c.code)
		})
	}
}
