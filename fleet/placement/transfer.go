package placement

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

const (
	// transferSetup is the time to begin a transfer, which no configuration states: 2.5 and 5 ms
	// at the deployments known.
	transferSetup = 5 * time.Millisecond
	// minTransferGain is how many times as long as a transfer the prefill of a part must take for
	// the part to be transferred. The margin is for a link that is in use.
	minTransferGain = 2
	// leavingSourceFor is the time from the notice that a target leaves in which it is expected to
	// serve transfers: it finishes its streams, which take one to three seconds.
	leavingSourceFor = 2 * time.Second
	// refillTime is the time after its slow start in which a target probably lacks most of the
	// parts that it owns.
	refillTime = 10 * time.Second
	// keptShare is the fraction of the time to fill an engine's cache with prompts, at its rated
	// speed, in which a part that was used surely stays in the cache. Running requests take up to
	// half of the cache.
	keptShare = 0.5
)

// NoSource is the reason why a request to an engine names no target to fetch its shared part from.
type NoSource string

// The reasons for naming no source.
const (
	// PartTooShort means that the prompt has no shared part, or that a transfer would not be much
	// faster than its prefill.
	PartTooShort NoSource = "TooShort"
	// PartKept means that the target answered a request with the part so lately that it still
	// keeps the part.
	PartKept NoSource = "Kept"
	// HoldersUnfit means that no other target that probably keeps the part can serve a transfer.
	HoldersUnfit NoSource = "Unfit"
	// NoHolder means that no other target probably keeps the part.
	NoHolder NoSource = "NoHolder"
)

// transferState is what a router knows of a target as a source of cached parts.
type transferState struct {
	// usedAt has the parts of this router's requests that the target has begun to answer.
	usedAt map[PartID]time.Time
	// warmAt is the end of the slow start that this incarnation announced; zero if it announced
	// none.
	warmAt time.Time
	// leavingSince is when this router learnt that the target leaves; zero if it does not.
	leavingSince time.Time
	// awaited has the calls that name the target as their source and have no answer yet.
	awaited map[CallID]*call
	// backedOffUntil is when the target may be named again, backOffs the number of late or broken
	// answers since the last one in time.
	backedOffUntil time.Time
	backOffs       int
}

// noteState records since when a target leaves, and until when it starts slowly, by its newest
// announcement and responses.
func (t *target) noteState(now time.Time) {
	if t.entry.ColdFor > 0 {
		t.transfers.warmAt = t.entry.ColdUntil
	}
	switch {
	case t.isServing():
		t.transfers.leavingSince = time.Time{}
	case t.transfers.leavingSince.IsZero():
		t.transfers.leavingSince = now
	}
}

// transferEngine returns the engine of a service whose targets fetch cached parts from each
// other, or nil if they don't or the router has no configuration.
func (r *Router) transferEngine(service fleet.ServiceName) *deployment.Engine {
	if r.config == nil {
		return nil
	}
	if s := r.config.Service(service); r.cfg.Policy.CopyParts && s != nil && s.Engine.CopiesParts() {
		return s.Engine
	}
	return nil
}

// transferTime returns the time that a transfer of cached tokens takes.
func transferTime(e *deployment.Engine, tokens int) time.Duration {
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return transferSetup + seconds(float64(tokens)*e.CacheBytesPerToken*bitsPerByte/(e.LinkMbps*bitsPerMbit))
}

// keptFor returns the time from its last use in which an engine surely keeps a part.
func keptFor(e *deployment.Engine, rate float64) time.Duration {
	return seconds(float64(e.CacheTokens) / rate * keptShare)
}

// partTransfer is the transfer of a request's shared part to the target that is chosen for it.
type partTransfer struct {
	// engine is nil if the targets of the service do not fetch parts from each other.
	engine *deployment.Engine
	key    PartID
	tokens int
	// time is the expected time of the transfer, keptFor that in which a target surely keeps a
	// part.
	time, keptFor time.Duration
	// worthwhile is true if the transfer is much faster than the prefill.
	worthwhile bool
	// holders are the targets that probably keep the part, the most probable ones first.
	holders []*target
	// spread is true if all holders are equally probable.
	spread bool
}

// newTransfer returns the transfer of a call's shared part, given its rendezvous order of targets,
// the number of its owners, and the rate at which a target processes prompt tokens.
func (r *Router) newTransfer(k *call, key PartID, order []*target, owners int, rate float64) partTransfer {
	p := partTransfer{engine: r.transferEngine(k.service), key: key, tokens: k.Prompt.sharedTokens(), spread: owners > r.cfg.Policy.Owners}
	if p.engine == nil {
		return p
	}
	p.time, p.keptFor = transferTime(p.engine, p.tokens), keptFor(p.engine, rate)
	p.worthwhile = p.tokens > 0 && seconds(float64(p.tokens)/rate) >= minTransferGain*p.time
	if p.worthwhile {
		p.holders = r.probableHolders(k, &p, order, owners)
	}
	return p
}

// probableHolders returns the targets that probably keep a part: its owners, those that owned it
// until they began to leave, and in place of owners that started lately the next targets in order.
func (r *Router) probableHolders(k *call, p *partTransfer, order []*target, owners int) []*target {
	var out []*target
	for _, t := range r.withFormerOwners(k, p.key, order) {
		if owners == 0 {
			break
		}
		switch {
		case !t.isServing():
		case r.startedLately(t):
			if !p.isKeptBy(t, r.now) {
				continue
			}
		default:
			owners--
		}
		out = append(out, t)
	}
	return out
}

// withFormerOwners adds to a rendezvous order the targets that can no longer be chosen for a call
// but may serve transfers: those that leave, and those that declined the call.
func (r *Router) withFormerOwners(k *call, key PartID, order []*target) []*target {
	var others []*target
	for _, t := range r.services[k.service] {
		if (!t.isServing() || k.isTried(t.id)) && !r.dataCentresOut[t.entry.DataCentre] {
			others = append(others, t)
		}
	}
	if len(others) == 0 {
		return order
	}
	return rendezvousOrder(key, append(others, order...))
}

// startedLately reports whether a target has been processing prompts for so short a time that it
// lacks most of its parts.
func (r *Router) startedLately(t *target) bool {
	return r.isCold(t) || t.maybeRestarted || r.now.Before(t.transfers.warmAt.Add(refillTime))
}

// isKeptBy reports whether a target surely keeps the part.
func (p *partTransfer) isKeptBy(t *target, now time.Time) bool {
	used, ok := t.transfers.usedAt[p.key]
	return ok && now.Sub(used) < p.keptFor
}

// source returns the best target for another one to fetch the part from, or the reason why there
// is none. delay is the time until the other one begins.
func (r *Router) source(k *call, p *partTransfer, to *target, delay time.Duration) (*target, NoSource) {
	switch {
	case p.engine == nil:
		return nil, ""
	case !p.worthwhile:
		return nil, PartTooShort
	case p.isKeptBy(to, r.now):
		return nil, PartKept
	}
	reason := NoHolder
	var fit []*target
	for _, t := range p.holders {
		if t == to || t.entry.SoftwareVersion != to.entry.SoftwareVersion {
			continue
		}
		if !r.servesTransfers(t, delay+p.time) {
			reason = HoldersUnfit
			continue
		}
		fit = append(fit, t)
	}
	if len(fit) == 0 {
		return nil, reason
	}
	return r.bestSource(k, p, to, fit), ""
}

// servesTransfers reports whether a target can serve a transfer that ends after the given time. One
// that only declines requests because it is full can.
func (r *Router) servesTransfers(t *target, after time.Duration) bool {
	unreachable := r.now.Before(t.pausedUntil) && t.pauses > 0
	if unreachable || t.maybeRestarted || r.isCold(t) || t.failureRate > maxFailureRate || t.longestWait(r.now) > hungAfter || r.isBackedOff(t) {
		return false
	}
	if t.isServing() {
		return true
	}
	// A target that leaves ends with its last request.
	return t.running+t.othersLoad.Running > 0 && r.now.Add(after).Before(t.transfers.leavingSince.Add(leavingSourceFor))
}

// bestSource returns one of the sources: those that surely keep the part before others, then the
// first in order. Among equally probable ones it prefers those in the data centre of the fetching
// target, and of these the one with less load of two picked by a hash of the call.
func (r *Router) bestSource(k *call, p *partTransfer, to *target, fit []*target) *target {
	if kept := slices.DeleteFunc(slices.Clone(fit), func(t *target) bool { return !p.isKeptBy(t, r.now) }); len(kept) > 0 {
		fit = kept
	} else if !p.spread {
		return fit[0]
	}
	near := slices.DeleteFunc(slices.Clone(fit), func(t *target) bool { return t.entry.DataCentre != to.entry.DataCentre })
	if len(near) > 0 {
		fit = near
	}
	two := pickTwo(k, fit)
	return slices.MinFunc(two, func(a, b *target) int { return (a.running + a.othersLoad.Running) - (b.running + b.othersLoad.Running) })
}

// nameSource records the source that a call to a target names.
func (r *Router) nameSource(k *call, p *partTransfer, t *target, basis *Basis) {
	k.source, basis.NoSource = r.source(k, p, t, basis.QueueDelay)
	if k.source == nil {
		return
	}
	k.sourceIncarnation = k.source.incarnation
	basis.CopySource = k.source.id
	if p.probablyLacks(r, t) {
		basis.CopiedTokens = p.tokens
	}
}

// nameSourceForLight records the source that a call of a light customer names, whose target need not
// be an owner.
func (r *Router) nameSourceForLight(k *call, t *target, rate float64, basis *Basis) {
	key, ok := affinityKey(&k.Call)
	if !ok || r.transferEngine(k.service) == nil {
		return
	}
	transfer := r.newTransfer(k, key, rendezvousOrder(key, r.eligible(k)), r.ownerCount(k, key, rate), rate)
	r.nameSource(k, &transfer, t, basis)
}

// sourceAddress returns the address of the source that a call names; zero for none.
func (k *call) sourceAddress() netip.AddrPort {
	if k.source == nil {
		return netip.AddrPort{}
	}
	return k.source.entry.Address
}

// probablyLacks reports whether a target probably has to fetch the part: it is no owner, it started
// lately, or it is the second owner, which gets few requests while the first one is not busy.
func (p *partTransfer) probablyLacks(r *Router, t *target) bool {
	return r.startedLately(t) || !slices.Contains(p.holders, t) || !p.spread && p.holders[0] != t
}

// noteKeptPart records that the target of a call begins to answer it, and so keeps its shared part.
func (r *Router) noteKeptPart(k *call) {
	key, ok := affinityKey(&k.Call)
	if !ok || r.transferEngine(k.service) == nil {
		return
	}
	s := &k.current.transfers
	if s.usedAt == nil || k.current.maybeRestarted {
		s.usedAt = map[PartID]time.Time{}
	}
	s.usedAt[key] = r.now
}

// mayStillCopy reports whether a call that is about to be written may still name its source, which
// was chosen before.
func (r *Router) mayStillCopy(k *call) bool {
	t := k.source
	return t.entry != nil && t.incarnation == k.sourceIncarnation && !r.dataCentresOut[t.entry.DataCentre] && r.servesTransfers(t, 0)
}

// dropOldParts forgets the parts that targets may have evicted.
func (r *Router) dropOldParts() {
	for name, all := range r.services {
		e := r.transferEngine(name)
		if e == nil {
			continue
		}
		since := r.now.Add(-keptFor(e, r.prefillRate(name)))
		for _, t := range all {
			maps.DeleteFunc(t.transfers.usedAt, func(_ PartID, used time.Time) bool { return used.Before(since) })
		}
	}
}
