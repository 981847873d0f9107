// Package shell runs the reducer of a control replica: it passes events to the reducer one
// at a time and performs the effects that the reducer returns.
package shell

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

// eventQueueLength is the number of events that can be queued for the reducer.
const eventQueueLength = 1024

// Sender sends messages to other replicas.
type Sender interface {
	// Send queues a message without blocking. The message may be lost.
	Send(m quorum.Message)
}

// Config configures a Shell.
type Config struct {
	Quorum  quorum.Config
	Storage fleet.Storage
	Sender  Sender
	Clock   fleet.Clock
	Log     *slog.Logger
	// SyncEachRecord makes every record durable with its own sync, instead of one sync for
	// all records that are queued.
	SyncEachRecord bool
	// EventLog receives the event log for replay; nil disables it.
	EventLog io.Writer
	// OnStorageFailure is called once, when a write has failed and is not retried. It must
	// make the owner stop the replica.
	OnStorageFailure func(error)
	// WriteRetryDelay is the time before a failed write is retried. With 0 the first failed
	// write calls OnStorageFailure.
	WriteRetryDelay time.Duration
	// OnStateChange, if set, receives each newer committed state of a numbered configuration.
	OnStateChange func(registry.NumberedState)
	// OnRolloutsChange, if set, receives the newest committed roll-outs after each change.
	OnRolloutsChange func([]fleet.Rollout)
	// OnRoleChange, if set, is called for each change of the replica's role, term or leader.
	OnRoleChange func(quorum.RoleChanged)
}

// ErrStopped is returned for requests to a Shell that was stopped.
var ErrStopped = errors.New("the replica has stopped")

// Shell runs one replica. It is safe for concurrent use.
type Shell struct {
	cfg    Config
	server *registry.Server
	events chan fleet.Event
	writer *writer
	stop   chan struct{}
	// finished is closed once no more events are handled.
	finished chan struct{}
	wg       sync.WaitGroup
	// startTime is the base of the reducer's time, which is startTime plus the time elapsed on
	// the monotonic clock. It is passed on without a monotonic reading, which the event log
	// could not record.
	startTime time.Time
	recorder  *eventlog.Writer

	// lastQuorumContact is when the replica was last in contact with a majority, in
	// nanoseconds since startTime; 0 before the first contact.
	lastQuorumContact atomic.Int64

	mu       sync.Mutex
	pending  map[registry.CallID]chan registry.Answer
	lastCall registry.CallID
}

// inspectEvent is an event of the shell itself: a function to call between two events of the
// reducer.
type inspectEvent func(*registry.Server)

// EventName implements fleet.Event.
func (inspectEvent) EventName() string { return "Inspect" }

// New restores a replica from its storage; Start runs it. It fails if the storage can't be
// read.
func New(cfg Config) (*Shell, error) {
	records, err := loadRecords(cfg.Storage)
	if err != nil {
		return nil, err
	}
	cfg.Quorum.Records = records
	s := &Shell{
		cfg: cfg, startTime: cfg.Clock.Now(),
		events: make(chan fleet.Event, eventQueueLength),
		stop:   make(chan struct{}), finished: make(chan struct{}),
		pending: map[registry.CallID]chan registry.Answer{},
	}
	s.writer = newWriter(cfg.Storage, cfg.SyncEachRecord, s.onDurable, s.waitToRetryWrite)
	if cfg.EventLog != nil {
		s.recorder = eventlog.NewWriter(cfg.EventLog)
	}
	now := s.now()
	s.recordEvent(now, registry.NewStarted(&cfg.Quorum))
	s.server, err = registry.NewServer(now, cfg.Quorum)
	return s, err
}

// now returns the reducer's time; see startTime.
func (s *Shell) now() time.Time {
	return s.startTime.Round(0).Add(s.cfg.Clock.Now().Sub(s.startTime))
}

// recordEvent writes an event to the event log. After a failed write the replica runs
// without an event log.
func (s *Shell) recordEvent(now time.Time, ev fleet.Event) {
	if s.recorder == nil {
		return
	}
	if err := s.recorder.Write(now, registry.RecordableEvent(ev)); err != nil {
		s.cfg.Log.Error(logevent.EventLogEnded, "error", err)
		s.recorder = nil
	}
}

// loadRecords returns the decoded records of a storage.
func loadRecords(storage fleet.Storage) ([]quorum.Record, error) {
	raw, err := storage.Records()
	if err != nil {
		return nil, err
	}
	records := make([]quorum.Record, len(raw))
	for i := range raw {
		if records[i], err = quorum.DecodeRecord(raw[i]); err != nil {
			return nil, errors.Wrapf(err, "record %d of the storage", i)
		}
	}
	return records, nil
}

// Start runs the replica until Stop.
func (s *Shell) Start() {
	s.wg.Add(3)
	go s.run()
	go s.runTicker()
	go s.runWriter()
}

// Stop stops the replica. Pending requests fail with ErrStopped.
func (s *Shell) Stop() {
	close(s.stop)
	s.writer.close()
	s.wg.Wait()
}

// Submit implements clients.Replica. It returns ErrStopped after Stop and the error of
// ctx when that ends first; the request may still be carried out.
func (s *Shell) Submit(ctx context.Context, r registry.Request) (registry.Answer, error) {
	id, ch := s.newCall()
	defer s.removeCall(id)
	if !s.post(registry.RequestReceived{ID: id, Request: r}) {
		return registry.Answer{}, ErrStopped
	}
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return registry.Answer{}, errors.Wrap(ctx.Err(), "wait for the replica")
	case <-s.stop:
		return registry.Answer{}, ErrStopped
	}
}

// AddContacts adds hosts through which a replica outside the quorum can join it.
func (s *Shell) AddContacts(hosts []fleet.HostID) { s.post(quorum.Contacts{Hosts: hosts}) }

// TransferLeadership transfers the leadership to another replica before a planned stop. It
// has no effect on a follower.
func (s *Shell) TransferLeadership() { s.post(quorum.TransferLeadership{}) }

// Deliver implements clients.Replica. It blocks while the event queue is full.
func (s *Shell) Deliver(m quorum.Message) { s.post(quorum.Received{Message: m}) }

// Inspect calls f with the reducer between two events and waits until f returns. f must not
// keep the reducer. After Stop, f may not be called; it does not run any more once Inspect has
// returned.
func (s *Shell) Inspect(f func(*registry.Server)) {
	done := make(chan struct{})
	if !s.post(inspectEvent(func(server *registry.Server) { f(server); close(done) })) {
		return
	}
	select {
	case <-done:
	case <-s.finished:
	}
}

// post queues an event, waiting while the queue is full. It returns false if the replica was
// stopped.
func (s *Shell) post(ev fleet.Event) bool {
	select {
	case s.events <- ev:
		return true
	case <-s.stop:
		return false
	}
}

// run handles events until Stop.
func (s *Shell) run() {
	defer s.wg.Done()
	defer close(s.finished)
	for {
		select {
		case <-s.stop:
			return
		case ev := <-s.events:
			s.handle(ev)
		}
	}
}

// handle passes one event to the reducer and performs the effects.
func (s *Shell) handle(ev fleet.Event) {
	if f, ok := ev.(inspectEvent); ok {
		f(s.server)
		return
	}
	now := s.now()
	s.recordEvent(now, ev)
	for _, e := range s.server.Reduce(now, ev) {
		s.perform(e)
	}
	if s.server.HasQuorumContact(quorum.MinElectionTimeout) {
		s.lastQuorumContact.Store(int64(s.cfg.Clock.Now().Sub(s.startTime)))
	}
}

// HasQuorumContact reports whether the replica was in contact with a majority within the
// last d.
func (s *Shell) HasQuorumContact(d time.Duration) bool {
	at := s.lastQuorumContact.Load()
	return at > 0 && s.cfg.Clock.Now().Sub(s.startTime)-time.Duration(at) < d
}

// perform performs one effect. If the effect depends on a lease that has expired, as after
// the process was suspended, it reports the effect to the reducer as expired instead.
func (s *Shell) perform(e fleet.Effect) {
	if expiring, ok := e.(fleet.Expiring); ok && !s.now().Before(expiring.NotAfter()) {
		countRefusal("LeaseEnded")
		s.handle(fleet.Expired{Effect: expiring})
		return
	}
	switch e := e.(type) {
	case quorum.Send:
		s.cfg.Sender.Send(e.Message)
	case quorum.Write:
		s.writer.add(e)
	case quorum.RoleChanged:
		s.cfg.Log.Info(logevent.StandingChanged, "standing", string(e.Role), "term", uint64(e.Term), "leader", string(e.Leader))
		if s.cfg.OnRoleChange != nil {
			s.cfg.OnRoleChange(e)
		}
	case registry.NumberedChanged:
		s.cfg.Log.Info(logevent.ConfigInForce, "number", int64(e.Config.Number), "revision", uint64(e.Revision), "out", len(e.Out))
		if s.cfg.OnStateChange != nil {
			s.cfg.OnStateChange(e.NumberedState)
		}
	case registry.RolloutsChanged:
		if s.cfg.OnRolloutsChange != nil {
			s.cfg.OnRolloutsChange(e.Rollouts)
		}
	case registry.Answer:
		s.deliverAnswer(e)
	case registry.LeasedAnswer:
		s.deliverAnswer(e.Answer)
	}
}

// runTicker posts a Tick at each quorum.TickInterval until Stop.
func (s *Shell) runTicker() {
	defer s.wg.Done()
	ticker := time.NewTicker(quorum.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.post(quorum.Tick{Random: rand.Uint64()})
		}
	}
}

// runWriter runs the writer and reports its error, unless the replica was stopped.
func (s *Shell) runWriter() {
	defer s.wg.Done()
	if err := s.writer.run(); err != nil {
		select {
		case <-s.stop:
			return
		default:
		}
		s.cfg.Log.Error(logevent.StorageFailed, "error", err)
		s.cfg.OnStorageFailure(err)
	}
}

// waitToRetryWrite waits for WriteRetryDelay after a failed write and reports whether to
// retry the write.
func (s *Shell) waitToRetryWrite(err error) bool {
	if s.cfg.WriteRetryDelay == 0 {
		return false
	}
	counters.Add("WriteErrors", 1)
	s.cfg.Log.Error(logevent.WriteFailed, "error", err, "retry", s.cfg.WriteRetryDelay)
	timer := time.NewTimer(s.cfg.WriteRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Shell) onDurable(seq fleet.Sequence) { s.post(quorum.Written{Sequence: seq}) }

// newCall returns a new call ID and the channel for its answer.
func (s *Shell) newCall() (registry.CallID, chan registry.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	ch := make(chan registry.Answer, 1)
	s.pending[s.lastCall] = ch
	return s.lastCall, ch
}

func (s *Shell) removeCall(id registry.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// deliverAnswer passes an answer to the pending call, if that is still waiting.
func (s *Shell) deliverAnswer(a registry.Answer) {
	countAnswer(a)
	s.mu.Lock()
	ch := s.pending[a.ID]
	s.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- a:
	default:
	}
}
