package control

import (
	"context"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// StartRollout orders a roll-out. An order whose reply was lost can be repeated.
func (c *Client) StartRollout(ctx context.Context, r fleet.StartRolloutRequest) (fleet.StartRolloutReply, error) {
	var reply fleet.StartRolloutReply
	err := c.callLeader(ctx, fleet.MethodStartRollout, &r, &reply)
	return reply, err
}

// Rollouts returns the newest roll-out of each service.
func (c *Client) Rollouts(ctx context.Context) (fleet.ReadRolloutsReply, error) {
	var reply fleet.ReadRolloutsReply
	err := c.callLeader(ctx, fleet.MethodReadRollouts, &fleet.ReadRolloutsRequest{}, &reply)
	return reply, err
}
