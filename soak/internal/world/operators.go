package world

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
	// putPause and readPause are the mean times between two calls of the operators.
	putPause  = 800 * time.Millisecond
	readPause = 150 * time.Millisecond
	// outTries bounds the calls that take a data centre out or back.
	outTries = 10
	// routeTimeout is the longest time of a request.
	routeTimeout = 3 * time.Second
)

const (
	hostName    = "soak.example"
	serviceName = "service"
)

// writer puts configurations.
type writer struct {
	w *world

	mu     sync.Mutex
	number fleet.ConfigNumber
}

func newWriter(w *world) *writer { return &writer{w: w} }

// configuration returns the configuration with a number; its customer's name tells it.
func configuration(n fleet.ConfigNumber) *deployment.Configuration {
	c := &deployment.Configuration{
		Number: n,
		Services: []deployment.Service{{
			Name: serviceName, Connections: 100, ColdFor: coldFor, ColdRate: coldRate,
		}},
		Customers: []deployment.Customer{{Name: customerOf(n), Keys: []string{fmt.Sprintf("key-%d", n)}}},
	}
	for kind, path := range paths {
		route := deployment.Route{
			Name: string(kind), Host: hostName, Prefix: path, Kind: deployment.KindAtMostOnce, Attempts: 3, Public: true,
			Split: []deployment.WeightedService{{Service: serviceName, Weight: 1}}, Timeout: routeTimeout, Goal: time.Second,
		}
		switch kind {
		case check.Repeat:
			route.Kind = deployment.KindIdempotent
		case check.Stream:
			route.Kind, route.Attempts, route.Resumable, route.GapGoal = deployment.KindStream, 2, true, time.Second
		}
		c.Routes = append(c.Routes, route)
	}
	return c
}

func customerOf(n fleet.ConfigNumber) fleet.CustomerName {
	return fleet.CustomerName(fmt.Sprintf("customer-%d", n))
}

// run puts configurations until ctx ends.
func (o *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.put(ctx, o.next(), o.anyControl())
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(putPause)))
	}
}

func (o *writer) next() fleet.ConfigNumber {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number++
	return o.number
}

func (o *writer) anyControl() int { return 1 + rand.IntN(o.w.cfg.Plan.Controls) }

// put asks one control host to put a configuration in force, once.
func (o *writer) put(ctx context.Context, n fleet.ConfigNumber, control int) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if o.w.client.PutConfig(ctx, o.w.control(control), configuration(n)) != nil {
		// It may be in force or not; only acknowledgements promise.
		return
	}
	at := o.w.now()
	o.w.book.Add(func(r *check.Record) { r.Acks = append(r.Acks, check.Acknowledgement{Number: n, At: at}) })
}

// race puts two configurations at two control hosts at once.
func (o *writer) race(ctx context.Context) {
	var wg sync.WaitGroup
	for _, control := range []int{1, o.w.cfg.Plan.Controls} {
		n := o.next()
		wg.Go(func() { o.put(ctx, n, control) })
	}
	wg.Wait()
}

// setOut takes a data centre out or back, and says whether that was acknowledged.
func (o *writer) setOut(ctx context.Context, dc fleet.DataCentreName, out bool) bool {
	for range outTries {
		call, cancel := context.WithTimeout(ctx, operatorTimeout)
		err := o.w.client.SetOut(call, o.w.control(o.anyControl()), dc, out)
		cancel()
		if err == nil {
			return true
		}
		if !sleep(ctx, readPause) {
			return false
		}
	}
	return false
}

// read reads the configuration from one control host after another.
func (w *world) read(ctx context.Context) {
	for sleep(ctx, time.Duration(rand.ExpFloat64()*float64(readPause))) {
		control := 1 + rand.IntN(w.cfg.Plan.Controls)
		sent := w.now()
		call, cancel := context.WithTimeout(ctx, operatorTimeout)
		c, err := w.client.ReadConfig(call, w.control(control))
		cancel()
		if err != nil {
			continue
		}
		read := check.Read{
			Number: c.Number, Same: len(c.Customers) == 1 && c.Customers[0].Name == customerOf(c.Number),
			From: plan.Control(control), Sent: sent, At: w.now(),
		}
		w.book.Add(func(r *check.Record) { r.Reads = append(r.Reads, read) })
	}
}
