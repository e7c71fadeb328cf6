package node

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"indigotack/internal/account"
	"indigotack/internal/pieces"
)

const (
	bodyFloor    = 4 << 10                 // bytes of a request's body that wait for nobody's memory
	bodyWait     = 1500 * time.Millisecond // for memory; the body itself has what is left of the time to read a request
	reclaimEvery = 20 * time.Millisecond   // while a body waits, slow ones are looked for
)

var errNoMemory = errors.New("this node has no memory for the body just now")

// bodyReader reads requests' bodies within a bound and a node's account of memory.
type bodyReader struct {
	account *account.Account
	most    int // bytes of a body
}

// read reads the body of a request into memory that is held until held is closed.
// It waits for memory until a time. The status goes with the error.
func (b bodyReader) read(w http.ResponseWriter, r *http.Request, until time.Time) (body []byte, held *account.Reservation, status int, err error) {
	size := r.ContentLength
	switch {
	case size == 0:
		return nil, nil, 0, nil
	case size > int64(b.most):
		return nil, nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", b.most)
	case size < 0: // it comes in chunks
		size = int64(b.most)
	}
	held = b.account.Open(account.RequestBody, bodyFloor)
	if !b.await(held, size, until) {
		return nil, nil, http.StatusServiceUnavailable, errNoMemory
	}
	body, status, err = b.receive(w, r, held, make([]byte, size))
	if err != nil {
		held.Close()
		return nil, nil, status, err
	}
	if spare := size - int64(len(body)); spare > 0 {
		body = append(make([]byte, 0, len(body)), body...) // gives the rest of the buffer back
		held.Shrink(spare)
	}
	return body, held, 0, nil
}

// await waits for the memory of a body, and has others that are slow give up theirs.
func (b bodyReader) await(held *account.Reservation, size int64, until time.Time) bool {
	claim := held.Claim(size)
	if claim == nil {
		return false
	}
	select {
	case <-claim.Granted():
		return true
	default:
	}
	overdue := time.NewTimer(min(time.Until(until), bodyWait))
	defer overdue.Stop()
	look := time.NewTicker(reclaimEvery)
	defer look.Stop()
	for {
		select {
		case <-claim.Granted():
			return true
		case <-look.C:
			b.account.Reclaim(time.Now())
		case <-overdue.C:
			return !claim.Withdraw()
		}
	}
}

// receive reads a body into a buffer at its client's pace, unless others want the
// memory before it has come.
func (b bodyReader) receive(w http.ResponseWriter, r *http.Request, held *account.Reservation, buffer []byte) (body []byte, status int, err error) {
	var gaveUp atomic.Bool
	held.Await(time.Now(), func() {
		gaveUp.Store(true)
		http.NewResponseController(w).SetReadDeadline(longAgo) // fails only on a closed connection
	})
	defer held.Settle()
	size, err := 0, error(nil)
	for err == nil && size < len(buffer) {
		var n int
		n, err = r.Body.Read(buffer[size:min(len(buffer), size+pieces.Size)])
		size += n
		held.Progress(time.Now())
	}
	if err == nil {
		err = atEnd(r.Body)
	}
	switch {
	case err == io.EOF:
		return buffer[:size], 0, nil
	case gaveUp.Load():
		return nil, http.StatusServiceUnavailable, errNoMemory
	case errors.Is(err, errBodyTooLong):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", b.most)
	}
	return nil, http.StatusBadRequest, fmt.Errorf("reading the body: %w", err)
}

var errBodyTooLong = errors.New("more follows")

// atEnd is io.EOF if nothing more comes of a body.
func atEnd(body io.Reader) error {
	var one [1]byte
	n, err := body.Read(one[:])
	if n > 0 {
		return errBodyTooLong
	}
	return err
}
