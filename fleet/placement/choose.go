package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// serviceHash returns the hash by which a route's split picks the service of a call. Requests
// with the same shared part go to the same service, whose targets have the part cached.
func serviceHash(c *Call) uint64 {
	if key, ok := affinityKey(c); ok {
		return xxhash.Sum64(partBytes(key))
	}
	return xxhash.Sum64String(string(c.Request))
}

// ServiceOf returns the service to which a call is sent, by the weights of its route.
func ServiceOf(c *Call) fleet.ServiceName { return c.Route.PickService(serviceHash(c)) }

// partBytes returns an ID in little-endian order, for hashing.
func partBytes(p PartID) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(p >> (8 * i))
	}
	return b
}

// affinityKey returns the last part of a call's prompt that other requests share, or the only
// part. ok is false if the call has no prompt or its route no affinity.
func affinityKey(c *Call) (key PartID, ok bool) {
	parts := c.Prompt.Parts
	switch {
	case !c.Route.Affinity || len(parts) == 0:
		return 0, false
	case len(parts) == 1:
		return parts[0].ID, true
	}
	return parts[len(parts)-2].ID, true
}

// sharedTokens returns the total length of the parts before the last one.
func (p *Prompt) sharedTokens() int {
	n := 0
	for i := range len(p.Parts) - 1 {
		n += p.Parts[i].Tokens
	}
	return min(n, p.Tokens)
}

// rendezvousWeight returns the weight by which targets are ordered for a part (rendezvous
// hashing, highest weight first). Adding or removing a target does not change the order of
// the others.
func rendezvousWeight(key PartID, id fleet.TargetID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash never fail.
	_, _ = d.Write(partBytes(key))
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// rendezvousOrder returns the targets ordered for a part, highest weight first.
func rendezvousOrder(key PartID, targets []*target) []*target {
	type weighted struct {
		weight uint64
		target *target
	}
	order := make([]weighted, len(targets))
	for i, t := range targets {
		order[i] = weighted{rendezvousWeight(key, t.id), t}
	}
	slices.SortFunc(order, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*target, len(order))
	for i := range order {
		out[i] = order[i].target
	}
	return out
}

// choose returns the best target for a call, or nil if none is available.
func (r *Router) choose(k *call) (*target, Basis) {
	present := r.eligible(k)
	k.source = nil
	if key, ok := affinityKey(&k.Call); ok {
		return r.chooseOwner(k, key, rendezvousOrder(key, present))
	}
	usable := r.healthy(present)
	if len(usable) == 0 {
		usable = r.available(present)
	}
	if len(usable) == 0 {
		return nil, Basis{}
	}
	return r.chooseLeastLoaded(k, pickTwo(k, usable))
}

// eligible returns the serving targets of a call's service that fit the call, are not in a data
// centre that is out and were not tried for this call. Of two sides of a roll-out, it returns one.
func (r *Router) eligible(k *call) []*target {
	untried := slices.DeleteFunc(r.suitable(k), func(t *target) bool { return k.isTried(t.id) })
	return r.onPreferredSide(k, untried)
}

// suitable returns the targets that are eligible for a call or were tried for it.
func (r *Router) suitable(k *call) []*target {
	var out []*target
	for _, t := range r.services[k.service] {
		if t.isServing() && !r.dataCentresOut[t.entry.DataCentre] && k.fits(t) {
			out = append(out, t)
		}
	}
	return r.onPermittedSides(k, out)
}

// isAvailable reports whether a target is warm, or cold with some quota left, has no limit, or some
// quota of it left, and does not decline requests for a time.
func (r *Router) isAvailable(t *target) bool {
	return (!r.isCold(t) || r.hasColdQuota(t)) && r.hasLimitQuota(t) && t.returns.accepts(r.now)
}

// available returns the available ones of the targets.
func (r *Router) available(targets []*target) []*target { return filter(targets, r.isAvailable) }

// isHealthy reports whether a target is available and not paused, and its failure rate is
// acceptable.
func (r *Router) isHealthy(t *target) bool {
	return r.isAvailable(t) && !r.now.Before(t.pausedUntil) && t.failureRate <= maxFailureRate
}

// healthy returns the healthy ones of the targets.
func (r *Router) healthy(targets []*target) []*target { return filter(targets, r.isHealthy) }

// filter returns the targets for which a condition holds.
func filter(targets []*target, holds func(*target) bool) []*target {
	var out []*target
	for _, t := range targets {
		if holds(t) {
			out = append(out, t)
		}
	}
	return out
}

// chooseOwner picks one of the owners of a call's shared part, which are the first targets in
// the part's rendezvous order, by queue delay and rank. Only if no owner is healthy does it
// pick another target, which has to process the shared part too.
func (r *Router) chooseOwner(k *call, key PartID, order []*target) (*target, Basis) {
	sharedTokens := k.Prompt.sharedTokens()
	ownTokens := max(k.Prompt.Tokens-sharedTokens, 0)
	rate := r.prefillRate(k.service) / r.slownessOf(k.service)
	owners := r.ownerCount(k, key, rate)
	usable := r.healthy(order[:min(owners, len(order))])
	if len(usable) == 0 {
		usable = firstOf(r.healthy(order), r.available(order))
	}
	if len(usable) == 0 {
		return nil, Basis{}
	}
	bias := float64(sharedTokens) / rate * r.cfg.Policy.OwnerBias
	if owners > r.cfg.Policy.Owners {
		usable, bias = pickTwo(k, usable), 0
	}
	best, bestCost := -1, 0.0
	for i, t := range usable {
		cost := r.queueDelay(t, rate).Seconds() + float64(i)*bias + r.paceCost(t, float64(ownTokens)/rate)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	t := usable[best]
	k.prefillTokens = ownTokens
	if !slices.Contains(order[:min(owners, len(order))], t) {
		k.prefillTokens += sharedTokens
	}
	basis := r.basis(t, slices.Index(order, t), len(usable))
	basis.PrefillTokens = k.prefillTokens
	basis.QueueDelay = r.queueDelay(t, rate)
	basis.Slowness = t.slownessAt(r.now) * r.slownessOf(k.service)
	basis.ExpectedFirstByte = basis.QueueDelay + seconds(float64(k.prefillTokens)/rate*t.slownessAt(r.now))
	transfer := r.newTransfer(k, key, order, owners, rate)
	r.nameSource(k, &transfer, t, &basis)
	return t, basis
}

// chooseForLight picks a target for a call of a light customer whose owners would answer late: the
// one with the shortest queue, which has to process the shared part too, or else the given one.
// Such calls are few, or their customer's share bounds them, so that they neither fill the other
// targets' caches nor the owners' queues; a late answer is worth more to their callers than a refusal.
func (r *Router) chooseForLight(k *call, owner *target, ownerBasis Basis) (*target, Basis) {
	rate := r.prefillRate(k.service) / r.slownessOf(k.service)
	candidates := r.healthy(r.eligible(k))
	best, basis := owner, ownerBasis
	for i, t := range candidates {
		if d := r.queueDelay(t, rate); d < basis.QueueDelay {
			best = t
			basis = r.basis(t, i, len(candidates))
			basis.QueueDelay, basis.PrefillTokens = d, k.Prompt.Tokens
			basis.Slowness = t.slownessAt(r.now) * r.slownessOf(k.service)
			basis.ExpectedFirstByte = d + seconds(float64(k.Prompt.Tokens)/rate*t.slownessAt(r.now))
		}
	}
	if basis.ExpectedFirstByte >= ownerBasis.ExpectedFirstByte {
		return owner, ownerBasis
	}
	k.prefillTokens = basis.PrefillTokens
	r.nameSourceForLight(k, best, rate, &basis)
	return best, basis
}

// firstOf returns the first target of the first list that is not empty, as a list of one.
func firstOf(lists ...[]*target) []*target {
	for _, list := range lists {
		if len(list) > 0 {
			return list[:1]
		}
	}
	return nil
}

// ownerCount returns the number of targets over which the requests for a part are spread.
func (r *Router) ownerCount(k *call, key PartID, rate float64) int {
	load, targets := r.partLoad(k, key)
	wanted := 1 + int(load/(rate*r.cfg.Policy.HotPartShare))
	limit := targets / hotOwnersDivisor
	return max(r.cfg.Policy.Owners, min(wanted, limit))
}

// pickTwo returns two of the targets, chosen by a hash of the call. Of many targets all routers
// would take the one whose reported load is least, until the next report.
func pickTwo(k *call, targets []*target) []*target {
	if len(targets) <= 2 {
		return targets
	}
	h := hashOf(string(k.Request))
	n := uint64(len(targets))
	first := h % n
	second := (first + 1 + h/n%(n-1)) % n
	return []*target{targets[first], targets[second]}
}

// chooseLeastLoaded picks the target with the least work for its slots. Targets in this
// router's data centre count as less loaded, by half a request.
func (r *Router) chooseLeastLoaded(k *call, usable []*target) (*target, Basis) {
	best, bestCost := 0, 0.0
	useReports := r.reportAge() < plainLoadValidity
	for i, t := range usable {
		running := t.running
		if useReports {
			running += t.othersLoad.Running
		}
		cost := (float64(running) + 0.5) / float64(max(1, t.entry.Slots)) * t.slownessAt(r.now)
		if t.entry.DataCentre != r.cfg.DataCentre {
			cost += 0.5 / float64(max(1, t.entry.Slots))
		}
		if longest := t.longestWait(r.now); longest > slowPlainAfter {
			cost += longest.Seconds()
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	k.prefillTokens = 0
	basis := r.basis(usable[best], best, len(usable))
	basis.ExpectedFirstByte = baseFirstByteTime
	return usable[best], basis
}

func (r *Router) basis(t *target, rank, candidates int) Basis {
	b := Basis{
		Rank: rank, Candidates: candidates, QueuedTokens: t.queuedTokens(r.now) + t.othersLoad.Waiting,
		Running: t.running + t.othersLoad.Running, DigestAge: r.digestAge(), TargetsAge: r.now.Sub(r.noticeAt),
		Limit: t.limit.rate(r.now), LimitQuota: r.limitQuotaLeft(t),
	}
	r.addPace(t, &b)
	return b
}

// queueDelay returns the expected time to the first byte of a request without a prompt, at a
// target that processes rate prompt tokens a second. If a call has waited there for longer than
// hungAfter, the time is at least as long as that wait.
func (r *Router) queueDelay(t *target, rate float64) time.Duration {
	d := baseFirstByteTime + seconds(float64(t.queuedTokens(r.now)+t.othersLoad.Waiting)/rate*t.slownessAt(r.now))
	if longest := t.longestWait(r.now); longest > hungAfter {
		d = max(d, longest)
	}
	return d
}

// prefillRate returns the rated number of prompt tokens that one target of a service
// processes in a second: the capacity divided among the serving targets, see ratedTargets.
func (r *Router) prefillRate(service fleet.ServiceName) float64 {
	n := r.ratedTargets(service)
	if r.config.TokensPerSecond == 0 || n == 0 {
		return defaultPrefillRate
	}
	return r.config.TokensPerSecond / float64(n)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// expectedOutput returns the number of tokens that will probably be generated.
func (p *Prompt) expectedOutput() int {
	if p.Hint > 0 {
		return p.Hint
	}
	return p.MaxOutput
}
