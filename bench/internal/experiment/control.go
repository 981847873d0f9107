package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

// Parameters of the experiments with control replicas.
const (
	controlChanges    = 300
	restartChanges    = 1000
	loadDuration      = 3 * time.Second
	stateWorkers      = 16
	electionDuration  = 10 * time.Second
	toggledDataCentre = "dc-3"
)

// measureChanges measures the rates of changes, of requests for the state and of ledger
// calls at running control replicas.
func measureChanges(p *figures.Printer, procs *Processes) error {
	ctx := context.Background()
	d, stop := procs.connectControl(fmt.Sprintf("bench-%d", time.Now().UnixNano()))
	defer stop()
	began := time.Now()
	if _, err := d.ToggleDataCentre(ctx, toggledDataCentre, true, controlChanges); err != nil {
		return err
	}
	name := "Control." + procs.Label + "."
	p.Print(name+"ChangesOneAfterTheOther", controlChanges/time.Since(began).Seconds(), "changes/s")
	replies, err := d.ReadStates(ctx, stateWorkers, loadDuration)
	if err != nil {
		return err
	}
	p.Print(name+"States", float64(replies)/loadDuration.Seconds(), "calls/s")
	for _, workers := range []int{1, 16, 64} {
		calls, err := d.RecordCalls(ctx, workers, loadDuration)
		if err != nil {
			return err
		}
		p.Print(fmt.Sprintf("%sLedger.Workers%d", name, workers), float64(calls)/loadDuration.Seconds(), "calls/s")
	}
	return nil
}

// makeChanges makes the changes after which the calling script measures a restart.
func makeChanges(_ *figures.Printer, procs *Processes) error {
	d, stop := procs.connectControl(fmt.Sprintf("bench-%d", time.Now().UnixNano()))
	defer stop()
	_, err := d.ToggleDataCentre(context.Background(), toggledDataCentre, true, restartChanges)
	return err
}

// measureElection measures the longest time between two replies of control while the
// calling script kills, freezes or restarts replicas.
func measureElection(p *figures.Printer, procs *Processes) error {
	d, stop := procs.connectControl("bench")
	defer stop()
	gap, err := d.LongestResponseGap(context.Background(), electionDuration)
	if err != nil {
		return err
	}
	p.PrintDuration("Control."+procs.Label+".LongestTimeWithoutAnswer", gap)
	return nil
}
