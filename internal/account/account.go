// Package account keeps a node's account of the memory that it takes on from its
// peers: what is to be held is reserved before it is read, and given back when it
// is let go. Beside what has been granted each reservation may hold a floor, which
// is never refused, so that a request in hand can go on whatever others hold.
//
// The package does no I/O, reads no clock and starts no goroutine.
package account

import (
	"fmt"
	"sync"
	"time"
)

// Kind is what memory is held for.
type Kind int

// The kinds.
const (
	// RequestBody is a client's body, from its first byte until the request is over.
	RequestBody Kind = iota
	// Response is a server's answer, until it is written or dropped.
	Response
	// Identity is what is remembered of requests that have ended.
	Identity
	kinds
)

var kindNames = [kinds]string{"request_bodies", "responses", "identities"}

// String names a kind, for logs.
func (k Kind) String() string {
	if k < 0 || k >= kinds {
		return "unknown"
	}
	return kindNames[k]
}

// How long a holder's peer may leave it without a byte, or need for all of them,
// while others wait for memory.
const (
	StallTime = 250 * time.Millisecond
	SlowTime  = time.Second
)

// MaxWaiting is how many claims wait at a time. A further one is refused at once.
const MaxWaiting = 64

// Account is the memory that a node takes on. A nil one grants everything. It is
// safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	limit   int64
	held    [kinds]int64
	waiting []*Claim // the one that came first is granted first
	holders map[*Reservation]bool
	refused int64
}

// New makes an account of a number of bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, holders: map[*Reservation]bool{}}
}

// Reservation is memory that is held for one thing. A nil one holds nothing and is
// always granted. It is not safe for concurrent use but for what Account does.
type Reservation struct {
	of    *Account
	kind  Kind
	held  int64
	floor int64

	// Of one whose bytes are a peer's to send or to take:
	since    time.Time // it was granted
	progress time.Time // the peer sent or took the last byte then
	giveUp   func()    // ends it; must not block or call the account
}

// Claim is a reservation's wait for more memory.
type Claim struct {
	reservation *Reservation
	size        int64
	granted     chan struct{}
	done        bool
}

// Open begins a reservation whose first bytes, up to a floor, are never refused.
func (a *Account) Open(kind Kind, floor int64) *Reservation {
	if a == nil {
		return nil
	}
	return &Reservation{of: a, kind: kind, floor: floor}
}

// Grow takes more bytes if they are within the floor, or there is room and nobody
// waits for it; else it takes none and is false.
func (r *Reservation) Grow(size int64) bool {
	if r == nil {
		return true
	}
	a := r.of
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.held+size > r.floor && (len(a.waiting) > 0 || !a.fits(size)) {
		a.refused++
		return false
	}
	a.take(r, size)
	return true
}

// Claim asks for more bytes and is granted at once, or in its turn. It is nil if too
// many wait already.
func (r *Reservation) Claim(size int64) *Claim {
	c := &Claim{reservation: r, size: size, granted: make(chan struct{})}
	if r == nil {
		c.done = true
		close(c.granted)
		return c
	}
	a := r.of
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.held+size <= r.floor || len(a.waiting) == 0 && a.fits(size) {
		a.grant(c)
		return c
	}
	if len(a.waiting) >= MaxWaiting {
		a.refused++
		return nil
	}
	a.waiting = append(a.waiting, c)
	return c
}

// Granted is closed when the bytes are the reservation's.
func (c *Claim) Granted() <-chan struct{} { return c.granted }

// Withdraw ends a wait. It is false if the claim was granted before.
func (c *Claim) Withdraw() bool {
	if c.reservation == nil {
		return false
	}
	a := c.reservation.of
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.done {
		return false
	}
	c.done = true
	a.refused++
	for i, other := range a.waiting {
		if other == c {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			break
		}
	}
	a.serve()
	return true
}

// Shrink gives bytes back.
func (r *Reservation) Shrink(size int64) {
	if r == nil {
		return
	}
	a := r.of
	a.mu.Lock()
	defer a.mu.Unlock()
	size = min(size, r.held)
	r.held -= size
	a.held[r.kind] -= size
	a.serve()
}

// Close gives all back. Closing it again does nothing.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.Settle()
	r.Shrink(r.size())
}

func (r *Reservation) size() int64 {
	r.of.mu.Lock()
	defer r.of.mu.Unlock()
	return r.held
}

// Await notes that a reservation goes on only as its peer sends or takes bytes.
// giveUp is called at most once, if the peer is slow while others wait; it must
// neither block nor call the account.
func (r *Reservation) Await(now time.Time, giveUp func()) {
	if r == nil {
		return
	}
	r.of.mu.Lock()
	defer r.of.mu.Unlock()
	r.since, r.progress, r.giveUp = now, now, giveUp
	r.of.holders[r] = true
}

// Progress notes that the peer has sent or taken bytes.
func (r *Reservation) Progress(now time.Time) {
	if r == nil {
		return
	}
	r.of.mu.Lock()
	defer r.of.mu.Unlock()
	r.progress = now
}

// Settle notes that nothing more is awaited from the peer.
func (r *Reservation) Settle() {
	if r == nil {
		return
	}
	r.of.mu.Lock()
	defer r.of.mu.Unlock()
	r.giveUp = nil
	delete(r.of.holders, r)
}

// Reclaim has one holder give up, if anyone waits for memory: of those whose peer
// has stalled the one that did so first, else of those that are slow the oldest.
func (a *Account) Reclaim(now time.Time) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return false
	}
	slowest := a.slowest(now)
	if slowest == nil {
		return false
	}
	giveUp := slowest.giveUp
	slowest.giveUp = nil
	delete(a.holders, slowest)
	giveUp()
	return true
}

// slowest is the holder that is to give up; nil if there is none. The caller holds mu.
func (a *Account) slowest(now time.Time) (slowest *Reservation) {
	stalled := func(r *Reservation) bool { return now.Sub(r.progress) >= StallTime }
	for r := range a.holders {
		if r.held <= r.floor || !stalled(r) && now.Sub(r.since) < SlowTime {
			continue
		}
		switch {
		case slowest == nil, stalled(r) && !stalled(slowest):
			slowest = r
		case stalled(r) != stalled(slowest):
		case stalled(r) && r.progress.Before(slowest.progress), !stalled(r) && r.since.Before(slowest.since):
			slowest = r
		}
	}
	return slowest
}

// fits tells whether there is room for more bytes. The caller holds mu.
func (a *Account) fits(size int64) bool { return a.total()+size <= a.limit }

func (a *Account) total() (all int64) {
	for _, held := range a.held {
		all += held
	}
	return all
}

// take gives a reservation more bytes. The caller holds mu.
func (a *Account) take(r *Reservation, size int64) {
	r.held += size
	a.held[r.kind] += size
}

// grant gives a claim its bytes. The caller holds mu.
func (a *Account) grant(c *Claim) {
	a.take(c.reservation, c.size)
	c.done = true
	close(c.granted)
}

// serve grants the claims that have become possible, in their order. One that is
// over the whole limit is granted where nothing else is held, so that none waits
// for ever. The caller holds mu.
func (a *Account) serve() {
	for len(a.waiting) > 0 && (a.fits(a.waiting[0].size) || a.total() == 0) {
		c := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.grant(c)
	}
}

// State is what an account holds at some moment.
type State struct {
	Limit   int64
	Held    [kinds]int64 // by kind, in bytes
	Waiting int          // claims that are not granted yet
	Refused int64        // that were not granted since the start
}

// State is what the account holds now.
func (a *Account) State() State {
	if a == nil {
		return State{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{Limit: a.limit, Held: a.held, Waiting: len(a.waiting), Refused: a.refused}
}

// Strings gives the state as a line of the log has it.
func (s State) Strings() []string {
	all := make([]string, 0, kinds+3)
	for kind, held := range s.Held {
		all = append(all, fmt.Sprintf("%s=%d", Kind(kind), held))
	}
	return append(all, fmt.Sprintf("limit=%d", s.Limit), fmt.Sprintf("waiting=%d", s.Waiting), fmt.Sprintf("refused=%d", s.Refused))
}
