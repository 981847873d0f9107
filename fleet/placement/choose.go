package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// drawOf returns the number that picks the service of a call. Requests with the same
// shared part go to the same service, where the part is kept.
func drawOf(c *Call) uint64 {
	if key, ok := keyOf(c); ok {
		return xxhash.Sum64(key.bytes())
	}
	return xxhash.Sum64String(string(c.Request))
}

// bytes returns the id in a form to be hashed.
func (p PartID) bytes() []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(p >> (8 * i))
	}
	return b
}

// keyOf returns the deepest part of a prompt that other requests share; ok is false
// when the call has no prompt.
func keyOf(c *Call) (key PartID, ok bool) {
	parts := c.Prompt.Parts
	switch {
	case !c.Route.Affinity || len(parts) == 0:
		return 0, false
	case len(parts) == 1:
		return parts[0].ID, true
	}
	return parts[len(parts)-2].ID, true
}

// sharedTokens returns the length of the parts before the last one.
func (p *Prompt) sharedTokens() int {
	n := 0
	for i := range len(p.Parts) - 1 {
		n += p.Parts[i].Tokens
	}
	return min(n, p.Tokens)
}

// weight is a target's place in the order of a part, by rendezvous hashing: the order
// of the others does not change when a target comes or goes.
func weight(key PartID, id fleet.TargetID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash never fails.
	_, _ = d.Write(key.bytes())
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// choose returns the best target for a call, or nil when none can take it.
func (r *Router) choose(k *call) (*target, Basis) {
	present := r.present(k)
	if key, ok := keyOf(&k.Call); ok {
		slices.SortFunc(present, func(a, b *target) int { return cmp.Compare(weight(key, b.id), weight(key, a.id)) })
		return r.chooseOwner(k, key, present)
	}
	usable := r.sound(present)
	if len(usable) == 0 {
		usable = r.withRoom(present)
	}
	if len(usable) == 0 {
		return nil, Basis{}
	}
	return r.chooseIdle(k, usable)
}

// present returns the targets that serve the service of a call and were not tried.
func (r *Router) present(k *call) []*target {
	var out []*target
	for _, t := range r.services[k.service] {
		if t.entry.State == fleet.TargetServing && !r.out[t.entry.DataCentre] && !k.isTried(t.id) {
			out = append(out, t)
		}
	}
	return out
}

// withRoom returns the targets that are warm or may have another request nevertheless.
func (r *Router) withRoom(targets []*target) []*target {
	var out []*target
	for _, t := range targets {
		if !r.isCold(t) || r.hasColdRoom(t) {
			out = append(out, t)
		}
	}
	return out
}

// sound returns those targets with room that neither are paused nor fail a lot.
func (r *Router) sound(targets []*target) []*target {
	var out []*target
	for _, t := range r.withRoom(targets) {
		if !r.now.Before(t.pausedUntil) && t.failures <= badFailureRate {
			out = append(out, t)
		}
	}
	return out
}

// chooseOwner places a call at one of the owners of the deepest shared part of its
// prompt: the first targets in the part's order. Only when none of them can take it
// does it go to another, which has to read the part.
func (r *Router) chooseOwner(k *call, key PartID, order []*target) (*target, Basis) {
	shared := k.Prompt.sharedTokens()
	own := max(k.Prompt.Tokens-shared, 0)
	rate := r.readRate(k.service) / r.pace(k.service)
	owners := r.owners(k, key, rate)
	usable := r.sound(order[:min(owners, len(order))])
	if len(usable) == 0 {
		usable = firstOf(r.sound(order), r.withRoom(order))
	}
	if len(usable) == 0 {
		return nil, Basis{}
	}
	best, bestCost := -1, 0.0
	for i, t := range usable {
		cost := r.wait(t, rate).Seconds() + float64(i)*float64(shared)/rate*r.cfg.Policy.OwnerBias
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	t := usable[best]
	k.read = own
	if !slices.Contains(order[:min(owners, len(order))], t) {
		k.read += shared
	}
	reason := r.reason(t, slices.Index(order, t), len(usable))
	reason.PrefillTokens = k.read
	reason.QueueDelay = r.wait(t, rate)
	reason.ExpectedFirstByte = reason.QueueDelay + seconds(float64(k.read)/rate*t.slowness)
	return t, reason
}

// firstOf returns the first target of the first list that has one.
func firstOf(lists ...[]*target) []*target {
	for _, list := range lists {
		if len(list) > 0 {
			return list[:1]
		}
	}
	return nil
}

// owners returns among how many targets the requests of a part are spread. The rate of
// a part is known of this router alone, and taken to be the same at all others. That
// is too much for a customer whose callers all use one router, so the owners are bounded.
func (r *Router) owners(k *call, key PartID, rate float64) int {
	perSecond := r.keys.add(r.now, key, float64(tokensOf(&k.Call))) * float64(max(1, len(r.routers)))
	wanted := 1 + int(perSecond/(rate*r.cfg.Policy.HotPartShare))
	most := max(minHotOwners, len(r.services[k.service])/hotOwnersPart)
	return max(r.cfg.Policy.Owners, min(wanted, most))
}

// chooseIdle places a call at the target with the least work for its slots, one of the
// own data centre first.
func (r *Router) chooseIdle(k *call, usable []*target) (*target, Basis) {
	best, bestCost := 0, 0.0
	for i, t := range usable {
		cost := (float64(t.running+t.others.Running) + 0.5) / float64(max(1, t.entry.Slots)) * t.slowness
		if t.entry.DataCentre != r.cfg.DataCentre {
			cost += 0.5 / float64(max(1, t.entry.Slots))
		}
		if oldest := t.oldest(r.now); oldest > slowPlain {
			cost += oldest.Seconds()
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	k.read = 0
	reason := r.reason(usable[best], best, len(usable))
	reason.ExpectedFirstByte = firstByteTime
	return usable[best], reason
}

func (r *Router) reason(t *target, rank, candidates int) Basis {
	return Basis{
		Rank: rank, Candidates: candidates, QueuedTokens: t.waiting(r.now) + t.others.Waiting,
		Running: t.running + t.others.Running, DigestAge: r.digestAge(),
	}
}

// wait returns the time that a request without a prompt would wait for its first byte at
// a target that reads rate tokens a second.
func (r *Router) wait(t *target, rate float64) time.Duration {
	d := firstByteTime + seconds(float64(t.waiting(r.now)+t.others.Waiting)/rate*t.slowness)
	if oldest := t.oldest(r.now); oldest > hungAfter {
		d = max(d, oldest)
	}
	return d
}

// readRate returns the prompt tokens that a target of a service reads in a second.
func (r *Router) readRate(service fleet.ServiceName) float64 {
	n := 0
	for _, t := range r.services[service] {
		if t.entry.State == fleet.TargetServing {
			n++
		}
	}
	if r.config.TokensPerSecond == 0 || n == 0 {
		return defaultReadRate
	}
	return r.config.TokensPerSecond / float64(n)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// expectedOutput returns the tokens that are likely to be generated.
func (p *Prompt) expectedOutput() int {
	if p.Hint > 0 {
		return p.Hint
	}
	return p.MaxOutput
}
