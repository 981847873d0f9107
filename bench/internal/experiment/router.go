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
	"github.com/fuchsiashed/fuchsiashed/bench/internal/probe"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/process"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Parameters of measureRouter.
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

// measureRouter measures a running router and compares it with direct calls to the same
// targets.
func measureRouter(p *figures.Printer, procs *Processes) error {
	plain := servicePaths{probe.ThroughRouter(procs.Router, "plain", procs.CustomerKey), probe.DirectToTarget(procs.PlainTarget)}
	model := servicePaths{probe.ThroughRouter(procs.Router, "model", procs.CustomerKey), probe.DirectToTarget(procs.ModelTarget)}
	client := probe.NewClient(openStreams)
	for _, step := range []func() error{
		func() error { return measureIdle(p, procs) },
		func() error { return warmUp(client, plain.through, model.through) },
		func() error { return compareCalls(p, client, plain) },
		func() error { return compareStreams(p, client, model) },
		func() error { return measureThroughput(p, procs, client, plain.through) },
		func() error { return measureStreams(p, procs, client, model.through) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// servicePaths holds the two ways to call a service: through the router and directly.
type servicePaths struct {
	through, direct probe.Service
}

// measureIdle measures the resource usage of each process without requests.
func measureIdle(p *figures.Printer, procs *Processes) error {
	usageBefore, err := readUsages(procs)
	if err != nil {
		return err
	}
	bytesBefore := dispatcherBytes(procs)
	time.Sleep(idleDuration)
	usageAfter, err := readUsages(procs)
	if err != nil {
		return err
	}
	p.Print("Idle.Dispatcher.Bytes", (dispatcherBytes(procs)-bytesBefore)/idleDuration.Seconds(), "bytes/s")
	for _, role := range procs.roles() {
		cpu := usageAfter[role].CPU - usageBefore[role].CPU
		p.Print("Idle."+string(role)+".CPU", cpu.Seconds()/idleDuration.Seconds()*100, "percent-of-core")
		p.Print("Idle."+string(role)+".Resident", float64(usageAfter[role].ResidentBytes)/(1<<20), "MB")
	}
	return nil
}

// warmUp sends load until the concurrency limits of the targets have risen to their slots.
func warmUp(client *http.Client, plain, model probe.Service) error {
	ctx, cancel := context.WithTimeout(context.Background(), warmUpDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range throughputWorkers {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _ = plain.CallStatus(ctx, client)
				if st, err := model.OpenStream(ctx, client, 1); err == nil {
					_ = st.Drain()
					_ = st.Close()
				}
			}
		})
	}
	wg.Wait()
	return nil
}

// compareCalls makes short calls by turns through the router and directly, and compares
// their latencies.
func compareCalls(p *figures.Printer, client *http.Client, paths servicePaths) error {
	through, direct := probe.NewLatencyHistogram(), probe.NewLatencyHistogram()
	for range latencyCalls {
		for _, path := range []struct {
			service   probe.Service
			histogram *hdrhistogram.Histogram
		}{{paths.through, through}, {paths.direct, direct}} {
			d, err := path.service.CallStatus(context.Background(), client)
			if err != nil {
				return err
			}
			if err := path.histogram.RecordValue(d.Microseconds()); err != nil {
				return errors.Wrap(err, "record latency")
			}
		}
	}
	printLatencies(p, "Router.ShortCall.", through, direct)
	return nil
}

// compareStreams opens streams by turns through the router and directly, and compares the
// times to first token.
func compareStreams(p *figures.Printer, client *http.Client, paths servicePaths) error {
	through, direct := probe.NewLatencyHistogram(), probe.NewLatencyHistogram()
	for range latencyStreams {
		for _, path := range []struct {
			service   probe.Service
			histogram *hdrhistogram.Histogram
		}{{paths.through, through}, {paths.direct, direct}} {
			st, err := path.service.OpenStream(context.Background(), client, latencyTokens)
			if err != nil {
				return err
			}
			if err := st.Drain(); err != nil {
				return err
			}
			_ = st.Close()
			if err := path.histogram.RecordValue(st.FirstToken.Microseconds()); err != nil {
				return errors.Wrap(err, "record latency")
			}
		}
	}
	printLatencies(p, "Router.FirstToken.", through, direct)
	return nil
}

// printLatencies prints quantiles of both latencies and the latency that the router adds.
func printLatencies(p *figures.Printer, name string, through, direct *hdrhistogram.Histogram) {
	for _, quantile := range []struct {
		name       string
		percentile float64
	}{{"P50", 50}, {"P95", 95}, {"P99", 99}} {
		throughMs, directMs := float64(through.ValueAtQuantile(quantile.percentile))/1000, float64(direct.ValueAtQuantile(quantile.percentile))/1000
		p.Print(name+"Through"+quantile.name, throughMs, "ms")
		p.Print(name+"Direct"+quantile.name, directMs, "ms")
		p.Print(name+"Added"+quantile.name, throughMs-directMs, "ms")
	}
}

// measureThroughput measures the throughput of short calls through the router, and the CPU
// time of each process for one call.
func measureThroughput(p *figures.Printer, procs *Processes, client *http.Client, service probe.Service) error {
	usageBefore, err := readUsages(procs)
	if err != nil {
		return err
	}
	bytesBefore := dispatcherBytes(procs)
	var calls, failures atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), throughputDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range throughputWorkers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if _, err := service.CallStatus(ctx, client); err == nil {
					calls.Add(1)
				} else if ctx.Err() == nil {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	usageAfter, err := readUsages(procs)
	if err != nil {
		return err
	}
	requests := float64(calls.Load())
	p.Print("Router.ShortCall.DispatcherBytesPerRequest", (dispatcherBytes(procs)-bytesBefore)/requests, "bytes")
	p.Print("Router.ShortCall.Throughput", requests/throughputDuration.Seconds(), "requests/s")
	p.Print("Router.ShortCall.Failed", float64(failures.Load()), "requests")
	for _, role := range procs.roles() {
		cpu := usageAfter[role].CPU - usageBefore[role].CPU
		p.Print("Router.ShortCall."+string(role)+"CPUPerRequest", float64(cpu.Microseconds())/requests, "us")
	}
	p.Print("Router.ShortCall.RequestsPerCore", requests/(usageAfter[fleet.RoleRouter].CPU-usageBefore[fleet.RoleRouter].CPU).Seconds(), "requests/s")
	return nil
}

// readUsages returns the resource usage of the processes by role.
func readUsages(procs *Processes) (map[fleet.Role]process.Usage, error) {
	usages := map[fleet.Role]process.Usage{}
	for role, pid := range procs.PIDs {
		usage, err := process.Read(pid)
		if err != nil {
			return nil, err
		}
		usages[role] = usage
	}
	return usages, nil
}

// measureStreams measures the memory and CPU time that an open stream takes.
func measureStreams(p *figures.Printer, procs *Processes, client *http.Client, service probe.Service) error {
	const holdDuration = 5 * time.Second
	usageBefore, err := readUsages(procs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var openCount, failedCount atomic.Int64
	var wg sync.WaitGroup
	for range openStreams {
		wg.Go(func() {
			st, err := service.OpenStream(ctx, client, openTokens)
			if err != nil {
				failedCount.Add(1)
				return
			}
			openCount.Add(1)
			// The stream is cut off when ctx is cancelled, so the error is expected.
			_ = st.Drain()
			_ = st.Close()
		})
	}
	time.Sleep(holdDuration)
	usageOpen, err := readUsages(procs)
	if err != nil {
		return err
	}
	bytesBefore := dispatcherBytes(procs)
	time.Sleep(holdDuration)
	bytesBefore = dispatcherBytes(procs) - bytesBefore
	usageAfterHold, err := readUsages(procs)
	streams := float64(openCount.Load())
	p.Print("Router.Streams.Open", streams, "streams")
	p.Print("Router.Streams.Waiting", float64(openStreams)-streams-float64(failedCount.Load()), "streams")
	p.Print("Router.Streams.Failed", float64(failedCount.Load()), "streams")
	p.Print("Router.Streams.DispatcherBytesPerStream", bytesBefore/holdDuration.Seconds()/streams, "bytes/s")
	p.Print("Router.Streams.ResidentPerStream", float64(usageOpen[fleet.RoleRouter].ResidentBytes-usageBefore[fleet.RoleRouter].ResidentBytes)/streams/1024, "KB")
	for _, role := range procs.roles() {
		cpu := usageAfterHold[role].CPU - usageOpen[role].CPU
		p.Print("Router.Streams."+string(role)+"CPUPerStream", cpu.Seconds()/holdDuration.Seconds()/streams*1e6, "us/s")
	}
	cancel()
	wg.Wait()
	return err
}

// dispatcherBytes returns the number of bytes that the processes of procs.Admin received and
// sent so far. Those that do not publish such counters, or do not answer, count as 0.
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
