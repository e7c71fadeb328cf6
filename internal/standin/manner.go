package standin

import (
	"context"
	"net/http"
	"time"

	"indigotack/internal/clock"
)

// Ending is how an agent's answer to one call ends, other than whole.
type Ending string

// The endings.
const (
	Whole       Ending = ""              // the answer comes whole
	Silent      Ending = "silent"        // the call is taken, and nothing is ever said
	StopsInHead Ending = "stops_in_head" // the answer's head comes, and nothing behind it
	StopsInBody Ending = "stops_in_body" // half of the body comes, and nothing behind it
	CutInBody   Ending = "cut_in_body"   // half of the body comes, and the connection ends
	Trickles    Ending = "trickles"      // white space comes in front of the body, again and again
	Reset       Ending = "reset"         // the connection ends without an answer
	Unavailable Ending = "unavailable"   // the answer is 503
)

const (
	trickleEvery = 100 * time.Millisecond
	answerParts  = 20 // of an answer that comes over some time
)

// Manner is how an agent answers one call.
type Manner struct {
	After time.Duration // since the call began, before the first byte of the answer
	Over  time.Duration // from the first part of the answer to the last
	End   Ending
}

// speaks tells whether any part of the list is ever written.
func (m Manner) speaks() bool {
	return m.End == Whole || m.End == StopsInBody || m.End == CutInBody
}

// Answer writes a list as the answer to a call that began at a time, and tells
// whether all of it was written. What stops comes back when the caller has gone.
func (m Manner) Answer(w http.ResponseWriter, r *http.Request, began time.Time, list []byte) (whole bool) {
	ctx := r.Context()
	if !clock.Sleep(ctx, time.Until(began.Add(m.After))) {
		return false
	}
	switch m.End {
	case Silent:
		<-ctx.Done()
	case StopsInHead:
		w.WriteHeader(http.StatusOK)
		flush(w)
		<-ctx.Done()
	case Trickles:
		for clock.Sleep(ctx, trickleEvery) && write(w, []byte(" ")) {
		}
	case Reset:
		panic(http.ErrAbortHandler)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case StopsInBody:
		write(w, list[:len(list)/2])
		<-ctx.Done()
	case CutInBody:
		write(w, list[:len(list)/2])
		panic(http.ErrAbortHandler)
	default:
		return m.inParts(ctx, w, list)
	}
	return false
}

// inParts writes a list over the manner's time.
func (m Manner) inParts(ctx context.Context, w http.ResponseWriter, list []byte) (whole bool) {
	if m.Over == 0 {
		return write(w, list)
	}
	size := max(1, (len(list)+answerParts-1)/answerParts)
	for len(list) > 0 {
		n := min(size, len(list))
		if !write(w, list[:n]) || !clock.Sleep(ctx, m.Over/answerParts) {
			return false
		}
		list = list[n:]
	}
	return true
}

func write(w http.ResponseWriter, b []byte) bool {
	_, err := w.Write(b)
	return err == nil && flush(w)
}

func flush(w http.ResponseWriter) bool { return http.NewResponseController(w).Flush() == nil }
