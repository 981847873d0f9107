// Package replicas sends messages between control replicas over fleet/rpc.
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

// Method is the RPC notification that carries one message between replicas.
const Method = "Quorum.Message"

// queueLength is the number of messages that can be queued for one replica. Further messages
// are dropped; the protocol retransmits lost messages.
const queueLength = 256

var dropped = expvar.NewMap("ReplicaMessagesDropped")

// Config configures a Transport.
type Config struct {
	// Clients has the connections to the other replicas. Its owner sets the addresses and
	// stops it.
	Clients *rpc.ClientSet
	// Resolve returns the address of a replica, or false if the address is unknown.
	Resolve func(fleet.HostID) (netip.AddrPort, bool)
}

// Transport sends messages to the other replicas, in order for each. It implements
// shell.Sender.
type Transport struct {
	cfg Config
	// fixedAddresses are the replicas of NewFixed, whose connections the Transport owns.
	fixedAddresses []netip.AddrPort
	stop           chan struct{}
	wg             sync.WaitGroup

	mu     sync.Mutex
	queues map[fleet.HostID]*sendQueue
}

// sendQueue holds the messages to one replica.
type sendQueue struct {
	address  netip.AddrPort
	messages chan quorum.Message
}

// New returns a Transport that uses the connections of cfg.Clients. It needs no Start.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg, queues: map[fleet.HostID]*sendQueue{}, stop: make(chan struct{})}
}

// NewFixed returns a Transport for a fixed set of replicas, with connections of its own,
// which Start opens.
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

// Stop stops sending and closes the connections that the Transport owns.
func (t *Transport) Stop() {
	close(t.stop)
	if t.fixedAddresses != nil {
		t.cfg.Clients.Stop()
	}
	t.wg.Wait()
}

// Send implements shell.Sender.
func (t *Transport) Send(m quorum.Message) {
	q := t.queueTo(m.To)
	if q == nil {
		dropped.Add("UnknownReplica", 1)
		return
	}
	select {
	case q.messages <- m:
	default:
		dropped.Add("QueueFull", 1)
	}
}

// queueTo returns the queue to a replica, or nil if the replica's address is unknown.
func (t *Transport) queueTo(host fleet.HostID) *sendQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.queues[host]; q != nil {
		return q
	}
	addr, ok := t.cfg.Resolve(host)
	if !ok {
		return nil
	}
	q := &sendQueue{address: addr, messages: make(chan quorum.Message, queueLength)}
	t.queues[host] = q
	t.wg.Go(func() { t.runQueue(q) })
	return q
}

func (t *Transport) runQueue(q *sendQueue) {
	for {
		select {
		case <-t.stop:
			return
		case m := <-q.messages:
			t.transmit(q, &m)
		}
	}
}

// transmit sends one message, or drops it if that is impossible.
func (t *Transport) transmit(q *sendQueue, m *quorum.Message) {
	client := t.cfg.Clients.Client(q.address)
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

// Decode decodes the parameters of a Method notification.
func Decode(params json.RawMessage) (quorum.Message, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		return quorum.Message{}, errors.Wrapf(err, "decode %s", Method)
	}
	return quorum.DecodeMessage(data)
}
