package fleet

import "time"

// Clock tells the time and schedules functions. Programs use SystemClock;
// tests pass one that they move by hand.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d, unless stopped before.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call made by Clock.AfterFunc.
type Timer interface {
	// Stop prevents the call and reports whether it did.
	Stop() bool
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// MaxClockDriftPermille is the largest relative difference between the rates of two
// clocks, in parts per thousand, that leases allow for.
const MaxClockDriftPermille = 10

// ShortenLease returns the part of d that a holder may use when its clock may
// run slower than the grantor's by MaxClockRateError.
func ShortenLease(d time.Duration) time.Duration {
	return d - d*2*MaxClockDriftPermille/1000
}
