// Package turns bounds how much work one connection may ask of a node itself in a
// second: answers that cost no server anything, such as health checks and refusals.
// What is beyond waits unread, so that others have their turns.
//
// The package does no I/O, reads no clock and starts no goroutine.
package turns

import "time"

const (
	// Rate is how many units of work a connection may ask for in a second.
	Rate = 100
	// Burst is how many it may ask for at once after a rest.
	Burst = 20
)

// The costs of an answer, in units.
const (
	// Check is the cost of a health check.
	Check = 1
	// Refusal is the cost of a request that was asked for and got no server's answer.
	// It takes room from others that servers could have had.
	Refusal = 4
)

// Bucket is what one connection may ask for still. Its zero value is that of a new one.
// It is not safe for concurrent use.
type Bucket struct {
	full time.Time // it has its whole burst again from then on
}

// Spend notes that an answer was given.
func (b *Bucket) Spend(now time.Time, cost int) {
	if b.full.Before(now) {
		b.full = now
	}
	b.full = b.full.Add(time.Duration(cost) * time.Second / Rate)
}

// Wait is how long nothing more is to be read of the connection; 0: not at all.
func (b *Bucket) Wait(now time.Time) time.Duration {
	if b.full.Before(now) {
		return 0
	}
	return max(0, b.full.Sub(now)-Burst*time.Second/Rate)
}
