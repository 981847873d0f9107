package fleet

import "time"

// Clock returns the current time and schedules function calls. Programs use
// SystemClock; tests use a clock that they advance themselves.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// AfterFunc calls f in its own goroutine after d, unless the Timer is stopped first.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call made by Clock.AfterFunc.
type Timer interface {
	// Stop prevents the call and reports whether it did.
	Stop() bool
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// MaxClockDriftPermille is the largest relative difference between the rates of two
// hosts' clocks, in parts per thousand, that leases tolerate.
const MaxClockDriftPermille = 10

// ShortenLease returns how long the holder of a lease of duration d may rely on it by its
// own clock, which may run slower than the grantor's. The margin is twice
// MaxClockDriftPermille.
func ShortenLease(d time.Duration) time.Duration {
	return d - d*2*MaxClockDriftPermille/1000
}
