package placement

import (
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
func (r *Router) choose(k *call) (*target, Reason) {
	usable := r.usable(k, false)
	if len(usable) == 0 {
		usable = r.usable(k, true)
	}
	if len(usable) == 0 {
		return nil, Reason{}
	}
	if key, ok := keyOf(&k.Call); ok {
		return r.chooseOwner(k, key, usable)
	}
	return r.chooseIdle(k, usable)
}

// usable returns the targets that may take a call; desperate includes those that are
// paused or fail a lot.
func (r *Router) usable(k *call, desperate bool) []*target {
	var out []*target
	for _, t := range r.services[k.service] {
		if t.entry.State != fleet.TargetServing || r.out[t.entry.DataCentre] || k.isTried(t.id) {
			continue
		}
		if r.isCold(t) && !r.hasColdRoom(t) {
			continue
		}
		if !desperate && (r.now.Before(t.pausedUntil) || t.failures > badFailureRate) {
			continue
		}
		out = append(out, t)
	}
	return out
}

// chooseOwner places a call by the deepest shared part of its prompt.
func (r *Router) chooseOwner(k *call, key PartID, usable []*target) (*target, Reason) {
	slices.SortFunc(usable, func(a, b *target) int {
		if weight(key, a.id) > weight(key, b.id) {
			return -1
		}
		return 1
	})
	shared := k.Prompt.sharedTokens()
	own := max(k.Prompt.Tokens-shared, 0)
	rate := r.readRate(k.service) / r.pace(k.service)
	owners := r.owners(k, key, rate)
	best, bestCost := -1, 0.0
	for i, t := range usable[:min(owners, len(usable))] {
		cost := r.wait(t, rate).Seconds() + float64(i)*float64(shared)/rate*r.cfg.Policy.OwnerBias
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	t := usable[best]
	k.read = own
	reason := r.reason(t, best, len(usable))
	reason.Read = k.read
	reason.Wait = r.wait(t, rate)
	reason.Expected = reason.Wait + seconds(float64(k.read)/rate*t.slowness)
	return t, reason
}

// owners returns among how many targets the requests of a part are spread.
func (r *Router) owners(k *call, key PartID, rate float64) int {
	own := max(k.Prompt.Tokens-k.Prompt.sharedTokens(), 0) + 2*k.Prompt.expectedOutput()
	perSecond := r.keys.add(r.now, key, float64(own)) * float64(max(1, len(r.routers)))
	return max(r.cfg.Policy.Owners, 1+int(perSecond/(rate*r.cfg.Policy.HotShare)))
}

// chooseIdle places a call at the target with the least work for its slots, one of the
// own data centre first.
func (r *Router) chooseIdle(k *call, usable []*target) (*target, Reason) {
	best, bestCost := 0, 0.0
	for i, t := range usable {
		cost := (float64(t.running+t.others.Running) + 0.5) / float64(max(1, t.entry.Slots)) * t.slowness
		if t.entry.DataCentre != r.cfg.DataCentre {
			cost += 0.5 / float64(max(1, t.entry.Slots))
		}
		if oldest := t.oldest(r.now); oldest > time.Second {
			cost += oldest.Seconds()
		}
		if i == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	k.read = 0
	reason := r.reason(usable[best], best, len(usable))
	reason.Expected = firstByteTime
	return usable[best], reason
}

func (r *Router) reason(t *target, rank, candidates int) Reason {
	return Reason{
		Rank: rank, Candidates: candidates, Waiting: t.waiting(r.now) + t.others.Waiting,
		Running: t.running + t.others.Running, DigestAge: r.digestAge(),
	}
}

// wait returns the time that a request without a prompt would wait for its first byte.
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
		return min(p.Hint, max(p.MaxOutput, p.Hint))
	}
	return p.MaxOutput
}
