package rig

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Condition is what is wrong with one direction of a link. The zero value is
// a sound link. Several faults on one link add up.
type Condition struct {
	Drop      bool          // nothing passes: connections stay open and silent, new ones never come up, datagrams are lost. What a connection held passes once it is over, as TCP sends again
	Loss      float64       // this part of the datagrams is lost; of a stream's pieces this part is late by the time TCP takes to send again
	Delay     time.Duration // on top of the relay's own,
	Jitter    time.Duration // and up to so much more, evenly drawn; streams keep their order, datagrams do not
	Duplicate float64       // this part of the datagrams comes twice
	Reorder   float64       // this part of the datagrams is overtaken by later ones
	Rate      int           // bytes a second; 0: any number
	Stall     bool          // bytes are taken and never passed on; a connection that lost some stays dead
	HalfOpen  bool          // that a connection has ended is not told to its other end
	Reset     float64       // for each piece of a stream, the part of cases in which its connection is reset before it
	Cut       float64       // likewise, but after the first half of the piece
}

// sound tells whether nothing is wrong.
func (c Condition) sound() bool { return c == Condition{} }

// and is both conditions at once.
func (c Condition) and(d Condition) Condition {
	either := func(p, q float64) float64 { return 1 - (1-p)*(1-q) }
	sum := Condition{Drop: c.Drop || d.Drop, Loss: either(c.Loss, d.Loss), Delay: c.Delay + d.Delay, Jitter: c.Jitter + d.Jitter,
		Duplicate: either(c.Duplicate, d.Duplicate), Reorder: either(c.Reorder, d.Reorder), Rate: c.Rate,
		Stall: c.Stall || d.Stall, HalfOpen: c.HalfOpen || d.HalfOpen, Reset: either(c.Reset, d.Reset), Cut: either(c.Cut, d.Cut)}
	if d.Rate > 0 && (c.Rate == 0 || d.Rate < c.Rate) {
		sum.Rate = d.Rate
	}
	return sum
}

// String names what is wrong, in the words of a plan.
func (c Condition) String() string {
	var parts []string
	add := func(on bool, format string, args ...any) {
		if on {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add(c.Drop, "drop")
	add(c.Loss > 0, "loss %v", c.Loss)
	add(c.Delay > 0 || c.Jitter > 0, "delay %v + %v", c.Delay, c.Jitter)
	add(c.Duplicate > 0, "duplicate %v", c.Duplicate)
	add(c.Reorder > 0, "reorder %v", c.Reorder)
	add(c.Rate > 0, "rate %d", c.Rate)
	add(c.Stall, "stall")
	add(c.HalfOpen, "half_open")
	add(c.Reset > 0, "reset %v", c.Reset)
	add(c.Cut > 0, "cut %v", c.Cut)
	if parts == nil {
		return "sound"
	}
	return strings.Join(parts, ", ")
}

// The directions of a link: from the end that opens connections to the one
// that listens, and back.
const (
	there = iota
	back
	directions
)

// link is what lies between two ends. Relays ask it what to do with what they
// hold; faults are put on it and taken off by number.
type link struct {
	from, to string

	mu      sync.Mutex
	faults  map[int][directions]Condition
	now     [directions]Condition
	changed chan struct{} // closed at the next change
	rng     *rand.Rand
}

func newLink(from, to string, seed uint64) *link {
	h := fnv.New64a()
	io.WriteString(h, from+" "+to) // never fails
	return &link{from: from, to: to, faults: map[int][directions]Condition{}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// put sets fault number n, or takes it off where both directions are sound.
func (l *link) put(n int, c [directions]Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delete(l.faults, n); !c[there].sound() || !c[back].sound() {
		l.faults[n] = c
	}
	l.now = [directions]Condition{}
	for _, f := range l.faults {
		for way := range f {
			l.now[way] = l.now[way].and(f[way])
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// state is a direction's condition and a channel that is closed when it changes.
func (l *link) state(way int) (Condition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now[way], l.changed
}

// dark tells whether connections can come up.
func (l *link) dark() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now[there].Drop || l.now[back].Drop, l.changed
}

// chance draws whether something of a probability happens.
func (l *link) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < p
}

// upTo draws a time.
func (l *link) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Float64() * float64(d))
}

// await waits while a direction's condition is as told, or until end is
// closed; it tells whether the condition is over.
func (l *link) await(way int, end <-chan struct{}, while func(Condition) bool) bool {
	for {
		c, changed := l.state(way)
		if !while(c) {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		}
	}
}

// sortedLinks is links in one order whatever the map's.
func sortedLinks(of map[[2]string]*link) []*link {
	var all []*link
	for _, l := range of {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *link) int { return strings.Compare(a.from+" "+a.to, b.from+" "+b.to) })
	return all
}
