// Package control sends the operators' requests to the control replicas.
package control

import (
	"context"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// operatorHost is the host name in the command line's requests for the state.
const operatorHost fleet.HostID = "operator"

// Replica is one control replica, for requests that any replica can serve.
type Replica struct {
	Address netip.AddrPort
	Caller  fleet.Caller
}

// Client sends requests to control.
type Client struct {
	// Caller sends a call to the leader and retries it until the leader replies.
	Caller   fleet.Caller
	Replicas []Replica
}

// callLeader sends a call to the leader and decodes the reply. Its errors describe what the
// operator can check, unless the request was invalid.
func (c *Client) callLeader(ctx context.Context, method string, params, reply any) error {
	err := c.Caller.Call(ctx, method, params, reply)
	var e *rpc.Error
	if err == nil || errors.As(err, &e) && e.Code == fleet.CodeInvalid {
		return err
	}
	return errors.Wrapf(err, "control at %s gave no answer; see `fuchsiashed control status` and check --control", c.addresses())
}

func (c *Client) addresses() string {
	list := make([]string, len(c.Replicas))
	for i, r := range c.Replicas {
		list[i] = r.Address.String()
	}
	return strings.Join(list, ",")
}

// State returns the state that the quorum confirmed.
func (c *Client) State(ctx context.Context) (fleet.StateReply, error) {
	var reply fleet.StateReply
	err := c.callLeader(ctx, fleet.MethodState, fleet.StateRequest{Host: operatorHost, Role: fleet.RoleOperator}, &reply)
	return reply, err
}

// Text returns the fleet text of a version, or the newest one if the version is 0.
func (c *Client) Text(ctx context.Context, v fleet.Version) (fleet.TextReply, error) {
	var reply fleet.TextReply
	err := c.callLeader(ctx, fleet.MethodText, fleet.TextRequest{Version: v}, &reply)
	return reply, err
}

// Apply proposes a fleet text as the next version.
func (c *Client) Apply(ctx context.Context, r fleet.ApplyRequest) (fleet.ChangeReply, error) {
	var reply fleet.ChangeReply
	err := c.callLeader(ctx, fleet.MethodApply, r, &reply)
	return reply, c.wrapUnconfirmed(err, r.Operation)
}

// DataCentre proposes to take a data centre out of service or to bring it back.
func (c *Client) DataCentre(ctx context.Context, r fleet.DataCentreRequest) (fleet.ChangeReply, error) {
	var reply fleet.ChangeReply
	err := c.callLeader(ctx, fleet.MethodDataCentre, r, &reply)
	return reply, c.wrapUnconfirmed(err, r.Operation)
}

// Replace proposes to admit a replica that was restarted with an empty disk.
func (c *Client) Replace(ctx context.Context, r fleet.ReplaceRequest) (fleet.ReplaceReply, error) {
	var reply fleet.ReplaceReply
	err := c.callLeader(ctx, fleet.MethodReplace, r, &reply)
	return reply, c.wrapUnconfirmed(err, r.Operation)
}

// wrapUnconfirmed wraps the error of a change whose reply was lost, and adds how to repeat
// the change. It returns nil if err is nil.
func (c *Client) wrapUnconfirmed(err error, op fleet.OperationID) error {
	return errors.Wrapf(err, "the change may have been made; repeat the command with --operation %s to learn its result", op)
}

// History returns the newest changes, at most limit, or all that are stored if it is 0.
func (c *Client) History(ctx context.Context, limit int) (fleet.HistoryReply, error) {
	var reply fleet.HistoryReply
	err := c.callLeader(ctx, fleet.MethodHistory, fleet.HistoryRequest{Most: limit}, &reply)
	return reply, err
}

// ChangeError returns nil if a change was accepted, else an error with the reason and what
// the operator can do. retry is the command line that repeats the change.
func ChangeError(r fleet.ChangeReply, retry string) error {
	switch {
	case r.Accepted:
		return nil
	case r.Conflict != nil:
		return errors.Errorf("conflict: the change is based on version %d, but version %d is in force; look at it with `fuchsiashed fleet history`, then run `%s --base %d`",
			r.Conflict.Base, r.Conflict.Current, retry, r.Conflict.Current)
	}
	return errors.Errorf("the change was refused: %s; correct it and run the command again", r.Invalid)
}
