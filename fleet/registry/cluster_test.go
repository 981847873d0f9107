package registry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

var epoch = time.Unix(1_700_000_000, 0)

// checkInterval is the number of entries between two comparisons of the replicas' states.
const checkInterval = 8

// cluster runs replicas in virtual time, with fake disks, network and clocks.
type cluster struct {
	rng    *rand.Rand
	now    time.Duration
	queue  taskQueue
	order  int
	nodes  []*node
	faults fault.Set
	// cutLinks holds the one-way links, from and to, that lose every message.
	cutLinks map[[2]int]bool
	// lossRate is the share of messages lost on the other links.
	lossRate  float64
	calls     map[registry.CallID]func(registry.Answer)
	lastCall  registry.CallID
	leaders   map[fleet.Term]fleet.HostID
	states    map[fleet.Index]uint64
	violation string
	// founders is the number of replicas that found the quorum; 0 means all.
	founders int
	// toleratedLosses is the number of replicas that may be lost at the same time.
	toleratedLosses int
	// configure, if set, changes the configuration of a replica before its start.
	configure func(*quorum.Config)
	// keepIncarnation makes a replica that lost its disk restart as the same member.
	keepIncarnation bool
	recorder        func(n *node, now time.Time, ev fleet.Event, effects []fleet.Effect)
}

// node is one replica with its disk and clock.
type node struct {
	c           *cluster
	id          int
	host        fleet.HostID
	server      *registry.Server
	clockRate   float64
	run         int
	up          bool
	frozen      bool
	freezeNext  bool
	backlog     []func()
	durable     [][]byte
	pending     []quorum.Write
	syncing     bool
	incarnation fleet.Incarnation
	// clockLag is the time for which the replica's clock stood still.
	clockLag  time.Duration
	syncDelay time.Duration
	checked   fleet.Index
}

type task struct {
	at    time.Duration
	order int
	do    func()
}

// taskQueue is a heap of tasks by time, then by order of creation.
type taskQueue []task

func (s taskQueue) Len() int { return len(s) }
func (s taskQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s taskQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *taskQueue) Push(x any)   { *s = append(*s, x.(task)) }
func (s *taskQueue) Pop() any {
	old := *s
	t := old[len(old)-1]
	*s = old[:len(old)-1]
	return t
}

// newCluster returns a cluster of n replicas, which start runs.
func newCluster(n int, seed uint64, faults fault.Set) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		cutLinks: map[[2]int]bool{}, calls: map[registry.CallID]func(registry.Answer){},
		leaders: map[fleet.Term]fleet.HostID{}, states: map[fleet.Index]uint64{},
	}
	for i := range n {
		rate := 1 + (c.rng.Float64()-0.5)*fleet.MaxClockDriftPermille/1000
		c.nodes = append(c.nodes, &node{c: c, id: i, host: fleet.HostID(fmt.Sprintf("control-%d", i)), clockRate: rate})
	}
	return c
}

func (c *cluster) start() {
	for _, n := range c.nodes {
		n.start()
	}
}

// after schedules f after d of virtual time.
func (c *cluster) after(d time.Duration, f func()) {
	c.order++
	heap.Push(&c.queue, task{at: c.now + d, order: c.order, do: f})
}

func (c *cluster) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// runFor runs the tasks of the next d of virtual time. It stops at the first violation.
func (c *cluster) runFor(d time.Duration) {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			c.reportViolation("%s", v)
		} else if v != nil {
			panic(v)
		}
	}()
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= end && c.violation == "" {
		t := heap.Pop(&c.queue).(task)
		c.now = t.at
		t.do()
	}
	c.now = end
}

// reportViolation records the first violation with its virtual time.
func (c *cluster) reportViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("%s: ", c.now) + fmt.Sprintf(format, args...)
	}
}

func (n *node) clock() time.Time {
	return epoch.Add(time.Duration(float64(n.c.now)*n.clockRate) - n.clockLag)
}

// start starts the replica with the content of its disk. With an empty disk it draws a new
// incarnation.
func (n *node) start() {
	c := n.c
	records := make([]quorum.Record, len(n.durable))
	for i, raw := range n.durable {
		var err error
		if records[i], err = quorum.DecodeRecord(raw); err != nil {
			panic(err)
		}
	}
	if n.incarnation == 0 {
		n.incarnation = fleet.Incarnation(c.now) + fleet.Incarnation(n.id) + 1
	}
	var hosts []fleet.HostID
	for i, other := range c.nodes {
		if c.founders == 0 || i < c.founders {
			hosts = append(hosts, other.host)
		}
	}
	cfg := quorum.Config{
		Host: n.host, Incarnation: n.incarnation, Hosts: hosts, Bootstrap: true,
		SnapshotEntries: 40, Records: records, Faults: c.faults,
	}
	if c.configure != nil {
		c.configure(&cfg)
	}
	if c.recorder != nil {
		c.recorder(n, n.clock(), registry.NewStarted(&cfg), nil)
	}
	server, err := registry.NewServer(n.clock(), cfg)
	if err != nil {
		c.reportViolation("%s does not start: %s", n.host, err)
		return
	}
	n.server, n.up, n.frozen, n.freezeNext, n.syncing = server, true, false, false, false
	n.run++
	n.tick(n.run)
}

func (n *node) tick(run int) {
	if run != n.run || !n.up {
		return
	}
	n.handle(quorum.Tick{Random: n.c.rng.Uint64()})
	n.c.after(quorum.TickInterval, func() { n.tick(run) })
}

// crash stops the replica and loses what is not synced. A sync in progress completes or is
// lost at random.
func (n *node) crash() {
	if n.syncing && n.c.rng.IntN(2) == 0 {
		n.persist(n.pending)
	}
	n.up, n.pending, n.backlog = false, nil, nil
	n.run++
}

// wipe crashes the replica and erases its disk.
func (n *node) wipe() {
	n.crash()
	n.durable = nil
	if !n.c.keepIncarnation {
		n.incarnation = 0
	}
}

// unfreeze resumes a frozen replica and runs its queued work.
func (n *node) unfreeze() {
	if !n.frozen {
		return
	}
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		n.runOrQueue(f)
	}
}

// runOrQueue calls f now, or after the freeze of a frozen replica.
func (n *node) runOrQueue(f func()) {
	if n.frozen {
		n.backlog = append(n.backlog, f)
		return
	}
	f()
}

func (n *node) handle(ev fleet.Event) {
	if !n.up {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, func() { n.handle(ev) })
		return
	}
	now := n.clock()
	effects := n.server.Reduce(now, ev)
	if n.c.recorder != nil {
		n.c.recorder(n, now, ev, effects)
	}
	n.c.checkState(n)
	if n.freezeNext {
		n.freezeNext, n.frozen = false, true
	}
	for _, e := range effects {
		n.runOrQueue(func() { n.perform(e) })
	}
}

// perform executes an effect; an expired one is reported back instead.
func (n *node) perform(e fleet.Effect) {
	if x, ok := e.(fleet.Expiring); ok && !n.clock().Before(x.NotAfter()) {
		n.handle(fleet.Expired{Effect: x})
		return
	}
	switch e := e.(type) {
	case quorum.Send:
		n.c.send(n, e.Message)
	case quorum.Write:
		n.pending = append(n.pending, e)
		n.sync()
	case quorum.RoleChanged:
		n.c.checkLeader(e)
	case registry.Answer:
		n.c.answer(e)
	case registry.LeasedAnswer:
		n.c.answer(e.Answer)
	}
}

// sync makes the pending writes durable after a random delay.
func (n *node) sync() {
	if n.syncing || len(n.pending) == 0 {
		return
	}
	n.syncing = true
	run, batch := n.run, n.pending
	n.c.after(n.syncDelay+n.c.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
		if run != n.run {
			return
		}
		n.persist(batch)
		n.pending = n.pending[len(batch):]
		n.syncing = false
		n.handle(quorum.Written{Sequence: batch[len(batch)-1].Sequence})
		n.sync()
	})
}

func (n *node) persist(batch []quorum.Write) {
	for _, w := range batch {
		if w.Replace {
			n.durable = nil
		}
		for i := range w.Records {
			raw, err := quorum.EncodeRecord(&w.Records[i])
			if err != nil {
				panic(err)
			}
			n.durable = append(n.durable, raw)
		}
	}
}

// send delivers a message after a random delay, sometimes twice or never.
func (c *cluster) send(from *node, m quorum.Message) {
	raw, err := quorum.EncodeMessage(&m)
	if err != nil {
		panic(err)
	}
	for _, to := range c.nodes {
		if to.host != m.To {
			continue
		}
		for range 1 + c.rng.IntN(20)/19 {
			c.transmit(from.id, to, raw)
		}
	}
}

func (c *cluster) transmit(from int, to *node, raw []byte) {
	if c.cutLinks[[2]int{from, to.id}] || c.rng.Float64() < c.lossRate {
		return
	}
	delay := c.randomDuration(500*time.Microsecond, 2*time.Millisecond)
	if c.rng.IntN(50) == 0 {
		delay = c.randomDuration(time.Millisecond, 700*time.Millisecond)
	}
	c.after(delay, func() {
		m, err := quorum.DecodeMessage(raw)
		if err != nil {
			panic(err)
		}
		to.handle(quorum.Received{Message: m})
	})
}

// ask sends a request to a replica, sometimes twice. then gets the answer unless the request
// or the answer is lost.
func (c *cluster) ask(to *node, r registry.Request, then func(registry.Answer)) {
	c.lastCall++
	id := c.lastCall
	c.calls[id] = then
	for range 1 + c.rng.IntN(10)/9 {
		if c.rng.Float64() >= c.lossRate {
			c.after(c.randomDuration(time.Millisecond, 4*time.Millisecond), func() { to.handle(registry.RequestReceived{ID: id, Request: r}) })
		}
	}
}

func (c *cluster) answer(a registry.Answer) {
	then := c.calls[a.ID]
	if then == nil || c.rng.Float64() < c.lossRate {
		return
	}
	delete(c.calls, a.ID)
	c.after(c.randomDuration(time.Millisecond, 4*time.Millisecond), func() { then(a) })
}
