package bytebudget

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Reason is why a hold was ended or not allowed to grow.
type Reason string

// The reasons.
const (
	// Much means that the hold's customer or address held more than any other, and much of the budget.
	Much Reason = "Much"
	// Stalled means that the hold had made no progress for stallTime.
	Stalled Reason = "Stalled"
	// Slow means that the hold had the lowest rate.
	Slow Reason = "Slow"
	// Full means that no hold could be ended for this one.
	Full Reason = "Full"
)

// Ended describes the decision to end a hold, or not to let it grow. It is an error that wraps ErrEnded.
type Ended struct {
	Reason Reason
	Owner  Owner
	// Bytes is what the hold had, Group what its customer or address had, whichever is more.
	Bytes, Group int64
	// Rate is the hold's progress in bytes a second since it began, Idle the time since its last one.
	Rate float64
	Idle time.Duration
	// Held is what all holds had, and Total the budget.
	Held, Total int64
}

// Error implements error.
func (e *Ended) Error() string {
	return fmt.Sprintf("%v (%s): %d bytes at %.0f bytes/s, %d of %d bytes held", ErrEnded, e.Reason, e.Bytes, e.Rate, e.Held, e.Total)
}

// Unwrap returns ErrEnded.
func (e *Ended) Unwrap() error { return ErrEnded }

// Grow reserves n bytes for the hold. If the budget has no room, it ends other holds, or fails with an
// *Ended: the hold is then ended itself and must be closed. A hold that is large already may get ErrWait
// instead, so that it continues once the holds that were ended for others are closed.
func (h *Hold) Grow(now time.Time, n int64) error {
	return h.grow(now, n, true)
}

// TryGrow reserves n bytes like Grow if there is room, or other holds can be ended for it. Otherwise it
// fails and the hold continues.
func (h *Hold) TryGrow(now time.Time, n int64) error {
	return h.grow(now, n, false)
}

func (h *Hold) grow(now time.Time, n int64, must bool) error {
	if h == nil {
		return nil
	}
	victims, err := h.budget.grow(now, h, n, must)
	for _, v := range victims {
		v.callEnd()
	}
	return err
}

// callEnd calls end unless the hold is closed.
func (h *Hold) callEnd() {
	h.endMu.Lock()
	defer h.endMu.Unlock()
	if !h.closed {
		// The phase does not change once the hold is ended.
		h.end(h.phase)
	}
}

// grow decides whether a hold may grow, and which holds are ended for it.
func (b *Budget) grow(now time.Time, h *Hold, n int64, must bool) (victims []*Hold, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case h.ended != nil:
		return nil, h.ended
	case h.index < 0:
		return nil, ErrEnded
	}
	for !b.hasRoom(h, n) {
		if must && h.isLarge() && b.mustWait(h, n) {
			return victims, ErrWait
		}
		v, reason := b.chooseVictim(now, h, n)
		if v == h || v == nil {
			cause := b.describe(now, h, reason)
			b.counts[reason]++
			if must {
				b.markEnded(h, cause)
			}
			return victims, cause
		}
		b.counts[reason]++
		b.markEnded(v, b.describe(now, v, reason))
		victims = append(victims, v)
	}
	b.add(h, n)
	return victims, nil
}

// hasRoom reports whether a hold may grow by n bytes without ending others.
func (b *Budget) hasRoom(h *Hold, n int64) bool {
	if b.held-b.ending+n > b.live || b.mustWait(h, n) {
		return false
	}
	return h.bytes+n <= int64(SmallHold) || b.largeAfter(h, n) <= b.large
}

// mustWait reports whether a hold can't grow by n bytes before some that were ended are closed. Ending
// more would not free memory sooner.
func (b *Budget) mustWait(h *Hold, n int64) bool {
	if h.bytes+n > int64(SmallHold) && b.largeAfter(h, n)+b.ending > b.large+b.total-b.live && b.ending > 0 {
		// Bytes that are not free yet take no room from the small holds.
		return true
	}
	return b.held+n > b.total
}

// largeAfter returns what the large holds have once h has grown by n bytes and is large.
func (b *Budget) largeAfter(h *Hold, n int64) int64 {
	if h.isLarge() {
		return b.heldLarge + n
	}
	return b.heldLarge + h.bytes + n
}

func (b *Budget) markEnded(h *Hold, cause *Ended) {
	if h.isLarge() {
		b.heldLarge -= h.bytes
	}
	b.ending += h.bytes
	h.ended = cause
}

func (b *Budget) describe(now time.Time, h *Hold, r Reason) *Ended {
	return &Ended{
		Reason: r, Owner: h.owner, Bytes: h.bytes, Group: h.groupBytes(), Rate: h.rate(now), Idle: now.Sub(h.movedAt),
		Held: b.held, Total: b.total,
	}
}

// chooseVictim returns the hold to end so that h can grow by n bytes, which may be h itself, or nil if
// there is none.
func (b *Budget) chooseVictim(now time.Time, h *Hold, n int64) (*Hold, Reason) {
	if b.mustWait(h, n) {
		return nil, Full
	}
	large := h.bytes+n > int64(SmallHold)
	v := b.worst(now, h, n, func(c *Hold) bool { return c.isLarge() || c == h && large })
	if v == nil && !large {
		v = b.worst(now, h, n, func(c *Hold) bool { return c == h || c.bytes > 0 && now.Sub(c.began) >= stallTime })
	}
	if v == nil || v == h && v.phase != Reading {
		return nil, Full
	}
	switch {
	case max(v.customer.after(h.customer, n), v.address.after(h.address, n)) > b.much:
		return v, Much
	case v.isStalled(now):
		return v, Stalled
	}
	return v, Slow
}

// worst returns the hold that is to be ended first, of those that qualify and may be ended. A hold
// in the phase Sent is worst only if it is h and no other may be ended.
func (b *Budget) worst(now time.Time, h *Hold, n int64, qualifies func(*Hold) bool) *Hold {
	var worst *Hold
	for _, c := range b.holds {
		if qualifies(c) && c.mayEnd(now) && (worst == nil || b.isWorse(now, c, worst, h, n)) {
			worst = c
		}
	}
	return worst
}

// mayEnd reports whether a hold may be ended.
func (h *Hold) mayEnd(now time.Time) bool {
	if h.ended != nil {
		return false
	}
	return h.phase == Reading || h.phase == Answering && h.isStalled(now)
}

// isWorse reports whether a is to be ended rather than c, while h asks for n more bytes. What a and c
// have in common, such as the address of a proxy, does not count.
func (b *Budget) isWorse(now time.Time, a, c, h *Hold, n int64) bool {
	x, y := int64(0), int64(0)
	if a.customer != c.customer {
		x, y = a.customer.after(h.customer, n), c.customer.after(h.customer, n)
	}
	if a.address != c.address {
		x, y = max(x, a.address.after(h.address, n)), max(y, c.address.after(h.address, n))
	}
	if x != y && max(x, y) > b.much {
		return x > y
	}
	if x, y := a.isStalled(now), c.isStalled(now); x != y {
		return x
	}
	return a.rate(now) < c.rate(now)
}

// after returns what a group has once the group of the hold that asks has n more bytes.
func (g *group) after(asking *group, n int64) int64 {
	switch {
	case g == nil:
		return 0
	case g == asking:
		return g.bytes + n
	}
	return g.bytes
}

// groupBytes returns what the customer or the address of a hold has, whichever is more.
func (h *Hold) groupBytes() int64 { return max(h.customer.after(nil, 0), h.address.after(nil, 0)) }

func (h *Hold) isStalled(now time.Time) bool { return now.Sub(h.movedAt) >= stallTime }

// rate returns the progress since the phase began, in bytes a second.
func (h *Hold) rate(now time.Time) float64 {
	return float64(h.moved) / max(now.Sub(h.began), minAge).Seconds()
}

// Status is the state of a Budget.
type Status struct {
	// Held is the number of bytes held now, Peak the most so far, and Total the budget.
	Held, Peak, Total int64
	// Ending is the part of Held whose holds were ended.
	Ending int64
	// Holds is the number of open holds.
	Holds int
	// Decisions counts the holds that were ended or not allowed to grow, by reason.
	Decisions map[Reason]int64
}

// Status returns the state of the budget.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Held: b.held, Peak: b.peak, Total: b.total, Ending: b.ending, Holds: len(b.holds), Decisions: map[Reason]int64{}}
	for r, n := range b.counts {
		s.Decisions[r] = n
	}
	return s
}

// AsEnded returns the decision that an error carries, or nil.
func AsEnded(err error) *Ended {
	var e *Ended
	if errors.As(err, &e) {
		return e
	}
	return nil
}
