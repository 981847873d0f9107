package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// admission keeps customers to their fair shares while more is asked than there is.
type admission struct {
	shares map[fleet.CustomerName]*share
}

// share is the part of a customer's demand that is admitted.
type share struct {
	admitted float64
	// credit is what the customer may still use, in tokens.
	credit float64
}

// maxCredit bounds what a customer saves up, in the tokens of one large request.
const maxCredit = 60_000

func newAdmission() admission { return admission{shares: map[fleet.CustomerName]*share{}} }

// setShares takes the shares of the customers that ask for more than theirs.
func (a *admission) setShares(shares []fleet.CustomerShare) {
	now := map[fleet.CustomerName]*share{}
	for _, s := range shares {
		old := a.shares[s.Customer]
		if old == nil {
			old = &share{}
		}
		old.admitted = s.Admitted
		now[s.Customer] = old
	}
	a.shares = now
}

// admits takes the tokens of a call from its customer's credit and says whether they
// were there.
func (a *admission) admits(c fleet.CustomerName, tokens float64) bool {
	s := a.shares[c]
	if s == nil {
		return true
	}
	s.credit = min(s.credit+s.admitted*tokens, maxCredit)
	if s.credit < tokens/2 {
		return false
	}
	s.credit -= tokens
	return true
}

// refund gives back what admits took for a call that was not placed after all.
func (a *admission) refund(c fleet.CustomerName, tokens float64) {
	if s := a.shares[c]; s != nil {
		s.credit = min(s.credit+tokens, maxCredit)
	}
}

// isTooLate says whether a call would wait so long for its first byte that it is better
// refused now.
func (r *Router) isTooLate(k *call, reason Basis) bool {
	if k.Prompt.Tokens == 0 || k.Route.Goal == 0 {
		return false
	}
	limit := seconds(k.Route.Goal.Seconds() * r.cfg.Policy.AdmitGoalShare)
	wait := seconds(k.Route.Goal.Seconds() * r.cfg.Policy.LongPromptGoalShare)
	return reason.QueueDelay > limit || reason.ExpectedFirstByte > limit && reason.QueueDelay > wait
}

// returnTime returns when a place is likely to be free for a call that would be late.
func (r *Router) returnTime(k *call, reason Basis) time.Duration {
	excess := reason.ExpectedFirstByte - seconds(k.Route.Goal.Seconds()*r.cfg.Policy.AdmitGoalShare)
	return min(max(excess, minReturn), maxReturn)
}

const (
	// minReturn and maxReturn bound when a caller may come back. Callers honour up to a
	// third of the time that they have left.
	minReturn, maxReturn = 200 * time.Millisecond, 2 * time.Second
)

// admitCall says whether a call is to be placed now; otherwise it returns the refusal.
func (r *Router) admitCall(k *call) (Refuse, bool) {
	if k.Prompt.Tokens == 0 || r.digestAge() >= digestValidity {
		return Refuse{}, true
	}
	if r.admit.admits(k.Customer, float64(shareTokens(&k.Call))) {
		return Refuse{}, true
	}
	return Refuse{
		Call: k.ID, Reason: fleet.ReasonCustomerShare, RetryAfter: shareRetry,
		Basis: Basis{DigestAge: r.digestAge()}, Share: r.admit.shares[k.Customer].admitted,
	}, false
}

// shareRetry is when a customer may come back that asked for more than its share.
const shareRetry = time.Second
