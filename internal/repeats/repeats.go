// Package repeats remembers the ids of requests that may have run and must not run
// again, for as long as a client may send one again.
//
// The package does no I/O, reads no clock and starts no goroutine.
package repeats

import (
	"time"

	"indigotack/internal/account"
)

const (
	// KeepTime is for how long an id is remembered.
	KeepTime = time.Minute
	// Most is how many ids are remembered. With more the oldest is forgotten.
	Most = 16 << 10
	// floorPart is the part of the account that ids have whatever others hold.
	floorPart = 4
	// entryBytes is about what one id takes in memory beside its text.
	entryBytes = 192
)

// Memory is the ids that are remembered. It is not safe for concurrent use.
type Memory struct {
	held  *account.Reservation
	known map[string]bool
	order []entry // the one that was remembered first comes first
}

type entry struct {
	id    string
	until time.Time
}

func (e entry) size() int64 { return entryBytes + int64(len(e.id)) }

// New makes an empty memory, which is held out of an account; a nil one grants all.
func New(a *account.Account) *Memory {
	return &Memory{held: a.Open(account.Identity, a.State().Limit/floorPart), known: map[string]bool{}}
}

// Remember takes up an id. Where there is no room, in number or in memory, the oldest
// ones are forgotten; it is false if that was needed before their time.
func (m *Memory) Remember(id string, now time.Time) (kept bool) {
	m.expire(now)
	if m.known[id] {
		return true
	}
	e := entry{id, now.Add(KeepTime)}
	kept = true
	for len(m.order) >= Most || !m.held.Grow(e.size()) {
		if len(m.order) == 0 {
			return false
		}
		m.dropOldest()
		kept = false
	}
	m.known[id] = true
	m.order = append(m.order, e)
	return kept
}

// Knows tells whether an id is remembered.
func (m *Memory) Knows(id string, now time.Time) bool {
	m.expire(now)
	return m.known[id]
}

// Len is how many ids are remembered.
func (m *Memory) Len() int { return len(m.order) }

// expire forgets the ids whose time is over.
func (m *Memory) expire(now time.Time) {
	for len(m.order) > 0 && !now.Before(m.order[0].until) {
		m.dropOldest()
	}
}

func (m *Memory) dropOldest() {
	oldest := m.order[0]
	m.order[0] = entry{}
	m.order = m.order[1:]
	delete(m.known, oldest.id)
	m.held.Shrink(oldest.size())
}
