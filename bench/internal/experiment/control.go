package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

// Parameters of the control experiments.
const (
	controlChanges   = 300
	restartChanges   = 1000
	ledgerDuration   = 3 * time.Second
	stateWorkers     = 16
	electionDuration = 10 * time.Second
	changedCentre    = "dc-3"
)

// changes measures changes and ledger calls at running control replicas.
func changes(p *figures.Printer, procs *Processes) error {
	ctx := context.Background()
	d, stop := procs.driver(fmt.Sprintf("bench-%d", time.Now().UnixNano()))
	defer stop()
	began := time.Now()
	if _, err := d.Changes(ctx, changedCentre, true, controlChanges); err != nil {
		return err
	}
	name := "Control." + procs.Label + "."
	p.Print(name+"ChangesOneAfterTheOther", controlChanges/time.Since(began).Seconds(), "changes/s")
	n, err := d.States(ctx, stateWorkers, ledgerDuration)
	if err != nil {
		return err
	}
	p.Print(name+"States", float64(n)/ledgerDuration.Seconds(), "calls/s")
	for _, workers := range []int{1, 16, 64} {
		n, err := d.Ledger(ctx, workers, ledgerDuration)
		if err != nil {
			return err
		}
		p.Print(fmt.Sprintf("%sLedger.Workers%d", name, workers), float64(n)/ledgerDuration.Seconds(), "calls/s")
	}
	return nil
}

// fill makes the changes after which a restart is measured.
func fill(_ *figures.Printer, procs *Processes) error {
	d, stop := procs.driver(fmt.Sprintf("bench-%d", time.Now().UnixNano()))
	defer stop()
	_, err := d.Changes(context.Background(), changedCentre, true, restartChanges)
	return err
}

// election measures the longest time without an answer while the caller of the
// program kills, freezes or restarts replicas.
func election(p *figures.Printer, procs *Processes) error {
	d, stop := procs.driver("bench")
	defer stop()
	gap, err := d.LongestGap(context.Background(), electionDuration)
	if err != nil {
		return err
	}
	p.PrintDuration("Control."+procs.Label+".LongestTimeWithoutAnswer", gap)
	return nil
}
