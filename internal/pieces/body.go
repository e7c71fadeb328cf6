// Package pieces carries a message's body from the one who receives it to the one
// who passes it on. A body is held whole at first, so that it can be dropped and
// asked for again; once it is passed on, whoever receives it waits for whoever takes
// it, and no more than two pieces of it are held.
package pieces

import (
	"errors"
	"io"
	"sync"
	"time"

	"indigotack/internal/account"
)

const (
	// Size is the most bytes that a piece has.
	Size = 4 << 10
	// Floor is what each body may hold whatever the account has left: a piece that
	// waits to be taken, and one that is being received.
	Floor = 2 * Size
)

// ErrAbandoned is that of a body that nobody takes any more.
var ErrAbandoned = errors.New("the body is not wanted any more")

// Body is a body on its way. One side calls Hold, Put and End, the other Next and
// Abandon. It is safe for concurrent use.
type Body struct {
	reservation *account.Reservation

	mu        sync.Mutex
	changed   *sync.Cond
	pieces    [][]byte
	size      int // of all pieces
	ended     bool
	err       error // it ended with; nil: it is whole
	abandoned bool
	onAbandon func()
}

// New makes an empty body, which holds its bytes out of an account. A nil account
// grants all.
func New(a *account.Account) *Body {
	b := &Body{reservation: a.Open(account.Response, Floor)}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Whole makes a body that has come whole and is in nobody's account.
func Whole(content []byte) *Body {
	b := New(nil)
	b.pieces, b.size, b.ended = [][]byte{content}, len(content), true
	return b
}

// Hold takes up a copy of bytes without waiting. It takes none and is false where the
// account has no room for them; Put is for those once the body is passed on.
func (b *Body) Hold(received []byte) bool {
	if !b.reservation.Grow(int64(len(received))) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(received)
	return true
}

// Put takes up a copy of bytes, at most Size, of a body that is passed on. It waits
// until all before them has been taken.
func (b *Body) Put(received []byte) error {
	b.mu.Lock()
	for b.size > 0 && !b.abandoned {
		b.changed.Wait()
	}
	abandoned := b.abandoned
	b.mu.Unlock()
	if abandoned || !b.Hold(received) {
		return ErrAbandoned
	}
	return nil
}

// add takes up bytes in pieces. The caller holds mu.
func (b *Body) add(received []byte) {
	if b.abandoned {
		b.reservation.Shrink(int64(len(received)))
		return
	}
	b.size += len(received)
	for len(received) > 0 {
		piece := received[:min(Size, len(received))]
		received = received[len(piece):]
		b.pieces = append(b.pieces, append(make([]byte, 0, len(piece)), piece...))
	}
	b.changed.Broadcast()
}

// End notes that nothing more comes: the body is whole, or broken by an error.
func (b *Body) End(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.err = true, err
	b.changed.Broadcast()
}

// Len is how many bytes are held.
func (b *Body) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size
}

// Next waits for the next piece and takes it. The error is io.EOF behind the last
// one, or what the body broke with.
func (b *Body) Next() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pieces) == 0 && !b.ended && !b.abandoned {
		b.changed.Wait()
	}
	switch {
	case b.abandoned:
		return nil, ErrAbandoned
	case len(b.pieces) > 0:
		piece := b.pieces[0]
		b.pieces[0] = nil
		b.pieces = b.pieces[1:]
		b.size -= len(piece)
		b.reservation.Shrink(int64(len(piece)))
		b.reservation.Progress(time.Now())
		b.changed.Broadcast()
		return piece, nil
	case b.err != nil:
		return nil, b.err
	}
	return nil, io.EOF
}

// Await notes that a body is held only for its taker, who may be slow. giveUp is as
// that of account.Reservation.Await.
func (b *Body) Await(giveUp func()) { b.reservation.Await(time.Now(), giveUp) }

// OnAbandon has f called if the body is abandoned before its end. f must neither block
// nor call the body.
func (b *Body) OnAbandon(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onAbandon = f
}

// Abandon drops what is held and all that comes, and ends all waits. It may be called
// again, and behind the end.
func (b *Body) Abandon() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onAbandon != nil && !b.ended && !b.abandoned {
		b.onAbandon()
	}
	b.abandoned, b.pieces, b.size = true, nil, 0
	b.reservation.Close()
	b.changed.Broadcast()
}

// Bytes are those held now, which stay held.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]byte, 0, b.size)
	for _, piece := range b.pieces {
		all = append(all, piece...)
	}
	return all
}
