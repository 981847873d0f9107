package experiment

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/model"
	"github.com/fuchsiashed/fuchsiashed/bench/internal/workload"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
)

// Parameters of the synthetic regions.
const (
	scalingRequestRate  = 2000.0 // requests a second
	scalingDuration     = 10 * time.Second
	scalingMeanCost     = fleet.Cost(20)
	scalingUnitInterval = 10 * time.Millisecond
	// maxEncodedMessages is the approximate number of messages of a run that are encoded.
	maxEncodedMessages = 8000
)

// regionSizes returns a base size, sizes in which one of routers, targets and customers
// differs from it, and a small size.
func regionSizes() []workload.Size {
	const routers, targets, customers = 90, 625, 250
	base := workload.Size{Routers: routers, Targets: targets, Customers: customers}
	sizes := []workload.Size{base}
	for _, n := range []int{8, 360} {
		size := base
		size.Routers = n
		sizes = append(sizes, size)
	}
	for _, n := range []int{13, 2500} {
		size := base
		size.Targets = n
		sizes = append(sizes, size)
	}
	fewCustomers := base
	fewCustomers.Customers = 16
	return append(sizes, fewCustomers, workload.Size{Routers: 8, Targets: 13, Customers: 16})
}

// measureScaling measures the CPU time and the traffic of a dispatcher for regions of
// different sizes, idle and under load.
func measureScaling(p *figures.Printer) error {
	for _, size := range regionSizes() {
		size.Slots, size.MeanCost, size.UnitInterval, size.HeavyShare, size.Duration = 64, scalingMeanCost, scalingUnitInterval, 0.1, scalingDuration
		idle, err := measureRegion(size)
		if err != nil {
			return err
		}
		size.RequestRate = scalingRequestRate
		loaded, err := measureRegion(size)
		if err != nil {
			return err
		}
		printScaling(p, size, idle, loaded)
	}
	return nil
}

// runCost is the cost of one run for the active dispatcher and its connections.
type runCost struct {
	requests int
	messages int
	// reduceCPU is the CPU time of the reducer.
	reduceCPU time.Duration
	// codecs holds the cost of the messages by the name of the codec.
	codecs     map[string]linkCost
	compressed compressedCost
}

// linkCost is the cost of the messages between routers and one dispatcher.
type linkCost struct {
	reports, grants codecCost
}

func (c linkCost) bytes() float64 { return float64(c.reports.bytes + c.grants.bytes) }

// dispatcherCPU returns the CPU time of the dispatcher to decode reports and encode grants.
func (c linkCost) dispatcherCPU() time.Duration { return c.reports.decodeCPU + c.grants.encodeCPU }

// routerCPU returns the CPU time of all routers to encode reports and decode grants.
func (c linkCost) routerCPU() time.Duration { return c.reports.encodeCPU + c.grants.decodeCPU }

// timedEvent is an event that the active dispatcher received, with its virtual time.
type timedEvent struct {
	at    time.Time
	event fleet.Event
}

// measureRegion simulates a region, then replays the events of the active dispatcher through
// a new reducer, so that only the reducer is measured.
func measureRegion(size workload.Size) (*runCost, error) {
	trace := workload.Sized(traceSeed, size)
	events := recordEvents(trace)
	runtime.GC()
	reducer := dispatch.New(dispatch.Config{Host: "dispatcher-1", StandingGrants: true})
	var effects []fleet.Effect
	began := cpuTime()
	for _, e := range events {
		effects = append(effects, reducer.Reduce(e.at, e.event)...)
	}
	cost := &runCost{reduceCPU: cpuTime() - began, codecs: map[string]linkCost{}, requests: len(trace.Arrivals)}
	compressed, err := measureCompressed(events, effects)
	if err != nil {
		return nil, err
	}
	cost.compressed = compressed
	reports, grants := sentMessages(events, effects)
	cost.messages = len(reports) + len(grants)
	for _, c := range codecs() {
		reportCost, err := measureSample(c, fleet.MethodReport, reports)
		if err != nil {
			return nil, err
		}
		grantCost, err := measureSample(c, fleet.MethodGrants, grants)
		if err != nil {
			return nil, err
		}
		cost.codecs[c.name] = linkCost{reports: reportCost, grants: grantCost}
	}
	return cost, nil
}

// recordEvents simulates a trace and returns the events of the active dispatcher.
func recordEvents(trace *workload.Trace) []timedEvent {
	var events []timedEvent
	model.Run(model.Config{
		Trace: trace, AnnouncedRouters: 2, ProgressInterval: time.Hour, StandingGrants: true,
		NewReducer: func(i int) fleet.Reducer {
			return dispatch.New(dispatch.Config{Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), StandingGrants: true})
		},
		OnEvent: func(i int, now time.Time, ev fleet.Event) {
			if i == 0 {
				events = append(events, timedEvent{at: now, event: ev})
			}
		},
	})
	return events
}

// sentMessages returns the reports in the events and the messages of grants in the effects.
func sentMessages(events []timedEvent, effects []fleet.Effect) (reports []fleet.RouterReport, grants []fleet.DispatcherGrants) {
	for _, e := range events {
		if r, ok := e.event.(dispatch.ReportReceived); ok {
			reports = append(reports, r.Report)
		}
	}
	for _, e := range effects {
		if s, ok := e.(dispatch.SendGrants); ok {
			grants = append(grants, s.Message)
		}
	}
	return reports, grants
}

// measureSample measures messages at regular intervals of a list and scales the cost up to
// the whole list.
func measureSample[T any, P interface {
	*T
	fleet.Checker
}](c codec, method string, all []T) (codecCost, error) {
	stride := max(1, len(all)/maxEncodedMessages)
	var sample []T
	for i := 0; i < len(all); i += stride {
		sample = append(sample, all[i])
	}
	cost, err := measureCodec[T, P](c, method, sample)
	if err != nil || len(sample) == 0 {
		return cost, err
	}
	scale := float64(len(all)) / float64(len(sample))
	cost.bytes = int(float64(cost.bytes) * scale)
	cost.encodeCPU = time.Duration(float64(cost.encodeCPU) * scale)
	cost.decodeCPU = time.Duration(float64(cost.decodeCPU) * scale)
	return cost, nil
}

func printScaling(p *figures.Printer, size workload.Size, idle, loaded *runCost) {
	name := fmt.Sprintf("Slopes.Routers%d.Targets%d.Customers%d.", size.Routers, size.Targets, size.Customers)
	requests := float64(loaded.requests)
	seconds := size.Duration.Seconds()
	perRequest := func(loaded, idle float64) float64 { return (loaded - idle) / requests }
	microseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	p.Print(name+"ReduceCPUPerRequest", perRequest(microseconds(loaded.reduceCPU), microseconds(idle.reduceCPU)), "us")
	p.Print(name+"ReduceCPUIdle", microseconds(idle.reduceCPU)/1000/seconds, "ms/s")
	p.Print(name+"MessagesPerRequest", perRequest(float64(loaded.messages), float64(idle.messages)), "messages")
	printCompressed(p, name, idle.compressed, loaded.compressed, seconds)
	for _, c := range codecs() {
		loadedCost, idleCost := loaded.codecs[c.name], idle.codecs[c.name]
		p.Print(name+c.name+".BytesPerRequest", perRequest(loadedCost.bytes(), idleCost.bytes()), "bytes")
		p.Print(name+c.name+".DispatcherCPUPerRequest", perRequest(microseconds(loadedCost.dispatcherCPU()), microseconds(idleCost.dispatcherCPU())), "us")
		p.Print(name+c.name+".RouterCPUPerRequest", perRequest(microseconds(loadedCost.routerCPU()), microseconds(idleCost.routerCPU())), "us")
		p.Print(name+c.name+".BytesIdle", idleCost.bytes()/seconds/float64(size.Routers), "bytes/s/router")
		p.Print(name+c.name+".DispatcherCPUIdle", microseconds(idleCost.dispatcherCPU())/1000/seconds, "ms/s")
		p.Print(name+c.name+".RouterCPUIdle", microseconds(idleCost.routerCPU())/1000/seconds/float64(size.Routers), "ms/s/router")
	}
}

// printCompressed prints the traffic and the CPU time of the compressed connections. The
// idle traffic of a router is the same in both runs, so it is subtracted from the loaded run.
func printCompressed(p *figures.Printer, name string, idle, loaded compressedCost, seconds float64) {
	idleBytesPerRouter := float64(idle.bytes) / float64(idle.routers)
	requestBytes := float64(loaded.bytes) - idleBytesPerRouter*float64(loaded.routers)
	p.Print(name+"Wire.BytesPerRequest", requestBytes/float64(loaded.tickets), "bytes")
	p.Print(name+"Wire.BytesIdle", idleBytesPerRouter/seconds, "bytes/s/router")
	compressCPU := loaded.compressCPU - idle.compressCPU*time.Duration(loaded.routers)/time.Duration(idle.routers)
	p.Print(name+"Wire.CompressCPUPerRequest", float64(compressCPU)/float64(time.Microsecond)/float64(loaded.tickets), "us")
}
