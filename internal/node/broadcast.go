package node

import "sync"

// broadcast wakes all who wait for it, each time anew. Its zero value is ready
// for use, and it is safe for concurrent use.
type broadcast struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait gives a channel that the next send closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// send wakes those who wait now, and nobody who waits later.
func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
