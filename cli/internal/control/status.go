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
	// statusTimeout bounds the request to one replica, including the time to connect.
	statusTimeout = 3 * time.Second
	// connectRetryInterval is the delay before another attempt while there is no connection.
	connectRetryInterval = 20 * time.Millisecond
)

// ReplicaStatus is the status of one replica, or the error of the status request.
type ReplicaStatus struct {
	Address netip.AddrPort
	// Status is nil if the replica did not reply.
	Status *fleet.StatusReply `json:",omitempty"`
	Error  string             `json:",omitempty"`
}

// Status requests the status of each replica concurrently and returns them in the order of
// c.Replicas. It needs no quorum.
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

// status requests the status of the replica, and retries while it is not connected.
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
