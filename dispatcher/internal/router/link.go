package router

import (
	"context"
	"sync"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
)

// linkQueueLength is the number of messages that can be queued for one router.
const linkQueueLength = 1024

// link sends messages over one connection, with its own queue and goroutine, so that a
// router that does not read delays no other.
type link struct {
	cfg   Config
	peer  fleet.Caller
	queue chan dispatch.SendGrants
	// quit ends the goroutine of run when it is closed.
	quit      chan struct{}
	closeOnce sync.Once
}

func newLink(cfg Config, peer fleet.Caller) *link {
	l := &link{cfg: cfg, peer: peer, queue: make(chan dispatch.SendGrants, linkQueueLength), quit: make(chan struct{})}
	go l.run()
	return l
}

func (l *link) close() { l.closeOnce.Do(func() { close(l.quit) }) }

// send queues a message. A router whose queue is full is reported as disconnected to the
// reducer, which then requests a full report.
func (l *link) send(e dispatch.SendGrants) {
	select {
	case l.queue <- e:
	default:
		l.cfg.Log.Warn(logevent.RouterNotReading, "router", string(e.To))
		go l.cfg.Loop.Post(dispatch.RouterDisconnected{Router: e.To})
	}
}

func (l *link) run() {
	for {
		select {
		case <-l.quit:
			return
		case e := <-l.queue:
			l.notify(e)
		}
	}
}

// notify sends one message, unless the lease that it depends on has expired.
func (l *link) notify(e dispatch.SendGrants) {
	if l.cfg.Clock.Now().After(e.NotAfter()) {
		l.cfg.Loop.Post(fleet.Expired{Effect: e})
		return
	}
	if err := l.peer.Notify(context.Background(), fleet.MethodGrants, &e.Message); err != nil {
		l.cfg.Log.Warn(logevent.GrantsNotSent, "router", string(e.To), "error", err)
		l.cfg.Loop.Post(dispatch.RouterDisconnected{Router: e.To})
	}
}
