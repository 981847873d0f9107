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
	slopeRate     = 2000.0 // requests a second
	slopeDuration = 10 * time.Second
	slopeCost     = fleet.Cost(20)
	slopeInterval = 10 * time.Millisecond
	// mostMeasured is how many messages of a run are encoded.
	mostMeasured = 8000
)

// slopeSizes vary one of routers, targets and customers at a time.
func slopeSizes() []workload.Size {
	const routers, targets, customers = 90, 625, 250
	base := workload.Size{Routers: routers, Targets: targets, Customers: customers}
	sizes := []workload.Size{base}
	for _, n := range []int{8, 360} {
		s := base
		s.Routers = n
		sizes = append(sizes, s)
	}
	for _, n := range []int{13, 2500} {
		s := base
		s.Targets = n
		sizes = append(sizes, s)
	}
	s := base
	s.Customers = 16
	return append(sizes, s, workload.Size{Routers: 8, Targets: 13, Customers: 16})
}

// slopes measures what a dispatcher and its links cost by the size of a region.
func slopes(p *figures.Printer) error {
	for _, s := range slopeSizes() {
		s.Slots, s.Cost, s.UnitInterval, s.Backlogged, s.Duration = 64, slopeCost, slopeInterval, 0.1, slopeDuration
		idle, err := measureSize(s)
		if err != nil {
			return err
		}
		s.Rate = slopeRate
		loaded, err := measureSize(s)
		if err != nil {
			return err
		}
		printSlope(p, s, idle, loaded)
	}
	return nil
}

// sizeCost is what one run cost the active dispatcher and its links.
type sizeCost struct {
	requests int
	messages int
	reduce   time.Duration
	codecs   map[string]linkCost
	wire     wireCost
}

// linkCost is the cost of the messages between routers and one dispatcher.
type linkCost struct {
	up, down codecCost
}

func (c linkCost) bytes() float64 { return float64(c.up.bytes + c.down.bytes) }

// dispatcherCPU is spent on decoding reports and encoding grants.
func (c linkCost) dispatcherCPU() time.Duration { return c.up.decode + c.down.encode }

// routerCPU is spent on encoding reports and decoding grants, by all routers.
func (c linkCost) routerCPU() time.Duration { return c.up.encode + c.down.decode }

// recorded is one event of the active dispatcher.
type recorded struct {
	at time.Time
	ev fleet.Event
}

// measureSize runs a region, then replays its events alone to measure them.
func measureSize(s workload.Size) (*sizeCost, error) {
	trace := workload.Sized(seed, s)
	events := recordEvents(trace)
	runtime.GC()
	reducer := dispatch.New(dispatch.Config{Host: "dispatcher-1", StandingGrants: true})
	var effects []fleet.Effect
	began := cpuTime()
	for _, e := range events {
		effects = append(effects, reducer.Reduce(e.at, e.ev)...)
	}
	cost := &sizeCost{reduce: cpuTime() - began, codecs: map[string]linkCost{}, requests: len(trace.Arrivals)}
	wire, err := measureWire(events, effects)
	if err != nil {
		return nil, err
	}
	cost.wire = wire
	reports, grants := messages(events, effects)
	cost.messages = len(reports) + len(grants)
	for _, c := range codecs() {
		up, err := measureSample(c, fleet.MethodReport, reports)
		if err != nil {
			return nil, err
		}
		down, err := measureSample(c, fleet.MethodGrants, grants)
		if err != nil {
			return nil, err
		}
		cost.codecs[c.name] = linkCost{up: up, down: down}
	}
	return cost, nil
}

func recordEvents(trace *workload.Trace) []recorded {
	var events []recorded
	model.Run(model.Config{
		Trace: trace, AnnounceTo: 2, ProgressInterval: time.Hour, Standing: true,
		NewReducer: func(i int) fleet.Reducer {
			return dispatch.New(dispatch.Config{Host: fleet.HostID(fmt.Sprintf("dispatcher-%d", i+1)), StandingGrants: true})
		},
		Event: func(i int, now time.Time, ev fleet.Event) {
			if i == 0 {
				events = append(events, recorded{at: now, ev: ev})
			}
		},
	})
	return events
}

func messages(events []recorded, effects []fleet.Effect) (reports []fleet.RouterReport, grants []fleet.DispatcherGrants) {
	for _, e := range events {
		if r, ok := e.ev.(dispatch.ReportReceived); ok {
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

// measureSample measures evenly chosen messages and scales the cost to all.
func measureSample[T any, P interface {
	*T
	fleet.Checker
}](c codec, method string, all []T) (codecCost, error) {
	step := max(1, len(all)/mostMeasured)
	var sample []T
	for i := 0; i < len(all); i += step {
		sample = append(sample, all[i])
	}
	cost, err := measureCodec[T, P](c, method, sample)
	if err != nil || len(sample) == 0 {
		return cost, err
	}
	scale := float64(len(all)) / float64(len(sample))
	cost.bytes = int(float64(cost.bytes) * scale)
	cost.encode = time.Duration(float64(cost.encode) * scale)
	cost.decode = time.Duration(float64(cost.decode) * scale)
	return cost, nil
}

func printSlope(p *figures.Printer, s workload.Size, idle, loaded *sizeCost) {
	name := fmt.Sprintf("Slopes.Routers%d.Targets%d.Customers%d.", s.Routers, s.Targets, s.Customers)
	n := float64(loaded.requests)
	seconds := s.Duration.Seconds()
	perRequest := func(loaded, idle float64) float64 { return (loaded - idle) / n }
	micro := func(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
	p.Print(name+"ReduceCPUPerRequest", perRequest(micro(loaded.reduce), micro(idle.reduce)), "us")
	p.Print(name+"ReduceCPUIdle", micro(idle.reduce)/1000/seconds, "ms/s")
	p.Print(name+"MessagesPerRequest", perRequest(float64(loaded.messages), float64(idle.messages)), "messages")
	printWire(p, name, idle.wire, loaded.wire, seconds)
	for _, c := range codecs() {
		l, i := loaded.codecs[c.name], idle.codecs[c.name]
		p.Print(name+c.name+".BytesPerRequest", perRequest(l.bytes(), i.bytes()), "bytes")
		p.Print(name+c.name+".DispatcherCPUPerRequest", perRequest(micro(l.dispatcherCPU()), micro(i.dispatcherCPU())), "us")
		p.Print(name+c.name+".RouterCPUPerRequest", perRequest(micro(l.routerCPU()), micro(i.routerCPU())), "us")
		p.Print(name+c.name+".BytesIdle", i.bytes()/seconds/float64(s.Routers), "bytes/s/router")
		p.Print(name+c.name+".DispatcherCPUIdle", micro(i.dispatcherCPU())/1000/seconds, "ms/s")
		p.Print(name+c.name+".RouterCPUIdle", micro(i.routerCPU())/1000/seconds/float64(s.Routers), "ms/s/router")
	}
}

// printWire prints what the compressed connections carried. Idle traffic is the same in
// both runs for each router.
func printWire(p *figures.Printer, name string, idle, loaded wireCost, seconds float64) {
	perRouter := float64(idle.bytes) / float64(idle.routers)
	busy := float64(loaded.bytes) - perRouter*float64(loaded.routers)
	p.Print(name+"Wire.BytesPerRequest", busy/float64(loaded.tickets), "bytes")
	p.Print(name+"Wire.BytesIdle", perRouter/seconds, "bytes/s/router")
	deflate := loaded.deflate - idle.deflate*time.Duration(loaded.routers)/time.Duration(idle.routers)
	p.Print(name+"Wire.CompressCPUPerRequest", float64(deflate)/float64(time.Microsecond)/float64(loaded.tickets), "us")
}
