package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// How late the generator itself may be before a run counts as invalid.
const (
	lateAfter = 20 * time.Millisecond  // a request begun so long after its time is late by the generator's own doing
	latePart  = 0.001                  // of the requests may be
	pauseOf   = 100 * time.Millisecond // the generator's own clock misses a beat by so much: it was stopped
	beat      = 10 * time.Millisecond
)

// Options of a run beside the plan.
type Options struct {
	Target   string // host:port, or unix:PATH
	Progress func(Progress)
}

// Progress is how a run stands.
type Progress struct {
	At, Of                 time.Duration
	Sent, Answered, Errors int64
	Open                   int64
	Rate                   float64 // answers in the last second
	P99                    time.Duration
}

type runner struct {
	p     *Plan
	o     Options
	start time.Time
	col   *collector
	open  atomic.Int64

	mu     sync.Mutex
	idle   []*wire
	tokens chan struct{} // nil: no cap
}

// wire is a connection to the target.
type wire struct {
	net.Conn
	r      *bufio.Reader
	broken error // how reading ended, if it did: a reader of lines takes half a line for one
}

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.broken = err
	return n, err
}

// Run sends a plan's arrivals, or a trace's, and waits for all answers. When
// ctx ends nothing more is sent and what is open is waited for.
func Run(ctx context.Context, p *Plan, from *Trace, o Options) (*Report, error) {
	r := &runner{p: p, o: o, col: newCollector(p)}
	if p.Connections.Most > 0 {
		r.tokens = make(chan struct{}, p.Connections.Most)
	}
	var src source = newStream(p)
	length := p.Length()
	if from != nil {
		src, length = from.source(p), from.Length()
	}
	probe, err := r.dial(ctx)
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", o.Target, err)
	}
	probe.Close()
	stopBeat := r.watch()
	r.start = time.Now()
	var all sync.WaitGroup
	progress := time.NewTicker(500 * time.Millisecond)
	defer progress.Stop()
	finished := make(chan struct{})
	if o.Progress != nil {
		go func() {
			for {
				select {
				case <-progress.C:
					o.Progress(r.col.progress(time.Since(r.start), length, r.open.Load()))
				case <-finished:
					return
				}
			}
		}()
	}
	ended := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !ended {
		a, ok := src.next()
		if !ok {
			break
		}
		r.col.intended(&a)
		if wait := time.Until(r.start.Add(a.At)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				ended = true
				r.col.cancelled(&a)
				continue
			}
		} else if ctx.Err() != nil {
			ended = true
			r.col.cancelled(&a)
			continue
		}
		if r.open.Load() >= int64(p.MostOpen) {
			r.col.unsent(&a)
			continue
		}
		r.open.Add(1)
		all.Go(func() {
			defer r.open.Add(-1)
			r.one(&a)
		})
	}
	all.Wait()
	pauses := stopBeat()
	close(finished)
	r.mu.Lock()
	for _, w := range r.idle {
		w.Close()
	}
	r.mu.Unlock()
	return r.col.report(p, o.Target, time.Since(r.start), pauses, ended), nil
}

// watch notes when this process itself was stopped: a stop, a long collection,
// a machine with no core to spare. A target's stall does not show here.
func (r *runner) watch() (stop func() []Pause) {
	done, out := make(chan struct{}), make(chan []Pause, 1)
	go func() {
		var pauses []Pause
		last := time.Now()
		tick := time.NewTicker(beat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				now := time.Now()
				if missed := now.Sub(last) - beat; missed > pauseOf && len(pauses) < 1000 {
					pauses = append(pauses, Pause{AtMS: float64(last.Sub(r.start)) / 1e6, ForMS: float64(missed) / 1e6})
				}
				last = now
			case <-done:
				out <- pauses
				return
			}
		}
	}()
	return func() []Pause {
		close(done)
		return <-out
	}
}

func (r *runner) dial(ctx context.Context) (*wire, error) {
	network, address := "tcp", r.o.Target
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, address = "unix", path
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: c}
	w.r = bufio.NewReader(w)
	return w, nil
}

// get finds a connection; fresh tells that it was dialled for this request.
func (r *runner) get(ctx context.Context) (w *wire, fresh bool, err error) {
	if r.tokens != nil {
		select {
		case r.tokens <- struct{}{}:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
	r.mu.Lock()
	if n := len(r.idle); n > 0 && !r.p.Connections.PerRequest {
		w = r.idle[n-1]
		r.idle = r.idle[:n-1]
	}
	r.mu.Unlock()
	if w != nil {
		return w, false, nil
	}
	if w, err = r.dial(ctx); err != nil {
		r.giveToken()
	}
	return w, true, err
}

func (r *runner) giveToken() {
	if r.tokens != nil {
		<-r.tokens
	}
}

func (r *runner) put(w *wire, keep bool) {
	if keep && !r.p.Connections.PerRequest {
		w.SetDeadline(time.Time{})
		r.mu.Lock()
		r.idle = append(r.idle, w)
		r.mu.Unlock()
	} else {
		w.Close()
	}
	r.giveToken()
}

// one sends a request, and again as its client would, until its final answer.
func (r *runner) one(a *Arrival) {
	c := &r.p.Classes[a.Class]
	intended := r.start.Add(a.At)
	began := time.Now()
	r.col.begun(began.Sub(intended))
	deadline := intended.Add(c.Deadline)
	for try := 0; ; try++ {
		id := fmt.Sprintf("%x-%d", r.p.Seed, a.Number)
		if try > 0 {
			id += fmt.Sprintf("-%d", try)
		}
		left := time.Until(deadline)
		out := r.attempt(a, c, id, try > 0, left)
		now := time.Now()
		again := (out.how == Refused || out.how == Failed) && try < c.Retries && now.Add(c.RetryWait).Before(deadline)
		if !again {
			r.col.ended(a, out, now.Sub(intended), now.Sub(began), now)
			return
		}
		r.col.retried()
		time.Sleep(max(c.RetryWait, min(out.advice, time.Until(deadline))))
	}
}

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes. Each is counted under its own name.
const (
	Answered    Outcome = iota // 1xx to 4xx, but 429
	Refused                    // 429 or 503: another try is harmless
	Failed                     // other 5xx
	TimedOut                   // nothing by its deadline
	Cut                        // the connection broke before the answer was whole
	Unconnected                // no connection came up
	Garbled                    // not this request's answer, or not one at all
	Left                       // its client went away by plan
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "refused", "failed", "timed_out", "cut", "unconnected", "garbled", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

type ending struct {
	how            Outcome
	status         int
	advice         time.Duration
	advised, twice bool
}

func (r *runner) attempt(a *Arrival, c *Class, id string, retry bool, left time.Duration) ending {
	if left <= 0 {
		return ending{how: TimedOut}
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	message := request(a, c, r.o.Target, id, retry, left)
	for {
		w, fresh, err := r.get(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ending{how: TimedOut}
			}
			return ending{how: Unconnected}
		}
		end, _ := ctx.Deadline()
		if a.Leaves {
			if leave := time.Now().Add(c.LeaveAfter); leave.Before(end) {
				end = leave
			}
		}
		w.SetDeadline(end)
		_, err = w.Write(message)
		var out ending
		var keep bool
		read := int64(0)
		if err == nil {
			out, keep, read, err = receive(w, a, c, id, r.p.CheckBody)
		}
		r.put(w, err == nil && keep)
		if err == nil {
			return out
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && a.Leaves && ctx.Err() == nil:
			return ending{how: Left}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ending{how: TimedOut}
		case errors.Is(err, errGarbled):
			return ending{how: Garbled}
		case !fresh && read == 0 && !errors.Is(err, errTorn):
			continue // it was closed between requests: once more on another
		}
		return ending{how: Cut}
	}
}

func request(a *Arrival, c *Class, host, id string, retry bool, left time.Duration) []byte {
	method, path := c.Method, strings.ReplaceAll(c.Path, "{key}", a.Key)
	if a.Method != "" {
		method, path = a.Method, a.Path
	}
	if strings.HasPrefix(host, "unix:") {
		host = "localhost"
	}
	b := make([]byte, 0, 256+c.Body)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n", method, path, host, id, c.Name, left.Seconds())
	if a.Tenant != "" {
		b = fmt.Appendf(b, "X-Tenant: %s\r\n", a.Tenant)
	}
	if c.IdemKey {
		b = fmt.Appendf(b, "Idempotency-Key: %x-%d\r\n", a.Key, a.Number)
	}
	if retry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	for _, h := range c.Headers {
		b = fmt.Appendf(b, "%s: %s\r\n", h[0], h[1])
	}
	if c.Body > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", c.Body)
	}
	b = append(b, "\r\n"...)
	for range c.Body {
		b = append(b, 'x')
	}
	return b
}

var (
	errGarbled = errors.New("not an answer to this request")
	errTorn    = errors.New("the answer is torn")
)

// receive reads one answer. The connection can be kept if nothing follows it.
func receive(w *wire, a *Arrival, c *Class, id string, checkBody bool) (out ending, keep bool, read int64, err error) {
	if _, err = w.r.Peek(1); err != nil {
		return out, false, 0, err
	}
	method := c.Method
	if a.Method != "" {
		method = a.Method
	}
	resp, err := http.ReadResponse(w.r, &http.Request{Method: method})
	if err != nil {
		if w.broken != nil {
			return out, false, 1, w.broken
		}
		return out, false, 1, fmt.Errorf("%w: %w", errGarbled, err)
	}
	var first [256]byte
	n, err := io.ReadFull(resp.Body, first[:])
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && resp.ContentLength < int64(len(first)) && (resp.ContentLength < 0 || int64(n) == resp.ContentLength) {
		err = nil
	}
	if err == nil && n == len(first) {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return out, false, 1, err
		}
		return out, false, 1, fmt.Errorf("%w: %w", errTorn, err)
	}
	if resp.ContentLength >= 0 && method != http.MethodHead && int64(n) < resp.ContentLength && n < len(first) {
		return out, false, 1, errTorn
	}
	out.status = resp.StatusCode
	if text := resp.Header.Get("Retry-After"); text != "" {
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && v < 3600 {
			out.advice, out.advised = time.Duration(v*float64(time.Second)), true
		}
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		out.how = Refused
	case resp.StatusCode >= 500:
		out.how = Failed
	case checkBody && resp.StatusCode == http.StatusOK && method != http.MethodHead && !strings.HasPrefix(string(first[:n]), id):
		out.how = Garbled
	}
	// What stands behind the answer already is a second one.
	if out.twice = w.r.Buffered() > 0; out.twice {
		return out, false, 1, nil
	}
	return out, !resp.Close, 1, nil
}
