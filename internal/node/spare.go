package node

import (
	"os"
	"slices"
	"sync"

	"indigotack/internal/neterr"
)

// spareDescriptors are files that are held open so that further connections can
// be accepted when no descriptor is left. They are safe for concurrent use.
type spareDescriptors struct {
	mu    sync.Mutex
	most  int
	files []*os.File // that are not given away
	lent  int        // that were given away for connections that are still open
}

// hold has all the spares, takes those back that were given away, and is false if
// no descriptor is left for one. What else is wrong with the file says nothing
// about descriptors.
func (s *spareDescriptors) hold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.files) < s.most {
		file, err := os.Open(os.DevNull)
		if err != nil {
			return !neterr.OutOfDescriptors(err)
		}
		s.files = append(s.files, file)
	}
	s.lent = 0
	return true
}

// close has no spares any more.
func (s *spareDescriptors) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, file := range s.files {
		file.Close() // it was only opened, so nothing is lost by an error
	}
	s.files, s.most = nil, 0
}

// reserve is the spare descriptors of operators' own listeners, which go before
// clients' connections. It is safe for concurrent use; nil has none.
type reserve struct {
	mu     sync.Mutex
	spares []*spareDescriptors
}

func (r *reserve) add(s *spareDescriptors) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spares = append(r.spares, s)
}

// remove has the spare descriptors of a listener no more, which is closed.
func (r *reserve) remove(s *spareDescriptors) {
	r.mu.Lock()
	r.spares = slices.DeleteFunc(r.spares, func(other *spareDescriptors) bool { return other == s })
	r.mu.Unlock()
	s.close()
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

// giveAway frees the descriptor of a spare, and is false if there is none.
func (s *spareDescriptors) giveAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.files) - 1
	if last < 0 {
		return false
	}
	s.files[last].Close() // it was only opened, so nothing is lost by an error
	s.files = s.files[:last]
	s.lent++
	return true
}

// takeBack has a spare again where a descriptor is left for it, as a connection
// has closed for which one may have been given away.
func (s *spareDescriptors) takeBack() {
	s.mu.Lock()
	s.lent = max(0, s.lent-1)
	s.mu.Unlock()
	s.hold()
}

// holdUnlessLent is hold, and true also where only those are wanting that are lent.
func (s *spareDescriptors) holdUnlessLent() bool {
	if s.hold() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.files)+s.lent >= s.most
}
