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
	Clients *rpc.ClientSet
	// Resolve returns the address of a replica.
	Resolve func(fleet.HostID) (netip.AddrPort, bool)
}

// Transport sends messages to the other replicas.
type Transport struct {
	cfg Config
	// own lists the replicas to connect to, when the mesh belongs to the transport.
	fixedAddresses []netip.AddrPort
	stop           chan struct{}
	wg             sync.WaitGroup

	mu     sync.Mutex
	queues map[fleet.HostID]*sendQueue
}

// link is the queue of messages to one replica.
type sendQueue struct {
	address  netip.AddrPort
	messages chan quorum.Message
}

// New makes a Transport.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, queues: map[fleet.HostID]*sendQueue{}, stop: make(chan struct{})}
}

// NewFixed makes a Transport among replicas that never change, with connections of its
// own. Start connects it.
func NewFixed(addresses map[fleet.HostID]netip.AddrPort, traffic *rpc.Traffic) *Transport {
	t := New(Config{
		Clients: rpc.NewClientSet(rpc.ClientSetConfig{Traffic: traffic}),
		Resolve: func(h fleet.HostID) (netip.AddrPort, bool) {
			addr, ok := addresses[h]
			return addr, ok
		},
	})
	t.fixedAddresses = slices.Collect(maps.Values(addresses))
	return t
}

// Start connects a Transport made by NewFixed.
func (t *Transport) Start() { t.cfg.Clients.SetAddresses(t.fixedAddresses) }

// Stop ends the sending.
func (t *Transport) Stop() {
	close(t.stop)
	if t.fixedAddresses != nil {
		t.cfg.Clients.Stop()
	}
	t.wg.Wait()
}

// Send queues a message; it may be lost.
func (t *Transport) Send(m quorum.Message) {
	l := t.queueTo(m.To)
	if l == nil {
		dropped.Add("UnknownReplica", 1)
		return
	}
	select {
	case l.messages <- m:
	default:
		dropped.Add("QueueFull", 1)
	}
}

// link returns the queue to a replica, or nil when its address is not known.
func (t *Transport) queueTo(host fleet.HostID) *sendQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.queues[host]; l != nil {
		return l
	}
	addr, ok := t.cfg.Resolve(host)
	if !ok {
		return nil
	}
	l := &sendQueue{address: addr, messages: make(chan quorum.Message, queueLength)}
	t.queues[host] = l
	t.wg.Go(func() { t.runQueue(l) })
	return l
}

func (t *Transport) runQueue(l *sendQueue) {
	for {
		select {
		case <-t.stop:
			return
		case m := <-l.messages:
			t.transmit(l, &m)
		}
	}
}

func (t *Transport) transmit(l *sendQueue, m *quorum.Message) {
	client := t.cfg.Clients.Client(l.address)
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
