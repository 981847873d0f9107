package placement

import (
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// admission limits customers to their fair shares while demand exceeds the capacity. It has
// a token bucket for each customer that is limited.
type admission struct {
	shares map[fleet.CustomerName]*share
	// light has the customers of fleet.LoadDigest.Light.
	light map[fleet.CustomerName]bool
}

// share is the limit of one customer.
type share struct {
	// admitted is the fraction of the customer's demand to admit, 0 to 1.
	admitted float64
	// credit is the number of tokens that the customer may still use.
	credit float64
}

// maxCreditTokens limits the credit that a customer accumulates to one large request.
const maxCreditTokens = 60_000

func newAdmission() admission { return admission{shares: map[fleet.CustomerName]*share{}} }

// setShares replaces the shares of the customers to limit. Credit carries over.
func (a *admission) setShares(shares []fleet.CustomerShare) {
	updated := map[fleet.CustomerName]*share{}
	for _, s := range shares {
		old := a.shares[s.Customer]
		if old == nil {
			old = &share{}
		}
		old.admitted = s.Admitted
		updated[s.Customer] = old
	}
	a.shares = updated
}

// tryAdmit adds the admitted fraction of a call's tokens to its customer's credit. If the
// credit then covers half of the tokens, it takes them all and returns true. It also returns
// true for a customer that is not limited.
func (a *admission) tryAdmit(c fleet.CustomerName, tokens float64) bool {
	s := a.shares[c]
	if s == nil {
		return true
	}
	s.credit = min(s.credit+s.admitted*tokens, maxCreditTokens)
	if s.credit < tokens/2 {
		return false
	}
	s.credit -= tokens
	return true
}

// refund returns the tokens that tryAdmit took for a call that was not sent.
func (a *admission) refund(c fleet.CustomerName, tokens float64) {
	if s := a.shares[c]; s != nil {
		s.credit = min(s.credit+tokens, maxCreditTokens)
	}
}

// isTooLate reports whether the first byte of a call's answer is expected so late that the
// call is refused at once.
func (r *Router) isTooLate(k *call, basis Basis) bool {
	if k.Prompt.Tokens == 0 || k.Route.Goal == 0 {
		return false
	}
	limit := seconds(k.Route.Goal.Seconds() * r.cfg.Policy.AdmitGoalShare)
	longPromptLimit := seconds(k.Route.Goal.Seconds() * r.cfg.Policy.LongPromptGoalShare)
	return basis.QueueDelay > limit || basis.ExpectedFirstByte > limit && basis.QueueDelay > longPromptLimit
}

// isLight reports whether a call's customer requests so little, or gets so much less than its share,
// that its calls are worth more of the targets' time than others. It is false while the digest is
// outdated.
func (r *Router) isLight(k *call) bool {
	return r.admission.light[k.Customer] && r.digestAge() < shareValidity
}

// lateRetryDelay returns the Retry-After of a call that would be late: the time after which
// it would probably be admitted.
func (r *Router) lateRetryDelay(k *call, basis Basis) time.Duration {
	excess := basis.ExpectedFirstByte - seconds(k.Route.Goal.Seconds()*r.cfg.Policy.AdmitGoalShare)
	return min(max(excess, minRetryDelay), maxRetryDelay)
}

const (
	// minRetryDelay and maxRetryDelay are the bounds of lateRetryDelay. Callers honour a
	// Retry-After of up to a third of the time that they have left.
	minRetryDelay, maxRetryDelay = 200 * time.Millisecond, 2 * time.Second
)

// admitCall checks a call against its customer's share. It returns true if the call is
// admitted, or else the refusal.
func (r *Router) admitCall(k *call) (Refuse, bool) {
	if k.Prompt.Tokens == 0 || r.digestAge() >= shareValidity {
		return Refuse{}, true
	}
	if r.admission.tryAdmit(k.Customer, float64(shareTokens(&k.Call))) {
		return Refuse{}, true
	}
	return Refuse{
		Call: k.ID, Reason: fleet.ReasonCustomerShare, RetryAfter: shareRetryDelay,
		Basis: Basis{DigestAge: r.digestAge()}, Share: r.admission.shares[k.Customer].admitted,
	}, false
}

// shareValidity is the age of the digest up to which the shares in it are enforced. It covers the
// loss of a leader and of a few digests: without shares, the largest customer takes most of the
// capacity within a second.
const shareValidity = 5 * time.Second

// shareRetryDelay is the Retry-After of a call that exceeds its customer's share.
const shareRetryDelay = time.Second
