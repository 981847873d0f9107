// Package replicas carries messages between control replicas over fleet/rpc.
package replicas

import (
	"context"
	"encoding/json"
	"expvar"
	"maps"
	"net/netip"
	"slices"
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
	// Mesh has the connections to the other replicas; its owner starts and stops it.
	Mesh *rpc.ClientSet
	// Resolve returns the address of a replica.
	Resolve func(fleet.HostID) (netip.AddrPort, bool)
}

// Transport sends messages to the other replicas.
type Transport struct {
	cfg Config
	// own lists the replicas to connect to, when the mesh belongs to the transport.
	own  []netip.AddrPort
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	links map[fleet.HostID]*link
}

// link is the queue of messages to one replica.
type link struct {
	address netip.AddrPort
	queue   chan quorum.Message
}

// New makes a Transport.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, links: map[fleet.HostID]*link{}, stop: make(chan struct{})}
}

// NewFixed makes a Transport among replicas that never change, with connections of its
// own. Start connects it.
func NewFixed(addresses map[fleet.HostID]netip.AddrPort, traffic *rpc.Traffic) *Transport {
	t := New(Config{
		Mesh: rpc.NewClientSet(rpc.ClientSetConfig{Traffic: traffic}),
		Resolve: func(h fleet.HostID) (netip.AddrPort, bool) {
			addr, ok := addresses[h]
			return addr, ok
		},
	})
	t.own = slices.Collect(maps.Values(addresses))
	return t
}

// Start connects a Transport made by NewFixed.
func (t *Transport) Start() { t.cfg.Mesh.SetAddresses(t.own) }

// Stop ends the sending.
func (t *Transport) Stop() {
	close(t.stop)
	if t.own != nil {
		t.cfg.Mesh.Stop()
	}
	t.wg.Wait()
}

// Send queues a message; it may be lost.
func (t *Transport) Send(m quorum.Message) {
	l := t.link(m.To)
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

// link returns the queue to a replica, or nil when its address is not known.
func (t *Transport) link(host fleet.HostID) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[host]; l != nil {
		return l
	}
	addr, ok := t.cfg.Resolve(host)
	if !ok {
		return nil
	}
	l := &link{address: addr, queue: make(chan quorum.Message, queueLength)}
	t.links[host] = l
	t.wg.Go(func() { t.forward(l) })
	return l
}

func (t *Transport) forward(l *link) {
	for {
		select {
		case <-t.stop:
			return
		case m := <-l.queue:
			t.transmit(l, &m)
		}
	}
}

func (t *Transport) transmit(l *link, m *quorum.Message) {
	client := t.cfg.Mesh.Client(l.address)
	if client == nil {
		dropped.Add("Disconnected", 1)
		return
	}
	data, err := quorum.EncodeMessage(m)
	if err != nil {
		dropped.Add("Encoding", 1)
		return
	}
	if err := client.Notify(context.Background(), Method, data); err != nil {
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
