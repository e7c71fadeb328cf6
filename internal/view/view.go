// Package view is what one node makes of its fleet: which members live, which
// have left, crashed or are out of reach, and whether all who live see the
// same. It has no I/O, no clock and no goroutine: it is told what a failure
// detector finds, what members say of themselves and what was remembered, with
// the time of each, and says what has changed.
package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Time is the caller's monotonic clock.
type Time = time.Duration

// State of a member.
type State int

// The states. Alive and Suspect count: a suspect is one that the detector has
// not heard of for a while, and most of those are well.
const (
	Alive       State = iota
	Suspect           // counted as alive until the detector is sure
	Unreachable       // it says nothing: its machine is lost or cut off, or it has crashed where nobody can tell
	Gone              // it has crashed: its machine answers for it, or the time to wait for it is over
	Left              // it said that it goes
)

var stateNames = [...]string{"alive", "suspect", "unreachable", "gone", "left"}

func (s State) String() string { return stateNames[s] }

// MarshalText is the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(b []byte) error {
	i := slices.Index(stateNames[:], string(b))
	if i < 0 {
		return fmt.Errorf("unknown state %q", b)
	}
	*s = State(i)
	return nil
}

// Info is what a member says of itself.
type Info struct {
	Name    string `json:"name"`
	Start   uint64 `json:"start"` // grows with every start of the process under this name
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	Program string `json:"program,omitempty"`
	Drained bool   `json:"drained,omitempty"` // operators have it take no requests; it counts all the same
}

// Member is a member as this node sees it.
type Member struct {
	Info
	State State `json:"state"`
	Since Time  `json:"since_ns"` // when it came into this state
	Twin  bool  `json:"twin"`     // another process lives under its name
}

// Counts tells whether members in this state count.
func (s State) Counts() bool { return s == Alive || s == Suspect }

func (m *Member) counts() bool { return m.State.Counts() }

// Digest stands for the members that count, with their starts. Two nodes with
// one digest hold the same view.
type Digest uint64

func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// Bounds of a view.
const (
	MaxMembers = 10_000 // counted or remembered; of more, those that have been away longest are forgotten
	MaxName    = 64     // bytes of a name
)

// Config of a view.
type Config struct {
	Settle   Time // a view has to stand so long before it can be settled
	Alone    Time // the same where a node counts itself alone: it may only not have found the others yet
	Twins    Time // an earlier process under a name is found dead within it, or else there are two
	Remember Time // what is unreachable is waited for so long, and what has gone or left is listed so long
}

// View is one node's view.
type View struct {
	cfg     Config
	self    string
	members map[string]*member

	epoch      uint64
	digest     Digest
	stoodSince Time
	settled    bool
	awaited    bool // somebody may be at an address to join at
	whole      int  // members of the last settled view that missed nobody
	wholeAt    Time // when it was last settled so
	claimed    uint64
}

type member struct {
	Member
	said   Digest // what it last said that its own view is, under this start
	spoke  bool   // whether it has said anything under this start
	epoch  uint64
	held   bool            // the detector holds this start for alive
	others map[uint64]bool // other starts under its name that the detector holds for alive,
	since  Time            // and since when there are any
}

// New is the view of a node that knows only itself.
func New(now Time, self Info, cfg Config) *View {
	v := &View{cfg: cfg, self: self.Name, members: map[string]*member{}}
	v.members[self.Name] = &member{Member: Member{Info: self, Since: now}}
	v.changed(now)
	return v
}

// Change is something worth telling an operator.
type Change struct {
	What   string // the new state's name, "twin", "superseded", "settled", "unsettled" or "forgotten"
	Member Info
}

// Remember adds a member known from before, of which nothing is known now. It
// takes no part in the digest and is to be tried.
func (v *View) Remember(now Time, m Info) []Change {
	if v.members[m.Name] != nil || m.Name == "" {
		return nil
	}
	m.Drained = false // of which nothing is known now either
	v.members[m.Name] = &member{Member: Member{Info: m, State: Unreachable, Since: now}}
	return v.bound(now)
}

// Heard notes that the detector holds a start of a member for alive.
func (v *View) Heard(now Time, i Info) []Change {
	m := v.members[i.Name]
	switch {
	case m == nil:
		m = &member{Member: Member{Info: i, State: Gone, Since: now}}
		v.members[i.Name] = m
	case i.Start < m.Start:
		return v.twin(now, m, i)
	case i.Start > m.Start && i.Name == v.self:
		out := v.twin(now, m, i)
		return append(out, Change{"superseded", i})
	case i.Start > m.Start:
		old := m.Info
		wasCounted := m.counts()
		m.Info, m.spoke = i, false
		if delete(m.others, i.Start); wasCounted {
			// The detector has yet to find the old process dead; if it does not, there are two.
			m.other(now, old.Start)
		}
		m.State = Gone
	case m.State == Left:
		return nil // it said so itself; the detector may be slower
	default:
		m.Info = i
	}
	m.held = true
	return append(v.revive(now, m), v.bound(now)...)
}

func (v *View) revive(now Time, m *member) []Change {
	var out []Change
	if m.State != Alive {
		m.State, m.Since = Alive, now
		out = append(out, Change{Alive.String(), m.Info})
	}
	return append(out, v.changed(now)...)
}

func (m *member) other(now Time, start uint64) {
	if m.others == nil {
		m.others = map[uint64]bool{}
	}
	if len(m.others) == 0 {
		m.since = now
	}
	m.others[start] = true
}

// maxOthers bounds what is kept of a name that many processes claim.
const maxOthers = 8

// twin notes that another start of a member's name lives too.
func (v *View) twin(now Time, m *member, i Info) []Change {
	if m.others[i.Start] || len(m.others) >= maxOthers {
		return nil
	}
	m.other(now, i.Start)
	if !m.counts() || m.Twin {
		return nil
	}
	m.Twin = true
	return []Change{{"twin", i}}
}

// Suspected notes that the detector has not heard of a member for a while.
func (v *View) Suspected(now Time, name string, start uint64) []Change {
	m := v.members[name]
	if m == nil || m.Start != start || m.State != Alive || name == v.self {
		return nil
	}
	m.State, m.Since = Suspect, now
	return []Change{{Suspect.String(), m.Info}}
}

// Lost notes that the detector takes a start of a member for dead, or that it
// has left in order. What is dead may only be out of reach.
func (v *View) Lost(now Time, name string, start uint64, left bool) []Change {
	m := v.members[name]
	if m == nil || name == v.self {
		return nil
	}
	if m.Start != start {
		delete(m.others, start)
		m.Twin = m.Twin && len(m.others) > 0
		return nil
	}
	m.held = false
	to := Unreachable
	if left {
		to = Left
	}
	if m.State == to || (m.State == Gone || m.State == Left) && !left {
		return nil
	}
	m.State, m.Since, m.Twin, m.others = to, now, false, nil
	return append([]Change{{to.String(), m.Info}}, v.changed(now)...)
}

// Refused notes that a member's machine answers and no process listens at its
// address: this start of it has crashed, whatever the detector knows so far.
func (v *View) Refused(now Time, name string, start uint64) []Change {
	m := v.members[name]
	if m == nil || m.Start != start || name == v.self || m.State == Gone || m.State == Left {
		return nil
	}
	m.State, m.Since, m.Twin, m.others = Gone, now, false, nil
	return append([]Change{{Gone.String(), m.Info}}, v.changed(now)...)
}

// Answered notes that somebody listens at a member's address. Where the
// detector has held it for alive all the time, it was refused by mistake.
func (v *View) Answered(now Time, name string, start uint64) []Change {
	m := v.members[name]
	if m == nil || m.Start != start || m.State != Gone || !m.held {
		return nil
	}
	return v.revive(now, m)
}

// Said notes the digest of its own view that a member tells.
func (v *View) Said(now Time, name string, start uint64, epoch uint64, d Digest) []Change {
	m := v.members[name]
	if m == nil || m.Start != start || name == v.self || epoch < m.epoch && m.spoke {
		return nil // an older word that came late
	}
	m.said, m.spoke, m.epoch = d, true, epoch
	return v.settle(now)
}

// Awaited notes whether somebody may be at an address to join at: nobody has
// answered from there, nor has its machine said that nobody listens.
func (v *View) Awaited(now Time, is bool) []Change {
	v.awaited = is
	return v.settle(now)
}

// Tick lets time pass: it settles, and forgets.
func (v *View) Tick(now Time) []Change {
	var out []Change
	for _, m := range v.sorted() {
		if m.counts() && len(m.others) > 0 && !m.Twin && now-m.since >= v.cfg.Twins {
			m.Twin = true
			out = append(out, Change{"twin", m.Info})
		}
		away := now - m.Since
		switch {
		case m.counts() || away < v.cfg.Remember:
		case m.State == Unreachable:
			m.State, m.Since = Gone, now
			out = append(out, Change{Gone.String(), m.Info})
		default:
			delete(v.members, m.Name)
			out = append(out, Change{"forgotten", m.Info})
		}
	}
	return append(out, v.settle(now)...)
}

// bound forgets those that have been away longest.
func (v *View) bound(Time) []Change {
	var out []Change
	for len(v.members) > MaxMembers {
		var worst *member
		for _, m := range v.members {
			if !m.counts() && (worst == nil || m.Since < worst.Since || m.Since == worst.Since && m.Name < worst.Name) {
				worst = m
			}
		}
		if worst == nil {
			break // a fleet of that size is beyond what was planned for, but none of it is denied
		}
		delete(v.members, worst.Name)
		out = append(out, Change{"forgotten", worst.Info})
	}
	return out
}

// changed works the digest out anew.
func (v *View) changed(now Time) []Change {
	var h xxh3.Hasher
	for _, m := range v.sorted() {
		if m.counts() {
			fmt.Fprintf(&h, "%q %d\n", m.Name, m.Start)
		}
	}
	d := Digest(h.Sum64())
	if d == v.digest {
		return v.settle(now)
	}
	v.digest, v.stoodSince = d, now
	for _, m := range v.members {
		v.epoch = max(v.epoch, m.epoch)
	}
	v.epoch++
	return v.settle(now)
}

// settle finds out whether the view is settled.
func (v *View) settle(now Time) []Change {
	stood := now - v.stoodSince
	settled := stood >= v.cfg.Settle
	if v.Counted() == 1 {
		foundNobody := v.awaited && len(v.members) == 1
		settled = stood >= max(v.cfg.Settle, v.cfg.Alone) && !foundNobody
	}
	missing := 0
	for _, m := range v.members {
		if m.Name != v.self && m.counts() && !(m.spoke && m.said == v.digest) {
			settled = false // never by silence alone
		}
		if m.State == Unreachable {
			missing++
		}
	}
	if settled && missing == 0 {
		v.whole, v.wholeAt = v.Counted(), now
	}
	if settled {
		// All say the same digest: they agree on the epoch too.
		for _, m := range v.members {
			v.epoch = max(v.epoch, m.epoch)
		}
	}
	if settled == v.settled {
		return nil
	}
	v.settled = settled
	what := "unsettled"
	if settled {
		what = "settled"
	}
	return []Change{{what, v.members[v.self].Info}}
}

func (v *View) sorted() []*member {
	all := make([]*member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// SetDrained notes whether this node is drained. It takes no part in the digest.
func (v *View) SetDrained(drained bool) { v.members[v.self].Drained = drained }

// Self is this node.
func (v *View) Self() Info { return v.members[v.self].Info }

// Members is all members in the order of their names.
func (v *View) Members() []Member {
	all := v.sorted()
	out := make([]Member, len(all))
	for i, m := range all {
		out[i] = m.Member
	}
	return out
}

// Counts tells whether the member of a name counts.
func (v *View) Counts(name string) bool {
	m := v.members[name]
	return m != nil && m.counts()
}

// Counted is how many members count, this node among them.
func (v *View) Counted() int {
	n := 0
	for _, m := range v.members {
		if m.counts() {
			n++
		}
	}
	return n
}

// Digest is that of the members that count.
func (v *View) Digest() Digest { return v.digest }

// Epoch grows with every change, and is the same at all nodes of a settled view.
func (v *View) Epoch() uint64 { return v.epoch }

// Settled tells whether the view has stood for the time to settle and every
// member that counts has itself said the same digest.
func (v *View) Settled() bool { return v.settled }

// LastSettled is the size of the fleet when it was last settled with nobody
// out of reach, and when that was last so; 0 if never.
func (v *View) LastSettled() (size int, at Time) { return v.whole, v.wholeAt }

// Away is the members that are to be tried again: unreachable ones, and those
// that have gone, which may be back at their addresses.
func (v *View) Away() []Member {
	var out []Member
	for _, m := range v.sorted() {
		if m.State == Unreachable || m.State == Gone {
			out = append(out, m.Member)
		}
	}
	return out
}

// Claimed notes a start that others remember of this node's name, and tells
// whether it is one that this process should not be below: its state was lost,
// or is an older copy.
func (v *View) Claimed(start uint64) bool {
	if me := v.members[v.self]; start <= me.Start || me.others[start] {
		return false // its own, an earlier one, or that of a living twin, with whom there is no racing
	}
	v.claimed = max(v.claimed, start)
	return true
}

// Newest is the highest start that Claimed has noted; 0 if there is none.
func (v *View) Newest() uint64 { return v.claimed }
