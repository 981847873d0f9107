// Package control generates load on running control replicas: configuration changes,
// ledger calls and requests for the state.
package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Driver sends calls to the leader of the control replicas.
type Driver struct {
	Control *rpc.ControlClient
	// IDPrefix starts the identifiers of operations and ledger keys. It must be unique to
	// the run, since control deduplicates by these identifiers.
	IDPrefix string
}

// callTimeout is the time limit of one call, with retries at other replicas included.
const callTimeout = 15 * time.Second

func (d *Driver) call(ctx context.Context, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.Control.Call(ctx, method, params, reply)
}

// State requests the confirmed state once, as an operator does.
func (d *Driver) State(ctx context.Context) (fleet.StateReply, error) {
	var reply fleet.StateReply
	err := d.call(ctx, fleet.MethodState, &fleet.StateRequest{
		Host: fleet.HostID(d.IDPrefix), Incarnation: 1, Role: fleet.RoleOperator,
	}, &reply)
	return reply, err
}

// ToggleDataCentre makes n changes, one after another, that take a data centre out of
// service and back in by turns. The first takes it out if out is true. It returns the last
// accepted version; a rejected change is an error.
func (d *Driver) ToggleDataCentre(ctx context.Context, dc fleet.DataCentreName, out bool, n int) (fleet.Version, error) {
	state, err := d.State(ctx)
	if err != nil {
		return 0, err
	}
	version := state.Version
	for i := range n {
		var reply fleet.ChangeReply
		err := d.call(ctx, fleet.MethodDataCentre, &fleet.DataCentreRequest{
			Operation: fleet.OperationID(fmt.Sprintf("%s-%d", d.IDPrefix, i)), Base: version,
			DataCentre: dc, Out: out == (i%2 == 0), Operator: "bench",
		}, &reply)
		if err != nil {
			return version, err
		}
		if !reply.Accepted {
			return version, errors.Errorf("change %d on version %d was rejected: %+v", i, version, reply)
		}
		version = reply.Version
	}
	return version, nil
}

// RecordCalls has workers record the begin and the end of calls in the ledger for a
// duration. It returns how many calls were recorded, and the first error.
func (d *Driver) RecordCalls(ctx context.Context, workers int, duration time.Duration) (int, error) {
	return runWorkers(workers, duration, func(worker, number int) error {
		return d.recordCall(ctx, fmt.Sprintf("%s-%d-%d-%d", d.IDPrefix, workers, worker, number))
	})
}

// ReadStates has workers request the confirmed state for a duration. It returns how many
// replies arrived, and the first error.
func (d *Driver) ReadStates(ctx context.Context, workers int, duration time.Duration) (int, error) {
	return runWorkers(workers, duration, func(int, int) error {
		_, err := d.State(ctx)
		return err
	})
}

// runWorkers has each worker call f repeatedly until the duration has passed or its call
// fails. f gets the index of the worker and the number of its call, both from 0. It returns
// the number of calls, failed ones included, and the first error.
func runWorkers(workers int, duration time.Duration, f func(worker, number int) error) (int, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	total := 0
	deadline := time.Now().Add(duration)
	for worker := range workers {
		wg.Go(func() {
			calls := 0
			var err error
			for ; err == nil && time.Now().Before(deadline); calls++ {
				err = f(worker, calls)
			}
			mu.Lock()
			defer mu.Unlock()
			total += calls
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	wg.Wait()
	return total, firstErr
}

// recordCall records the begin of a call and its end with an answer of answerBytes.
func (d *Driver) recordCall(ctx context.Context, key string) error {
	const answerBytes = 256
	ledgerKey := fleet.LedgerKey{Customer: "customer-1", Service: "permit-desk", Key: fleet.IdempotencyKey(key)}
	attempt := fleet.AttemptID{Router: fleet.HostID(d.IDPrefix), Incarnation: 1, Attempt: 1}
	var beginReply fleet.LedgerBeginReply
	err := d.call(ctx, fleet.MethodLedgerBegin, &fleet.LedgerBeginRequest{LedgerKey: ledgerKey, Body: "00", By: attempt}, &beginReply)
	if err != nil {
		return err
	}
	if beginReply.State != fleet.LedgerGranted {
		return errors.Errorf("call %s has the unexpected state %s in the ledger", key, beginReply.State)
	}
	var endReply fleet.LedgerEndReply
	return d.call(ctx, fleet.MethodLedgerEnd, &fleet.LedgerEndRequest{
		LedgerKey: ledgerKey, By: attempt, Verdict: fleet.Ran,
		Answer: &fleet.RecordedAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)},
	}, &endReply)
}

// LongestResponseGap requests the state repeatedly for a duration and returns the longest
// time between two replies.
func (d *Driver) LongestResponseGap(ctx context.Context, duration time.Duration) (time.Duration, error) {
	const pause = 10 * time.Millisecond
	longest := time.Duration(0)
	began := time.Now()
	last := began
	for time.Since(began) < duration {
		if _, err := d.State(ctx); err != nil {
			return 0, err
		}
		now := time.Now()
		longest, last = max(longest, now.Sub(last)), now
		time.Sleep(pause)
	}
	return longest, nil
}
