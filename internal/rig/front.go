package rig

import (
	"slices"
	"sync"
)

// front is where clients find out which nodes take requests.
type front struct {
	mu      sync.Mutex
	offered []string // addresses
	ending  []string // those to which connections may still be open
}

// withdraw takes a node out, whose open connections clients go on using. It
// tells whether the node was in.
func (f *front) withdraw(address string) (was bool) {
	was = f.offer(address, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.ending, address) {
		f.ending = append(f.ending, address)
	}
	return was
}

// pickEnding is a node that was withdrawn, if there is one.
func (f *front) pickEnding(u float64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ending) == 0 {
		return "", false
	}
	return f.ending[int(u*float64(len(f.ending)))], true
}

// offer takes a node in or out, and tells whether it was in.
func (f *front) offer(address string, on bool) (was bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.offered[:0:0]
	for _, one := range f.offered {
		if one != address {
			kept = append(kept, one)
		} else {
			was = true
		}
	}
	if f.offered = kept; on {
		f.offered = append(f.offered, address)
		f.ending = slices.DeleteFunc(f.ending, func(one string) bool { return one == address })
	}
	return was
}

func (f *front) pick(u float64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.offered) == 0 {
		return "", false
	}
	return f.offered[int(u*float64(len(f.offered)))], true
}
