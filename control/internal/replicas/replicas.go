// Package replicas carries messages between control replicas over fleet/rpc.
package replicas

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/quorum"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Method is the notification that carries one message between replicas.
const Method = "Quorum.Message"

// queueLength is how many messages wait for one replica; more are dropped, since the
// protocol sends again what is lost.
const queueLength = 256

var dropped = expvar.NewMap("ReplicaMessagesDropped")

// Config configures a Transport.
type Config struct {
	// Addresses lists the other replicas.
	Addresses map[fleet.HostID]netip.AddrPort
	Traffic   *rpc.Traffic
	Log       *slog.Logger
}

// Transport sends messages to the other replicas.
type Transport struct {
	links map[fleet.HostID]*link
	wg    sync.WaitGroup
	stop  chan struct{}
}

// link is the connection to one replica.
type link struct {
	client *rpc.Client
	queue  chan quorum.Message
}

// New makes a Transport; Start connects it.
func New(cfg Config) *Transport {
	t := &Transport{links: map[fleet.HostID]*link{}, stop: make(chan struct{})}
	for host, addr := range cfg.Addresses {
		t.links[host] = &link{
			client: rpc.NewClient(rpc.ClientConfig{Address: addr, Traffic: cfg.Traffic, Log: cfg.Log}),
			queue:  make(chan quorum.Message, queueLength),
		}
	}
	return t
}

// Start connects to all replicas.
func (t *Transport) Start() {
	for _, l := range t.links {
		l.client.Start()
		t.wg.Add(1)
		go t.forward(l)
	}
}

// Stop closes all connections.
func (t *Transport) Stop() {
	close(t.stop)
	for _, l := range t.links {
		l.client.Stop()
	}
	t.wg.Wait()
}

// Send queues a message; it may be lost.
func (t *Transport) Send(m quorum.Message) {
	l := t.links[m.To]
	if l == nil {
		dropped.Add("UnknownReplica", 1)
		return
	}
	select {
	case l.queue <- m:
	default:
		dropped.Add("QueueFull", 1)
	}
}

func (t *Transport) forward(l *link) {
	defer t.wg.Done()
	for {
		select {
		case <-t.stop:
			return
		case m := <-l.queue:
			l.send(&m)
		}
	}
}

func (l *link) send(m *quorum.Message) {
	data, err := quorum.EncodeMessage(m)
	if err != nil {
		dropped.Add("Encoding", 1)
		return
	}
	if err := l.client.Notify(context.Background(), Method, data); err != nil {
		dropped.Add("Disconnected", 1)
	}
}

// Decode parses the parameters of a notification.
func Decode(params json.RawMessage) (quorum.Message, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return quorum.Message{}, errors.Wrapf(err, "decode %s", Method)
	}
	return quorum.DecodeMessage(data)
}
