package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

const (
	// statusTimeout bounds the question to one replica, including connecting.
	statusTimeout = 3 * time.Second
	// connectRetryInterval is the time between two attempts while a connection is made.
	connectRetryInterval = 20 * time.Millisecond
)

// ReplicaStatus is the answer of one replica, or why it gave none.
type ReplicaStatus struct {
	Address netip.AddrPort
	Status  *fleet.StatusReply `json:",omitempty"`
	Error   string             `json:",omitempty"`
}

// Status asks each replica about itself, all at the same time.
func (c *Client) Status(ctx context.Context) []ReplicaStatus {
	list := make([]ReplicaStatus, len(c.Replicas))
	var wg sync.WaitGroup
	for i, r := range c.Replicas {
		wg.Add(1)
		go func() {
			defer wg.Done()
			list[i] = r.status(ctx)
		}()
	}
	wg.Wait()
	return list
}

func (r Replica) status(ctx context.Context) ReplicaStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := ReplicaStatus{Address: r.Address}
	for {
		var reply fleet.StatusReply
		err := r.Caller.Call(ctx, fleet.MethodStatus, fleet.StatusRequest{}, &reply)
		if err == nil {
			s.Status = &reply
			return s
		}
		if !errors.Is(err, rpc.ErrDisconnected) {
			s.Error = err.Error()
			return s
		}
		select {
		case <-ctx.Done():
			s.Error = err.Error()
			return s
		case <-time.After(connectRetryInterval):
		}
	}
}
