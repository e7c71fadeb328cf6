package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"indigotack/internal/pieces"
	"indigotack/internal/turns"
)

// framing refuses requests whose ends two readers could see in two places: one
// could hide another in its body, which the next reader would run. net/http drops a
// length where a transfer coding is there too, and drops the coding in HTTP/1.0, so
// what the connection's own head said is asked for. The connection of a request in
// chunks ends with its answer, as only net/http knows where the next one begins.
func framing(w http.ResponseWriter, r *http.Request) (int, error) {
	coded := len(r.TransferEncoding) > 0
	switch said, known := clientOf(r).framed(); {
	case !r.ProtoAtLeast(1, 1):
		return http.StatusHTTPVersionNotSupported, errors.New("want HTTP/1.1")
	case coded && !known:
		return http.StatusLengthRequired, errors.New("want Content-Length and no transfer coding")
	case coded && said.lengths > 0:
		return http.StatusBadRequest, errors.New("a transfer coding beside a Content-Length")
	case (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength != 0:
		return http.StatusBadRequest, fmt.Errorf("a %s with a body", r.Method)
	}
	if coded {
		w.Header().Set("Connection", "close")
	}
	return 0, nil
}

// target is a request's path and query, byte for byte.
func target(u *url.URL) *url.URL {
	return &url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
}

func seconds(s string) (time.Duration, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(v > 0) || math.IsInf(v, 0) { // NaN is not over 0 either
		return 0, fmt.Errorf("%v is no time to wait", v)
	}
	return time.Duration(math.Min(v, maxPatience.Seconds()) * float64(time.Second)), nil
}

// perHop lists the headers that concern one connection only.
var perHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Load", "X-Not-Run"}

// endToEnd copies the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(vital, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range perHop {
		out.Del(name)
	}
	return out
}

// vital headers stay, whatever a client's Connection header says: without
// them a server could not tell a repeat.
var vital = []string{"X-Request-Id", "Idempotency-Key"}

func (f *frontend) write(w http.ResponseWriter, r *http.Request, a answer) {
	began := time.Now()
	defer func() { f.stages.note(stageWritten, time.Since(began)) }()
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.times.write))
	h := w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if f.closing(r) { // maybe only since it was taken
		h.Set("Connection", "close")
	}
	if !a.served {
		clientOf(r).spend(turns.Refusal)
		a.body = pieces.Whole([]byte(http.StatusText(a.status) + "\n"))
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	defer a.body.Abandon()
	if a.holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.holdOff.Seconds(), 'f', 3, 64))
	}
	bodiless := a.status == http.StatusNoContent || a.status == http.StatusNotModified // RFC 9110, 15.3.5 and 15.4.5
	if length := a.contentLength(r.Method); length != "" && !bodiless {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(a.status)
	if !bodiless && r.Method != http.MethodHead {
		f.writeBody(w, a)
	}
}

// contentLength is the length to be told of an answer's body; "": none is.
func (a answer) contentLength(method string) string {
	switch {
	case a.served && method == http.MethodHead:
		return a.header.Get("Content-Length") // of the body that a GET would have got
	case !a.passed:
		return strconv.Itoa(a.body.Len())
	case a.length >= 0:
		return strconv.FormatInt(a.length, 10)
	}
	return ""
}

// writeBody passes a body on at its client's pace. The connection of one that breaks
// is cut, so that its client can tell.
func (f *frontend) writeBody(w http.ResponseWriter, a answer) {
	conn := http.NewResponseController(w)
	var gaveUp atomic.Bool
	a.body.Await(func() {
		gaveUp.Store(true)
		conn.SetWriteDeadline(longAgo) // fails only on a closed connection
	})
	for {
		piece, err := a.body.Next()
		if err == io.EOF {
			return
		}
		if err != nil {
			f.note(slog.LevelInfo, "answer cut", eventRequest, "answer_cut", "err", err)
			conn.Flush() // else its client would see no answer at all; a client that has gone sees nothing
			panic(http.ErrAbortHandler)
		}
		conn.SetWriteDeadline(time.Now().Add(f.times.write))
		if gaveUp.Load() {
			conn.SetWriteDeadline(longAgo)
		}
		if _, err := w.Write(piece); err != nil {
			panic(http.ErrAbortHandler) // the client has gone, or does not read
		}
		if a.passed && a.body.Len() == 0 {
			conn.Flush() // as above
		}
	}
}
