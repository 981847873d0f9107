// Package bytebudget decides how many bytes a process may hold for others: requests while they are
// read, requests that wait for a target, and responses that nobody reads. Bytes are reserved when
// they are held, not when they are announced, and released when their hold is closed. Under pressure
// it ends holds, the slowest first, so that those that make progress continue.
//
// It has no network and no clock: its owner passes the time and carries out the ends.
package bytebudget

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Config configures a Budget.
type Config struct {
	// Total is the maximum number of bytes held; 0 means no limit.
	Total fleet.ByteSize
}

const (
	// SmallHold is the size up to which a hold counts as small. It is above what an ordinary
	// request takes: 17 to 20 KB of body and a few KB of header.
	SmallHold fleet.ByteSize = 64 << 10
	// stallTime is the time without progress after which a hold counts as stalled. A connection
	// that loses a few packets goes on within it.
	stallTime = time.Second
	// minAge is the minimum age by which a rate is computed. Without it, the rate of a hold that has
	// just begun would be arbitrary.
	minAge = 50 * time.Millisecond
	// largeShare is the part of the budget that large holds may take together, as a fraction. The rest
	// is for small ones, so that ordinary requests are admitted beside a crowd of large ones.
	largeShareNumerator, largeShareDenominator = 3, 4
	// groupDivisor divides the budget into the part that a customer or an address may hold without
	// counting as one that holds much.
	groupDivisor = 4
	// endingDivisor divides the budget into the part for holds that were ended and have not been closed
	// yet. Others may grow meanwhile.
	endingDivisor = 8
)

// ErrEnded is returned for a hold that has been ended.
var ErrEnded = errors.New("hold was ended to free memory")

// ErrWait is returned to a hold that may grow once holds that were ended have been closed, which takes
// milliseconds.
var ErrWait = errors.New("memory is being freed")

// Phase says what a hold waits for, and whether it may be ended.
type Phase int

const (
	// Reading is the phase of a request that is being read. It has not been sent anywhere, so that
	// ending it leaves a request that has not run.
	Reading Phase = iota
	// Sent is the phase of a request that a target may run. It is not ended.
	Sent
	// Answering is the phase of a response that is being written. It is ended only if it is stalled.
	Answering
)

// Owner is whose bytes a hold has.
type Owner struct {
	// Customer is empty if unknown.
	Customer fleet.CustomerName
	// Address is the address of the peer.
	Address netip.Addr
}

// OwnerOf returns the owner with the IP address of a connection in the form host:port. Addresses of IPv6
// count by their network of 64 bits, which one host may use as a whole.
func OwnerOf(customer fleet.CustomerName, remoteAddr string) Owner {
	o := Owner{Customer: customer}
	if addr, err := netip.ParseAddrPort(remoteAddr); err == nil {
		o.Address = addr.Addr().Unmap()
	}
	if o.Address.Is6() {
		// The prefix is valid for each address of IPv6.
		o.Address = netip.PrefixFrom(o.Address.WithZone(""), 64).Masked().Addr()
	}
	return o
}

// Budget is the byte budget of a process. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	total, large, live, much int64

	mu sync.Mutex
	// held is the number of bytes of all holds, heldLarge that of the large ones, and ending that of
	// those that were ended and not closed yet; heldLarge does not include them.
	held, heldLarge, ending int64
	peak                    int64
	holds                   []*Hold
	customers               map[fleet.CustomerName]*group
	addresses               map[netip.Addr]*group
	counts                  map[Reason]int64
}

// group is what the holds of one customer or address have together.
type group struct {
	bytes, holds int64
}

// New returns a Budget, or nil if there is no limit.
func New(cfg Config) *Budget {
	total := int64(cfg.Total)
	if total <= 0 {
		return nil
	}
	live := total - total/endingDivisor
	return &Budget{
		total: total, live: live, large: live / largeShareDenominator * largeShareNumerator, much: live / groupDivisor,
		customers: map[fleet.CustomerName]*group{}, addresses: map[netip.Addr]*group{}, counts: map[Reason]int64{},
	}
}

// Hold is what one request, response or connection holds. It is safe for concurrent use. A nil Hold has
// no limit.
type Hold struct {
	budget   *Budget
	end      func(Phase)
	began    time.Time
	customer *group
	address  *group
	owner    Owner

	// endMu is held while end is called, so that it is not called after Close has returned.
	endMu  sync.Mutex
	closed bool

	// The budget's lock protects these. index is the position in the budget's list of holds, or -1 once
	// the hold is closed.
	index        int
	bytes, moved int64
	movedAt      time.Time
	phase        Phase
	answered     bool
	ended        *Ended
}

// Open returns a new hold in the phase Reading. The hold must be closed. If it is ended for another one,
// end is called once with its phase, by the goroutine of the other one; it must not block and not use
// the hold.
func (b *Budget) Open(now time.Time, o Owner, end func(Phase)) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, end: end, began: now, movedAt: now, owner: o}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.index = len(b.holds)
	b.holds = append(b.holds, h)
	if o.Customer != "" {
		h.customer = join(b.customers, o.Customer)
	}
	if o.Address.IsValid() {
		h.address = join(b.addresses, o.Address)
	}
	return h
}

func join[K comparable](groups map[K]*group, key K) *group {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	g.holds++
	return g
}

func leave[K comparable](groups map[K]*group, key K, g *group) {
	if g == nil {
		return
	}
	if g.holds--; g.holds == 0 {
		delete(groups, key)
	}
}

// Close releases all bytes of the hold.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	if h.index >= 0 {
		b.add(h, -h.bytes)
		b.remove(h)
		leave(b.customers, h.owner.Customer, h.customer)
		leave(b.addresses, h.owner.Address, h.address)
	}
	b.mu.Unlock()
	h.endMu.Lock()
	h.closed = true
	h.endMu.Unlock()
}

// remove removes a hold from the list. The caller holds mu.
func (b *Budget) remove(h *Hold) {
	end := len(b.holds) - 1
	last := b.holds[end]
	b.holds[h.index], last.index = last, h.index
	b.holds[end] = nil
	b.holds, h.index = b.holds[:end], -1
}

// add adds bytes to a hold; n may be negative. The caller holds mu.
func (b *Budget) add(h *Hold, n int64) {
	switch {
	case h.ended != nil:
		b.ending += n
	case h.isLarge():
		b.heldLarge -= h.bytes
	}
	h.bytes += n
	b.held += n
	b.peak = max(b.peak, b.held)
	if h.ended == nil && h.isLarge() {
		b.heldLarge += h.bytes
	}
	if h.customer != nil {
		h.customer.bytes += n
	}
	if h.address != nil {
		h.address.bytes += n
	}
}

func (h *Hold) isLarge() bool { return h.bytes > int64(SmallHold) }

// Shrink releases n bytes of the hold.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, -min(n, h.bytes))
}

// Progress records that the hold has moved n bytes: read from or written to its peer.
func (h *Hold) Progress(now time.Time, n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moved += n
	h.movedAt = now
}

// Enter begins a phase. The rate counts from the first byte of the request, and anew from the first one of
// the response. It fails with an *Ended if the hold was ended before: a request that was ended must not be
// sent.
func (h *Hold) Enter(now time.Time, p Phase) error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.ended != nil {
		return h.ended
	}
	if p == Answering && !h.answered {
		h.answered, h.began, h.moved = true, now, 0
	}
	h.phase, h.movedAt = p, now
	return nil
}

// Cause returns why the hold was ended, or nil if it was not.
func (h *Hold) Cause() *Ended {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.ended
}
