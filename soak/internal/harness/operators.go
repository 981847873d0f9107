package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"

	"github.com/fuchsiashed/fuchsiashed/soak/internal/check"
	"github.com/fuchsiashed/fuchsiashed/soak/internal/plan"
)

const (
	// The mean times between two puts, and between two reads, of the configuration.
	meanPutInterval  = 800 * time.Millisecond
	meanReadInterval = 150 * time.Millisecond
	// maxOutAttempts bounds the attempts, meanReadInterval apart, to take a data centre out of
	// service or back.
	maxOutAttempts = 10
	// routeTimeout is the time-out of every route.
	routeTimeout = 3 * time.Second
)

// Names in the configuration.
const (
	hostName    = "soak.example"
	serviceName = "service"
)

// operator puts configurations and takes data centres out of service.
type operator struct {
	harness *harness

	mu sync.Mutex
	// lastNumber is the number of the latest configuration.
	lastNumber fleet.ConfigNumber
}

func newOperator(h *harness) *operator { return &operator{harness: h} }

// configuration returns the configuration with number n. The name of its only customer contains
// the number, so that a read can be checked against it.
func configuration(n fleet.ConfigNumber) *deployment.Configuration {
	c := &deployment.Configuration{
		Number: n,
		Services: []deployment.Service{{
			Name: serviceName, Connections: 100, ColdFor: coldFor, ColdRate: coldRate,
		}},
		Customers: []deployment.Customer{{Name: customerName(n), Keys: []string{fmt.Sprintf("key-%d", n)}}},
	}
	for kind, path := range pathPrefixes {
		route := deployment.Route{
			Name: string(kind), Host: hostName, Prefix: path, Kind: deployment.KindAtMostOnce, Attempts: 3, Public: true,
			Split: []deployment.WeightedService{{Service: serviceName, Weight: 1}}, Timeout: routeTimeout, Goal: time.Second,
		}
		switch kind {
		case check.Idempotent:
			route.Kind = deployment.KindIdempotent
		case check.Stream:
			route.Kind, route.Attempts, route.Resumable, route.GapGoal = deployment.KindStream, 2, true, time.Second
		}
		c.Routes = append(c.Routes, route)
	}
	return c
}

func customerName(n fleet.ConfigNumber) fleet.CustomerName {
	return fleet.CustomerName(fmt.Sprintf("customer-%d", n))
}

// run puts one configuration after another until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.put(ctx, o.nextNumber(), o.randomControl())
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanPutInterval)))
	}
}

func (o *operator) nextNumber() fleet.ConfigNumber {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastNumber++
	return o.lastNumber
}

func (o *operator) randomControl() int { return 1 + rand.IntN(o.harness.cfg.Plan.Controls) }

// put asks one control host once to activate a configuration, and records its acknowledgement.
func (o *operator) put(ctx context.Context, n fleet.ConfigNumber, control int) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if o.harness.client.PutConfig(ctx, o.harness.control(control), configuration(n)) != nil {
		// Without an acknowledgement it may be active or not.
		return
	}
	at := o.harness.now()
	o.harness.recorder.Update(func(r *check.Record) { r.Acks = append(r.Acks, check.Acknowledgement{Number: n, At: at}) })
}

// putConcurrently puts two configurations at two control hosts at the same time.
func (o *operator) putConcurrently(ctx context.Context) {
	var wg sync.WaitGroup
	for _, control := range []int{1, o.harness.cfg.Plan.Controls} {
		n := o.nextNumber()
		wg.Go(func() { o.put(ctx, n, control) })
	}
	wg.Wait()
}

// setOut takes a data centre out of service, or back into service, and reports whether a
// control host acknowledged it.
func (o *operator) setOut(ctx context.Context, dc fleet.DataCentreName, out bool) bool {
	for range maxOutAttempts {
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		err := o.harness.client.SetOut(callCtx, o.harness.control(o.randomControl()), dc, out)
		cancel()
		if err == nil {
			return true
		}
		if !sleep(ctx, meanReadInterval) {
			return false
		}
	}
	return false
}

// readConfigs reads the configuration from random control hosts until ctx ends.
func (h *harness) readConfigs(ctx context.Context) {
	for sleep(ctx, time.Duration(rand.ExpFloat64()*float64(meanReadInterval))) {
		control := 1 + rand.IntN(h.cfg.Plan.Controls)
		sent := h.now()
		callCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		c, err := h.client.ReadConfig(callCtx, h.control(control))
		cancel()
		if err != nil {
			continue
		}
		read := check.ConfigRead{
			Number: c.Number, Same: len(c.Customers) == 1 && c.Customers[0].Name == customerName(c.Number),
			From: plan.Control(control), Sent: sent, At: h.now(),
		}
		h.recorder.Update(func(r *check.Record) { r.Reads = append(r.Reads, read) })
	}
}
