package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

// TargetRecord is the list of runs that a target recorded. Target is the address or the
// file from which it was read.
type TargetRecord struct {
	Target string
	Runs   []record.Run
}

// FetchRecord fetches the record of a running target from the address on which it listens.
func FetchRecord(ctx context.Context, client *http.Client, addr netip.AddrPort) (TargetRecord, error) {
	rec := TargetRecord{Target: addr.String()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/standin/record", addr), nil)
	if err != nil {
		return rec, errors.Wrap(err, "make request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return rec, errors.Wrapf(err, "fetch the record of target %s", addr)
	}
	defer resp.Body.Close()
	return rec, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&rec.Runs), "decode the record of target %s", addr)
}

// verify compares the answers and verdicts that callers received with the runs that the
// targets recorded.
func (r *Result) verify(records []TargetRecord) {
	runs := map[fleet.IdempotencyKey]int{}
	ran := map[fleet.RequestID]bool{}
	for _, rec := range records {
		for _, run := range rec.Runs {
			ran[run.RequestID] = true
			if run.Key != "" {
				runs[run.Key]++
			}
		}
	}
	for _, k := range sortedKeys(runs) {
		if runs[k] > 1 {
			r.RanTwice = append(r.RanTwice, k)
		}
	}
	for _, k := range sortedKeys(r.answeredKeys) {
		if runs[k] == 0 {
			r.Lost = append(r.Lost, k)
		}
	}
	for _, id := range r.notRunIDs {
		if ran[id] {
			r.FalseNotRun = append(r.FalseNotRun, id)
		}
	}
	slices.Sort(r.FalseNotRun)
}
