package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// stepInterval is the simulated time of one step.
const stepInterval = TickInterval

// simConfig configures a simulation of dispatch reducers with fake routers and targets.
type simConfig struct {
	seed        uint64
	dispatch    Config
	dispatchers int
	routers     int
	targets     int
	slots       fleet.Slots
	customers   int
	// spread is the largest delay of a message beyond one step.
	spread time.Duration
	// loss is the share of reports that are lost, duplicated or sent out of order.
	loss float64
	// meanCost is the mean number of tokens of a request; a target generates one per step and
	// slot.
	meanCost int
	// announceRunning reports whether targets announce their running requests.
	announceRunning bool
	// fleet is the configuration; nil means testFleet.
	fleet *fleet.Fleet
	// permitDeskTargets is the number of targets of service permit-desk, beside those of
	// drafter.
	permitDeskTargets int
	// reuse lets routers reuse the slots of their completed requests while no
	// dispatcher answers.
	reuse bool
}

// sim simulates a fleet around real dispatch reducers. It records violations of what must
// hold, as observed at the routers and targets.
type sim struct {
	cfg         simConfig
	rng         *rand.Rand
	now         time.Time
	config      fleet.Confirmed
	dispatchers []*simDispatcher
	routers     []*simRouter
	targets     []*simTarget
	inFlight    []simMessage
	lease       simLease
	nextRequest int
	// openRequests holds the requests that have not ended.
	openRequests map[fleet.RequestID]bool
	runs         map[fleet.TicketID]int
	crashes      map[fleet.ContentHash]int
	crashedAt    time.Time
	// unreportedCrashes counts the crashes so shortly before a dispatcher failed that possibly
	// no router received their record.
	unreportedCrashes int
	delivered         map[fleet.CustomerName]fleet.Cost
	refused           map[fleet.Reason]int
	outSince          map[fleet.DataCentreName]time.Time
	overloads         int
	completed         int
	// steps counts all steps, samples those that were measured. Over the samples, waitSteps
	// sums the waiting requests, and idleSteps and slotSteps sum the idle and all slots of
	// targets with waiting requests.
	steps      int
	samples    int
	waitSteps  int
	idleSteps  int
	slotSteps  int
	violations []string
	// waits lists how long each customer's requests waited for their first start.
	waits map[fleet.CustomerName][]time.Duration
	// record is called with every event of a dispatcher and its effects.
	record func(d *simDispatcher, ev fleet.Event, effects []fleet.Effect)
	// hint returns the hint of a request; nil means that requests have none.
	hint func(c fleet.CustomerName, cost int) fleet.Cost
}

type simLease struct {
	holder int
	epoch  fleet.Epoch
	until  time.Time
	asked  time.Time
}

// simMessage is a message in flight.
type simMessage struct {
	at      time.Time
	number  int
	deliver func()
}

type simDispatcher struct {
	index  int
	r      *Reducer
	dead   bool
	frozen time.Time
	// inbox holds the events that arrived while the dispatcher was frozen.
	inbox []fleet.Event
	cut   bool
}

func newSim(cfg simConfig) *sim {
	if cfg.fleet == nil {
		cfg.fleet = testFleet()
	}
	s := &sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 1)), now: start,
		config:       fleet.Confirmed{Version: 1, Fleet: cfg.fleet, DataCentresOut: map[fleet.DataCentreName]bool{}},
		waits:        map[fleet.CustomerName][]time.Duration{},
		openRequests: map[fleet.RequestID]bool{}, runs: map[fleet.TicketID]int{}, crashes: map[fleet.ContentHash]int{},
		delivered: map[fleet.CustomerName]fleet.Cost{}, refused: map[fleet.Reason]int{},
		outSince: map[fleet.DataCentreName]time.Time{}, lease: simLease{holder: -1},
	}
	for i := range cfg.dispatchers {
		s.dispatchers = append(s.dispatchers, &simDispatcher{index: i, r: s.newReducer(i)})
	}
	for i := range cfg.targets + cfg.permitDeskTargets {
		s.targets = append(s.targets, newSimTarget(s, i))
	}
	for i := range cfg.routers {
		s.routers = append(s.routers, newSimRouter(s, i, 1))
	}
	s.configure()
	return s
}

func (s *sim) newReducer(i int) *Reducer {
	cfg := s.cfg.dispatch
	cfg.Host = fleet.HostID(fmt.Sprintf("d%d", i))
	return New(cfg)
}

func (s *sim) configure() {
	for _, d := range s.dispatchers {
		s.post(d, ConfigConfirmed{Config: s.config, NotAfter: s.now.Add(time.Hour)})
	}
}

// takeOut takes a data centre out of service or brings it back.
func (s *sim) takeOut(dc fleet.DataCentreName, out bool) {
	next := fleet.Confirmed{Version: s.config.Version + 1, Fleet: s.config.Fleet, DataCentresOut: map[fleet.DataCentreName]bool{}}
	if out {
		next.DataCentresOut[dc] = true
		s.outSince[dc] = s.now
	} else {
		delete(s.outSince, dc)
	}
	s.config = next
	s.configure()
}

// later delivers a message after a random delay.
func (s *sim) later(deliver func()) {
	delay := stepInterval + time.Duration(s.rng.Int64N(int64(s.cfg.spread)+1))
	s.inFlight = append(s.inFlight, simMessage{at: s.now.Add(delay), number: s.nextRequest, deliver: deliver})
}

func (s *sim) failf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%s: ", s.now.Sub(start))+fmt.Sprintf(format, args...))
}

// run advances the time by d and calls each, unless it is nil, in every step.
func (s *sim) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(stepInterval)
		s.deliverMail()
		if each != nil {
			each()
		}
		s.keepLease()
		for _, t := range s.targets {
			t.step()
		}
		for _, o := range s.routers {
			o.step()
		}
		for _, d := range s.dispatchers {
			s.post(d, Tick{})
		}
		s.measure()
	}
}

func (s *sim) deliverMail() {
	due := []simMessage{}
	kept := s.inFlight[:0]
	for _, l := range s.inFlight {
		if l.at.After(s.now) {
			kept = append(kept, l)
			continue
		}
		due = append(due, l)
	}
	s.inFlight = kept
	for _, l := range due {
		l.deliver()
	}
}

// post delivers an event to a dispatcher, or keeps it until the dispatcher is no longer
// frozen. A frozen dispatcher misses ticks.
func (s *sim) post(d *simDispatcher, ev fleet.Event) {
	if d.dead {
		return
	}
	if s.now.Before(d.frozen) {
		if _, tick := ev.(Tick); !tick {
			d.inbox = append(d.inbox, ev)
		}
		return
	}
	pending := append(d.inbox, ev)
	d.inbox = nil
	for _, ev := range pending {
		effects := d.r.Reduce(s.now, ev)
		if s.record != nil {
			s.record(d, ev, effects)
		}
		for _, e := range effects {
			s.perform(d, e)
		}
	}
}

func (s *sim) perform(d *simDispatcher, e fleet.Effect) {
	m, ok := e.(SendGrants)
	if !ok {
		return
	}
	if s.now.After(m.NotAfter()) {
		s.post(d, fleet.Expired{Effect: m})
		return
	}
	for _, o := range s.routers {
		if o.id == m.To && !o.cut[d.index] {
			o.link(d.index, func() { o.receive(d.index, m.Message) })
		}
	}
}

// keepLease renews the lease of a responsive holder and grants an expired one to the first
// responsive dispatcher.
func (s *sim) keepLease() {
	l := &s.lease
	if l.holder >= 0 {
		d := s.dispatchers[l.holder]
		if !d.dead && !d.cut && s.now.After(d.frozen) && s.now.Before(l.until) {
			if s.now.Sub(l.asked) >= 500*time.Millisecond {
				s.grantLease(d, false)
			}
			return
		}
	}
	if s.now.Before(l.until) {
		return
	}
	for _, d := range s.dispatchers {
		if !d.dead && !d.cut && s.now.After(d.frozen) {
			l.epoch++
			l.holder = d.index
			s.grantLease(d, l.epoch > 1)
			return
		}
	}
}

func (s *sim) grantLease(d *simDispatcher, predecessor bool) {
	const duration = 2 * time.Second
	s.lease.asked, s.lease.until = s.now, s.now.Add(duration)
	s.post(d, LeaseHeld{Epoch: s.lease.epoch, NotAfter: s.now.Add(fleet.ShortenLease(duration)), Predecessor: predecessor})
}

// freeze suspends a dispatcher for d.
func (s *sim) freeze(i int, d time.Duration) {
	s.noteLoss()
	s.dispatchers[i].frozen = s.now.Add(d)
}

// noteLoss counts a crash just before a dispatcher's failure as possibly unreported.
func (s *sim) noteLoss() {
	if s.now.Sub(s.crashedAt) < 100*time.Millisecond {
		s.unreportedCrashes++
	}
}

// restartDispatcher replaces a dispatcher by one without state.
func (s *sim) restartDispatcher(i int) {
	s.noteLoss()
	s.dispatchers[i] = &simDispatcher{index: i, r: s.newReducer(i)}
	if s.lease.holder == i {
		s.lease.holder = -1
	}
	s.post(s.dispatchers[i], ConfigConfirmed{Config: s.config, NotAfter: s.now.Add(time.Hour)})
	for _, o := range s.routers {
		o.reconnect(i)
	}
}

// measureEvery is the number of steps between two samples.
const measureEvery = 10

// measure samples the waiting requests, and the idle slots while requests wait.
func (s *sim) measure() {
	if s.steps++; s.steps%measureEvery != 0 {
		return
	}
	s.samples++
	waiting := map[fleet.ServiceName]int{}
	for _, o := range s.routers {
		for _, q := range o.waiting {
			waiting[q.service]++
		}
		s.waitSteps += len(o.waiting)
	}
	for _, t := range s.targets {
		if t.serving() && waiting[t.service] > 0 {
			s.slotSteps += int(t.slots)
			s.idleSteps += int(t.slots) - len(t.running)
		}
	}
}

// submit makes a caller send a request through a router.
func (s *sim) submit(o *simRouter, customer int, cost int, content string) {
	q := s.newRequest(fleet.CustomerName(fmt.Sprintf("c%02d", customer)), "drafter", cost, content)
	if s.hint != nil {
		q.hint = s.hint(q.customer, cost)
	}
	o.add(q)
}

func (s *sim) newRequest(c fleet.CustomerName, service fleet.ServiceName, cost int, content string) *simRequest {
	s.nextRequest++
	id := fleet.RequestID(fmt.Sprintf("q%d", s.nextRequest))
	if content == "" {
		content = "h" + string(id)
	}
	s.openRequests[id] = true
	return &simRequest{
		id: id, number: s.nextRequest, customer: c, service: service, cost: cost, content: fleet.ContentHash(content), submitted: s.now,
	}
}

// randomCost draws a heavy-tailed cost up to the largest allowed one.
func (s *sim) randomCost() int {
	c := int(s.rng.ExpFloat64() * float64(s.cfg.meanCost))
	return min(max(c, 1), int(s.config.Fleet.Services["drafter"].MaxCost))
}
