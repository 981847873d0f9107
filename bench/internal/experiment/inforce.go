package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/probe"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of measureInForce.
const (
	inForceChanges      = 20
	inForcePollInterval = 5 * time.Millisecond
	inForceTimeout      = 10 * time.Second
)

// measureInForce measures the time from sending a change until it is in force at every
// router and dispatcher of procs.Admin.
func measureInForce(p *figures.Printer, procs *Processes) error {
	d, stop := procs.connectControl(fmt.Sprintf("bench-%d", time.Now().UnixNano()))
	defer stop()
	ctx := context.Background()
	histogram := probe.NewLatencyHistogram()
	for i := range inForceChanges {
		began := time.Now()
		d.IDPrefix = fmt.Sprintf("bench-%d", began.UnixNano())
		version, err := d.ToggleDataCentre(ctx, toggledDataCentre, i%2 == 0, 1)
		if err != nil {
			return err
		}
		for _, addr := range procs.Admin {
			if err := waitForVersion(addr, version, began.Add(inForceTimeout)); err != nil {
				return err
			}
		}
		if err := histogram.RecordValue(time.Since(began).Microseconds()); err != nil {
			return errors.Wrap(err, "record time")
		}
	}
	p.Print("InForce.P50", float64(histogram.ValueAtQuantile(50))/1000, "ms")
	p.Print("InForce.Max", float64(histogram.Max())/1000, "ms")
	return nil
}

// waitForVersion waits until the process with the given admin address reports at least the
// given version.
func waitForVersion(addr netip.AddrPort, version fleet.Version, deadline time.Time) error {
	for time.Now().Before(deadline) {
		status, err := readStatus(addr)
		if err == nil && status.Version >= version {
			return nil
		}
		time.Sleep(inForcePollInterval)
	}
	return errors.Errorf("process at %s did not reach version %d in time", addr, version)
}

func readStatus(addr netip.AddrPort) (fleet.ProcessStatus, error) {
	var status fleet.ProcessStatus
	resp, err := http.Get("http://" + addr.String() + fleet.PathStatus)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}
