package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Class is one kind of request that clients send.
type Class struct {
	Name     string
	Share    float64 // of all requests
	Method   string
	Path     string // an id is added
	Keyed    bool   // with an Idempotency-Key
	Platform bool   // clients name class and deadline, as a platform's do
	Body     int    // bytes
	Aim      time.Duration
	Kind
}

// Result is what clients saw of one class.
type Result struct {
	Class                                      string
	Asked, InAim, Late, Refused, Failed, Wrong int
	Advised                                    int             // refusals with Retry-After
	Times                                      []time.Duration // of those served, from the intended sending
}

// Percentile is the time within which a part of the served requests were
// answered; 0 if there are none.
func (r *Result) Percentile(p float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Times))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Clients send requests at random times that do not wait for answers.
type Clients struct {
	Address string                                     // host:port; or
	Pick    func(*rand.Rand) (address string, ok bool) // where the next request goes; one that can go nowhere is not sent
	// PickOpen may name a node to which the next request goes on a connection
	// that is still open, if there is one; else Pick is asked. It may be nil.
	PickOpen func(*rand.Rand) (address string, ok bool)
	Classes  []Class
	Rate     float64 // requests a second
	Seed     uint64
	Leave    float64           // part of the requests whose client closes its connection at some moment of its deadline
	Patience time.Duration     // how long beyond the deadline an answer is waited for; 0: two seconds
	Ledger   *Ledger           // may be nil
	Told     func(ClientEvent) // hears of what clients do and see; may be nil, and must not block for long

	mu      sync.Mutex
	results map[string]*Result
	open    int
	again   *rand.Rand // of requests that are sent once more
}

// What clients tell of.
const (
	ClientAsks     = iota // a connection for the request is about to be looked for
	ClientAnswered        // it is over: how, after which time, and where it came from
	ClientTwice           // bytes came after the whole answer to it
)

// ClientEvent is what a client does or sees.
type ClientEvent struct {
	What      int
	ID, Class string
	To, From  string // addresses
	How       Answer
	Took      time.Duration
	Age       time.Duration // of the connection, as the request was asked; 0: a new one
}

// MaxOpen bounds the requests that clients hold at once.
const MaxOpen = 20_000

// Run sends requests for so long, or until ctx ends, and waits for all answers.
func (c *Clients) Run(ctx context.Context, length time.Duration) {
	rng := rand.New(rand.NewPCG(c.Seed, 7))
	c.mu.Lock()
	c.results, c.again = map[string]*Result{}, rand.New(rand.NewPCG(c.Seed, 8))
	total := 0.0
	for _, k := range c.Classes {
		c.results[k.Name] = &Result{Class: k.Name}
		total += k.Share
	}
	c.mu.Unlock()
	lines := &lines{idle: map[string][]*line{}, twice: func(l *line) {
		if c.Told != nil {
			c.Told(ClientEvent{What: ClientTwice, ID: l.last, To: l.to})
		}
		if c.Ledger != nil {
			c.Ledger.Answered(l.last, Garbled, 0)
		}
	}}
	defer lines.close()
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	next := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)))
		if next.Sub(start) > length {
			return
		}
		timer.Reset(time.Until(next))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		k, u := &c.Classes[0], rng.Float64()*total
		for i := range c.Classes {
			if k = &c.Classes[i]; u < k.Share {
				break
			}
			u -= k.Share
		}
		id := fmt.Sprintf("%08x-%06d", uint32(c.Seed), n)
		intended := next
		var open *line
		if c.PickOpen != nil {
			if to, ok := c.PickOpen(rng); ok {
				open = lines.take(to)
			}
		}
		to, ok := c.Address, true
		if open != nil {
			to = open.to
		} else if c.Pick != nil {
			to, ok = c.Pick(rng)
		}
		if ok {
			all.Go(func() { c.one(lines, k, id, to, open, intended) })
		}
	}
}

// one sends a request, on an open line if one is given, and judges its answer.
func (c *Clients) one(lines *lines, k *Class, id, to string, open *line, intended time.Time) {
	c.mu.Lock()
	c.open++
	full := c.open > MaxOpen
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
	}()
	if full {
		c.note(k, func(r *Result) { r.Wrong++ })
		return
	}
	leaveAt := time.Duration(0)
	if part(id+"leaves") < c.Leave {
		leaveAt = time.Duration(part(id+"when") * float64(k.Deadline))
	}
	how, advised := c.ask(lines, k, id, to, open, false, leaveAt)
	if how == Crossed {
		if c.Pick != nil { // where it takes new connections
			c.mu.Lock()
			if next, ok := c.Pick(c.again); ok {
				to = next
			}
			c.mu.Unlock()
		}
		how, advised = c.ask(lines, k, id+"-again", to, nil, true, leaveAt)
	}
	waited := time.Since(intended)
	c.note(k, func(r *Result) {
		switch how {
		case Served:
			r.Times = append(r.Times, waited)
			if waited <= k.Aim {
				r.InAim++
			} else {
				r.Late++
			}
		case Refused:
			r.Refused++
			if advised {
				r.Advised++
			}
		case Failed:
			r.Failed++
		default:
			r.Wrong++ // its id is in the ledger's account
		}
	})
}

func (c *Clients) note(k *Class, f func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.results[k.Name]
	r.Asked++
	f(r)
}

const (
	// patience is what a client waits beyond the deadline, to see whether an answer comes after all.
	patience = 2 * time.Second

	// A request crosses with the end of its connection if it hears of that so
	// soon; later the connection had been read.
	crossTime = 100 * time.Millisecond

	lineIdle = 3 * time.Second // a connection that has been idle for longer is not used again
)

// ask sends a request once and waits for its answer, until it leaves after
// leaveAt; 0: it does not.
func (c *Clients) ask(lines *lines, k *Class, id, to string, open *line, anew bool, leaveAt time.Duration) (how Answer, advised bool) {
	event := ClientEvent{ID: id, Class: k.Name, To: to}
	tell := func(what int) {
		if event.What = what; c.Told != nil {
			c.Told(event)
		}
	}
	if c.Ledger != nil {
		c.Ledger.Asked(id, k.Kind)
	}
	sent := time.Now()
	end := sent.Add(k.Deadline + cmp.Or(c.Patience, patience))
	tell(ClientAsks)
	l, err := open, error(nil)
	if l == nil {
		l, err = lines.get(to, end, anew)
	}
	if err != nil {
		how = Unreached
	} else {
		event.From = l.LocalAddr().String()
		event.Age = max(0, sent.Sub(l.made))
		until := end
		if leaveAt > 0 {
			until = sent.Add(leaveAt)
		}
		if how, advised = l.ask(k, id, until); how == Lost && leaveAt > 0 && !time.Now().Before(until) {
			l.Close() // what is noted as the time of its leaving must not be before it
			how = Left
		}
	}
	event.How, event.Took = how, time.Since(sent)
	tell(ClientAnswered)
	switch {
	case c.Ledger == nil:
	case how == Crossed:
		c.Ledger.Withdrawn(id)
	case how == Left: // nothing is owed to it
	default:
		c.Ledger.Answered(id, how, event.Took)
	}
	if err == nil && how <= Failed && !l.over {
		lines.put(l)
	} else if err == nil {
		l.Close()
	}
	return how, advised
}

// line is a client's connection.
type line struct {
	net.Conn
	to     string
	made   time.Time
	r      *bufio.Reader
	last   string // the request that it carried last; "" if none
	over   bool   // its end has been announced
	idleAt time.Time
}

// ask sends a request on the line and reads its answer.
func (l *line) ask(k *Class, id string, end time.Time) (how Answer, advised bool) {
	used := l.last != ""
	l.last = id
	l.SetDeadline(end) // fails only on a closed connection, as writing does
	var body io.Reader
	if k.Body > 0 {
		body = bytes.NewReader(make([]byte, k.Body))
	}
	req, err := http.NewRequest(k.Method, "http://"+l.to+k.Path+"/"+id, body)
	if err != nil {
		return Lost, false
	}
	req.Header.Set("X-Request-Id", id)
	if k.Platform {
		req.Header.Set("X-Class", k.Name)
		req.Header.Set("X-Deadline", strconv.FormatFloat(k.Deadline.Seconds(), 'f', 3, 64))
	}
	if k.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return Lost, false
	}
	sent := time.Now()
	lost := func(err error) (Answer, bool) {
		if used && time.Since(sent) < crossTime && !errors.Is(err, os.ErrDeadlineExceeded) {
			return Crossed, false
		}
		return Lost, false
	}
	if _, err := l.Write(text.Bytes()); err != nil {
		return lost(err)
	}
	if _, err := l.r.Peek(1); err != nil {
		return lost(err)
	}
	resp, err := http.ReadResponse(l.r, req)
	if err != nil {
		return Lost, false
	}
	got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return Lost, false
	}
	l.over = resp.Close
	switch {
	case resp.StatusCode == http.StatusOK && strings.HasPrefix(string(got), id+" "):
		return Served, false
	case resp.StatusCode == http.StatusOK:
		return Garbled, false
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Refused, resp.Header.Get("Retry-After") != ""
	}
	return Failed, false
}

// spoke tells whether something came on an idle line, and whether it has ended.
func (l *line) spoke() (spoke, ended bool) {
	if l.r.Buffered() > 0 {
		return true, false
	}
	raw, err := l.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		spoke, ended = n > 0, n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	return spoke, ended || err != nil
}

// lines are clients' connections that carry nothing, by their addresses.
type lines struct {
	twice func(*line)

	mu   sync.Mutex
	idle map[string][]*line // the one used last comes last
}

// get finds an idle connection, or makes a new one.
func (s *lines) get(to string, end time.Time, anew bool) (*line, error) {
	if !anew {
		if l := s.take(to); l != nil {
			return l, nil
		}
	}
	c, err := net.DialTimeout("tcp", to, time.Until(end))
	if err != nil {
		return nil, err
	}
	return &line{Conn: c, to: to, made: time.Now(), r: bufio.NewReader(c)}, nil
}

// take gives an idle connection that is still good; nil if there is none.
func (s *lines) take(to string) *line {
	for {
		s.mu.Lock()
		var l *line
		if all := s.idle[to]; len(all) > 0 {
			l = all[len(all)-1]
			s.idle[to] = all[:len(all)-1]
		}
		s.mu.Unlock()
		if l == nil || s.sound(l) && time.Since(l.idleAt) < lineIdle {
			return l
		}
		l.Close()
	}
}

func (s *lines) sound(l *line) bool {
	spoke, ended := l.spoke()
	if spoke {
		s.twice(l)
	}
	return !spoke && !ended
}

func (s *lines) put(l *line) {
	l.idleAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[l.to] = append(s.idle[l.to], l)
}

func (s *lines) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, all := range s.idle {
		for _, l := range all {
			s.sound(l)
			l.Close()
		}
	}
}

// Results is what was seen so far, in the classes' order, and how many requests are open.
func (c *Clients) Results() (results []Result, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.Classes {
		if r := c.results[k.Name]; r != nil {
			one := *r
			one.Times = slices.Clone(r.Times)
			results = append(results, one)
		}
	}
	return results, c.open
}

// Get asks once on a connection of its own and returns the status; 0 if no answer came.
func Get(url string) int {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Ready waits until a node answers 200 at its page for that, ten seconds at the most.
func Ready(ctx context.Context, url string) error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if Get(url) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not get ready", url)
}
