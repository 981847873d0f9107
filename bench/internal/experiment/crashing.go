package experiment

import (
	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// measureCrashing counts the crashes of targets that one crashing request causes, for the
// baseline strategies and for progressive charging.
func measureCrashing(p *figures.Printer) error {
	for _, strategy := range append(baselineStrategies(), chargingStrategies()[2]) {
		trace := workload.Crashing(traceSeed)
		result := strategy.run(trace)
		serviceResult := result.Services["model"]
		name := "Crashing." + strategy.name + "."
		p.Print(name+"Crashes", float64(serviceResult.JobCrashes), "targets")
		p.Print(name+"BrokenAttempts", float64(serviceResult.Failed[fleet.OutcomeBroken]), "attempts")
		p.Print(name+"Quarantined", float64(result.Refusals[fleet.ReasonQuarantined]), "requests")
		p.Print(name+"Refused", float64(result.Refused()), "requests")
	}
	return nil
}
