package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/process"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/router"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of the router experiments.
const (
	latencyCalls       = 2000
	latencyStreams     = 150
	latencyTokens      = 1
	throughputWorkers  = 64
	throughputDuration = 5 * time.Second
	warmUpDuration     = 5 * time.Second
	openStreams        = 400
	openTokens         = 4000
	idleDuration       = 10 * time.Second
)

// routerFigures measures a running router beside direct calls to the same targets.
func routerFigures(p *figures.Printer, procs *Processes) error {
	plain := pair{router.Through(procs.Router, "plain", procs.Key), router.Direct(procs.Plain)}
	model := pair{router.Through(procs.Router, "model", procs.Key), router.Direct(procs.Model)}
	client := router.NewClient(openStreams)
	for _, step := range []func() error{
		func() error { return idle(p, procs) },
		func() error { return warmUp(client, plain.through, model.through) },
		func() error { return compareCalls(p, client, plain) },
		func() error { return compareStreams(p, client, model) },
		func() error { return throughput(p, procs, client, plain.through) },
		func() error { return streamMemory(p, procs, client, model.through) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// pair is a service through a router and at its target.
type pair struct {
	through, direct router.Service
}

// idle measures what each process uses without requests.
func idle(p *figures.Printer, procs *Processes) error {
	before, err := usages(procs)
	if err != nil {
		return err
	}
	sent := dispatcherBytes(procs)
	time.Sleep(idleDuration)
	after, err := usages(procs)
	if err != nil {
		return err
	}
	p.Print("Idle.Dispatcher.Bytes", (dispatcherBytes(procs)-sent)/idleDuration.Seconds(), "bytes/s")
	for _, role := range procs.roles() {
		cpu := after[role].CPU - before[role].CPU
		p.Print("Idle."+string(role)+".CPU", cpu.Seconds()/idleDuration.Seconds()*100, "percent-of-core")
		p.Print("Idle."+string(role)+".Resident", float64(after[role].Resident)/(1<<20), "MB")
	}
	return nil
}

// warmUp lets the limits of the targets rise to their slots.
func warmUp(client *http.Client, plain, model router.Service) error {
	ctx, cancel := context.WithTimeout(context.Background(), warmUpDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range throughputWorkers {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _ = plain.Status(ctx, client)
				if st, err := model.Open(ctx, client, 1); err == nil {
					_ = st.Drain()
					_ = st.Close()
				}
			}
		})
	}
	wg.Wait()
	return nil
}

// compareCalls alternates short calls through the router and direct ones.
func compareCalls(p *figures.Printer, client *http.Client, s pair) error {
	through, direct := router.NewHistogram(), router.NewHistogram()
	for range latencyCalls {
		for _, way := range []struct {
			service router.Service
			h       *hdrhistogram.Histogram
		}{{s.through, through}, {s.direct, direct}} {
			d, err := way.service.Status(context.Background(), client)
			if err != nil {
				return err
			}
			if err := way.h.RecordValue(d.Microseconds()); err != nil {
				return errors.Wrap(err, "record latency")
			}
		}
	}
	printAdded(p, "Router.ShortCall.", through, direct)
	return nil
}

// compareStreams alternates streams and compares the times to their first tokens.
func compareStreams(p *figures.Printer, client *http.Client, s pair) error {
	through, direct := router.NewHistogram(), router.NewHistogram()
	for range latencyStreams {
		for _, way := range []struct {
			service router.Service
			h       *hdrhistogram.Histogram
		}{{s.through, through}, {s.direct, direct}} {
			st, err := way.service.Open(context.Background(), client, latencyTokens)
			if err != nil {
				return err
			}
			if err := st.Drain(); err != nil {
				return err
			}
			_ = st.Close()
			if err := way.h.RecordValue(st.FirstToken.Microseconds()); err != nil {
				return errors.Wrap(err, "record latency")
			}
		}
	}
	printAdded(p, "Router.FirstToken.", through, direct)
	return nil
}

func printAdded(p *figures.Printer, name string, through, direct *hdrhistogram.Histogram) {
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"P50", 50}, {"P95", 95}, {"P99", 99}} {
		a, b := float64(through.ValueAtQuantile(q.quantile))/1000, float64(direct.ValueAtQuantile(q.quantile))/1000
		p.Print(name+"Through"+q.name, a, "ms")
		p.Print(name+"Direct"+q.name, b, "ms")
		p.Print(name+"Added"+q.name, a-b, "ms")
	}
}

// throughput loads the router with short calls and relates them to the CPU used.
func throughput(p *figures.Printer, procs *Processes, client *http.Client, s router.Service) error {
	before, err := usages(procs)
	if err != nil {
		return err
	}
	sent := dispatcherBytes(procs)
	var calls, failures atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), throughputDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range throughputWorkers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := s.Status(ctx, client); err == nil {
					calls.Add(1)
				} else if ctx.Err() == nil {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	after, err := usages(procs)
	if err != nil {
		return err
	}
	n := float64(calls.Load())
	p.Print("Router.ShortCall.DispatcherBytesPerRequest", (dispatcherBytes(procs)-sent)/n, "bytes")
	p.Print("Router.ShortCall.Throughput", n/throughputDuration.Seconds(), "requests/s")
	p.Print("Router.ShortCall.Failed", float64(failures.Load()), "requests")
	for _, role := range procs.roles() {
		cpu := after[role].CPU - before[role].CPU
		p.Print("Router.ShortCall."+string(role)+"CPUPerRequest", float64(cpu.Microseconds())/n, "us")
	}
	p.Print("Router.ShortCall.RequestsPerCore", n/(after[fleet.RoleRouter].CPU-before[fleet.RoleRouter].CPU).Seconds(), "requests/s")
	return nil
}

func usages(procs *Processes) (map[fleet.Role]process.Usage, error) {
	all := map[fleet.Role]process.Usage{}
	for role, pid := range procs.PIDs {
		u, err := process.Read(pid)
		if err != nil {
			return nil, err
		}
		all[role] = u
	}
	return all, nil
}

// streamMemory opens streams and relates them to the router's memory and CPU.
func streamMemory(p *figures.Printer, procs *Processes, client *http.Client, s router.Service) error {
	const hold = 5 * time.Second
	before, err := usages(procs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open, failed atomic.Int64
	var wg sync.WaitGroup
	for range openStreams {
		wg.Go(func() {
			st, err := s.Open(ctx, client, openTokens)
			if err != nil {
				failed.Add(1)
				return
			}
			open.Add(1)
			// The stream is cut on purpose once it was measured.
			_ = st.Drain()
			_ = st.Close()
		})
	}
	time.Sleep(hold)
	opened, err := usages(procs)
	if err != nil {
		return err
	}
	sent := dispatcherBytes(procs)
	time.Sleep(hold)
	sent = dispatcherBytes(procs) - sent
	held, err := usages(procs)
	n := float64(open.Load())
	p.Print("Router.Streams.Open", n, "streams")
	p.Print("Router.Streams.Waiting", float64(openStreams)-n-float64(failed.Load()), "streams")
	p.Print("Router.Streams.Failed", float64(failed.Load()), "streams")
	p.Print("Router.Streams.DispatcherBytesPerStream", sent/hold.Seconds()/n, "bytes/s")
	p.Print("Router.Streams.ResidentPerStream", float64(opened[fleet.RoleRouter].Resident-before[fleet.RoleRouter].Resident)/n/1024, "KB")
	for _, role := range procs.roles() {
		cpu := held[role].CPU - opened[role].CPU
		p.Print("Router.Streams."+string(role)+"CPUPerStream", cpu.Seconds()/hold.Seconds()/n*1e6, "us/s")
	}
	cancel()
	wg.Wait()
	return err
}

// dispatcherBytes returns the bytes that all dispatchers received and sent so far; one
// whose operators' address does not answer counts as 0.
func dispatcherBytes(procs *Processes) float64 {
	sum := 0.0
	for _, addr := range procs.Admin {
		resp, err := http.Get("http://" + addr.String() + "/debug/vars")
		if err != nil {
			continue
		}
		var vars struct{ BytesRead, BytesWritten float64 }
		if err := json.NewDecoder(resp.Body).Decode(&vars); err == nil {
			sum += vars.BytesRead + vars.BytesWritten
		}
		_ = resp.Body.Close()
	}
	return sum
}
