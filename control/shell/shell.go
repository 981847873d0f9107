// Package shell runs the reducer of a control replica: it feeds it events one at a
// time and performs the effects that it returns.
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

// eventQueue is how many events wait for the reducer.
const eventQueueLength = 1024

// Sender sends messages to other replicas.
type Sender interface {
	// Send queues a message; it may be lost.
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
	// OnStorageFailure is called once when the storage has failed for good. The caller must
	// then stop the replica.
	OnStorageFailure func(error)
	// WriteRetryDelay is the time before a failed write is retried. With 0 the first failed
	// write calls OnStorageFailure.
	WriteRetryDelay time.Duration
	// OnStateChange, if set, receives each newer committed state of a numbered configuration.
	OnStateChange func(registry.NumberedState)
	// OnRoleChange, if set, is called for each change of the replica's role, term or leader.
	OnRoleChange func(quorum.RoleChanged)
}

// ErrStopped is returned for requests to a replica that has stopped.
var ErrStopped = errors.New("the replica has stopped")

// Shell runs one replica.
type Shell struct {
	cfg    Config
	server *registry.Server
	events chan fleet.Event
	writer *writer
	stop   chan struct{}
	wg     sync.WaitGroup
	// started is the base of the reducer's time, without a monotonic reading: it passes
	// with the monotonic clock, and an event log holds all of it.
	startTime time.Time
	recorder  *eventlog.Writer

	// inTouch is when the replica last was in touch with a majority, in nanoseconds since
	// started; 0 before the first time.
	lastQuorumContact atomic.Int64

	mu       sync.Mutex
	pending  map[registry.CallID]chan registry.Answer
	lastCall registry.CallID
}

// inspect is a shell event that calls a function between two events of the reducer.
type inspectEvent func(*registry.Server)

// EventName implements fleet.Event.
func (inspectEvent) EventName() string { return "Inspect" }

// New restores a replica from its storage; Start runs it.
func New(cfg Config) (*Shell, error) {
	records, err := loadRecords(cfg.Storage)
	if err != nil {
		return nil, err
	}
	cfg.Quorum.Records = records
	s := &Shell{
		cfg: cfg, startTime: cfg.Clock.Now(),
		events:  make(chan fleet.Event, eventQueueLength),
		stop:    make(chan struct{}),
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

// now returns the reducer's time.
func (s *Shell) now() time.Time {
	return s.startTime.Round(0).Add(s.cfg.Clock.Now().Sub(s.startTime))
}

// record writes an event into the event log. The replica goes on without one when
// that fails.
func (s *Shell) recordEvent(now time.Time, ev fleet.Event) {
	if s.recorder == nil {
		return
	}
	if err := s.recorder.Write(now, registry.RecordableEvent(ev)); err != nil {
		s.cfg.Log.Error(logevent.EventLogEnded, "error", err)
		s.recorder = nil
	}
}

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

// Stop ends the replica. Requests that wait get ErrStopped.
func (s *Shell) Stop() {
	close(s.stop)
	s.writer.close()
	s.wg.Wait()
}

// Submit implements clients.Replica. It returns ErrStopped after Stop and the error of
// ctx when that ends first; the request may still be carried out.
func (s *Shell) Submit(ctx context.Context, r registry.Request) (registry.Answer, error) {
	id, ch := s.newCall()
	defer s.dropCall(id)
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

// AddContacts names further hosts that may know the quorum.
func (s *Shell) AddContacts(hosts []fleet.HostID) { s.post(quorum.Contacts{Hosts: hosts}) }

// TransferLeadership hands the leadership to another replica before a planned stop. It
// has no effect on a follower.
func (s *Shell) TransferLeadership() { s.post(quorum.TransferLeadership{}) }

// Deliver implements clients.Replica.
func (s *Shell) Deliver(m quorum.Message) { s.post(quorum.Received{Message: m}) }

// Inspect calls f between two events and returns when it has ended.
func (s *Shell) Inspect(f func(*registry.Server)) {
	done := make(chan struct{})
	if !s.post(inspectEvent(func(server *registry.Server) { f(server); close(done) })) {
		return
	}
	select {
	case <-done:
	case <-s.stop:
	}
}

// post queues an event and says whether the replica still runs.
func (s *Shell) post(ev fleet.Event) bool {
	select {
	case s.events <- ev:
		return true
	case <-s.stop:
		return false
	}
}

func (s *Shell) run() {
	defer s.wg.Done()
	for {
		select {
		case <-s.stop:
			return
		case ev := <-s.events:
			s.handle(ev)
		}
	}
}

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

// perform performs one effect. One that rests on a lease is given back when the clock
// says that it came too late, as after the process was frozen.
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
	case registry.Answer:
		s.deliverAnswer(e)
	case registry.LeasedAnswer:
		s.deliverAnswer(e.Answer)
	}
}

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

// writeFailed pauses and says whether the write is to be tried again.
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

func (s *Shell) newCall() (registry.CallID, chan registry.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	ch := make(chan registry.Answer, 1)
	s.pending[s.lastCall] = ch
	return s.lastCall, ch
}

func (s *Shell) dropCall(id registry.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

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
