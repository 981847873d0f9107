package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// errBodyMemory is returned while the bodies in hand take all the memory they may.
var errBodyMemory = errors.New("the bodies of other requests take all the memory that this host has for them")

// bodyMemory counts the bytes of all bodies in hand.
type bodyMemoryUse struct {
	total atomic.Int64
}

// heldBody is the part of one body that is in hand.
type bodyReservation struct {
	memory   *bodyMemoryUse
	limit    int64
	reserved int64
}

// grow counts bytes that were read, and says whether they may be kept.
func (b *bodyReservation) grow(n int64) bool {
	b.reserved += n
	return b.memory.total.Add(n) <= b.limit
}

func (b *bodyReservation) release() {
	b.memory.total.Add(-b.reserved)
	b.reserved = 0
}

// connections counts the open requests of each customer.
type requestLimiter struct {
	mu   sync.Mutex
	open map[fleet.CustomerName]int
}

// enter counts a request, unless the customer has as many open as it may.
func (c *requestLimiter) acquire(customer fleet.CustomerName, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[customer] >= limit {
		return false
	}
	c.open[customer]++
	return true
}

func (c *requestLimiter) release(customer fleet.CustomerName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[customer]--; c.open[customer] == 0 {
		delete(c.open, customer)
	}
}

// customerOf returns the customer whose key the request carries. It compares with the
// hashes of all customers in constant time.
func authenticate(f *fleet.Fleet, r *http.Request) (fleet.CustomerName, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found fleet.CustomerName
	for name, c := range f.Customers {
		if subtle.ConstantTimeCompare(hash, []byte(c.KeyHash)) == 1 {
			found = name
		}
	}
	return found, found != ""
}

// headerSize returns the bytes of a header as it was sent, nearly.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
