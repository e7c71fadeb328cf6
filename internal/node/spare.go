package node

import (
	"os"
	"sync"

	"indigotack/internal/neterr"
)

// spareDescriptor is a file that is held open so that one more connection can be
// accepted when no descriptor is left. It is safe for concurrent use.
type spareDescriptor struct {
	mu   sync.Mutex
	file *os.File // nil while it is given away
	lent bool     // it was given away for a connection that is still open
}

// hold has the spare, takes it back if it was given away, and is false if no
// descriptor is left for it. What else is wrong with the file says nothing
// about descriptors.
func (s *spareDescriptor) hold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		return true
	}
	file, err := os.Open(os.DevNull)
	if err != nil {
		return !neterr.OutOfDescriptors(err)
	}
	s.file, s.lent = file, false
	return true
}

// reserve is the spare descriptors of operators' own listeners, which go before
// clients' connections. It is safe for concurrent use; nil has none.
type reserve struct {
	mu     sync.Mutex
	spares []*spareDescriptor
}

func (r *reserve) add(s *spareDescriptor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spares = append(r.spares, s)
}

// hold has all the spares but those lent, and is false if no descriptor is left for one.
func (r *reserve) hold() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := true
	for _, s := range r.spares {
		all = s.holdUnlessLent() && all
	}
	return all
}

// giveAway frees the spare's descriptor, and is false if there is none.
func (s *spareDescriptor) giveAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return false
	}
	s.file.Close() // it was only opened, so nothing is lost by an error
	s.file, s.lent = nil, true
	return true
}

// takeBack has the spare again where a descriptor is left for it, as the
// connection has closed for which it was given away.
func (s *spareDescriptor) takeBack() {
	s.mu.Lock()
	s.lent = false
	s.mu.Unlock()
	s.hold()
}

// holdUnlessLent is hold, and true also while the spare is lent.
func (s *spareDescriptor) holdUnlessLent() bool {
	if s.hold() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lent
}
