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

// errBodyMemory is returned if a body exceeds the memory for request bodies.
var errBodyMemory = errors.New("the bodies of other requests take all the memory that this host has for them")

// bodyMemoryUse counts the bytes of all request bodies that the router holds.
type bodyMemoryUse struct {
	total atomic.Int64
}

// bodyReservation is the share of one request body in bodyMemoryUse, in bytes.
type bodyReservation struct {
	memory   *bodyMemoryUse
	limit    int64
	reserved int64
}

// grow adds bytes that were read, and reports whether all bodies are still within the
// limit. The bytes count until release in either case.
func (b *bodyReservation) grow(n int64) bool {
	b.reserved += n
	return b.memory.total.Add(n) <= b.limit
}

func (b *bodyReservation) release() {
	b.memory.total.Add(-b.reserved)
	b.reserved = 0
}

// requestLimiter counts the open requests of each customer.
type requestLimiter struct {
	mu   sync.Mutex
	open map[fleet.CustomerName]int
}

// acquire counts a request as open and returns true. If the customer already has limit
// open requests, it counts nothing and returns false.
func (l *requestLimiter) acquire(customer fleet.CustomerName, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[customer] >= limit {
		return false
	}
	l.open[customer]++
	return true
}

func (l *requestLimiter) release(customer fleet.CustomerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[customer]--; l.open[customer] == 0 {
		delete(l.open, customer)
	}
}

// authenticate returns the customer whose key the request carries as a bearer token.
// The key's hash is compared with those of all customers in constant time.
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

// headerSize returns the approximate size of a header on the wire in bytes.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
