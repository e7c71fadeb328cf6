package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServerConfig is what a stand-in web server is like.
type ServerConfig struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64       // of a core; 1 does one second of work a second
	Queue            int           // requests that may wait; beyond it they are turned away unseen
	ColdFrom         float64       // part of its capacity that it starts with
	ColdTime         time.Duration // after which it has all of it
	CrowdedFrom      float64       // requests held a core, beyond which it slows down
	Crowding         float64       // by this part for each further one a core
	OverloadFactor   float64       // sent more than this many times its capacity when cold, it falls over
	OverloadTime     time.Duration // within such a window
	DrainGrace       time.Duration
	Work             func(class, id string) time.Duration // of one request, at speed 1
	MeanWork         float64                              // seconds at speed 1; if set, what a cold server is sent is counted in requests
	Listen           string                               // address; "" for any port
	Started          time.Time                            // when it started; the zero time: long ago, and so warm
	Witness          Witness                              // may be nil
}

// Server is a stand-in web server. It answers 200 with a body that begins with
// the request's id, 503 with X-Not-Run where it has no room, and tells its load
// in X-Load. Its capacity is real time: it sleeps rather than computes.
type Server struct {
	cfg   ServerConfig
	srv   *http.Server
	ln    net.Listener
	addr  string
	cores chan struct{}

	mu       sync.Mutex
	held     int
	waiting  int
	started  time.Time // the zero time: long ago
	slow     float64   // factor on its times
	errors   float64   // part of its answers that are errors
	hang     chan struct{}
	drained  time.Time
	sent     []sending // while cold: work of the last window
	counts   int
	conns    map[net.Conn]bool
	fellOver bool
}

type sending struct {
	at   time.Time
	work float64
}

// StartServer starts a server.
func StartServer(cfg ServerConfig) (*Server, error) {
	s := &Server{cfg: cfg, cores: make(chan struct{}, max(1, cfg.Cores)), slow: 1, started: cfg.Started}
	return s, s.listen(cmp.Or(cfg.Listen, "127.0.0.1:0"))
}

func (s *Server) listen(at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	s.ln, s.addr = ln, ln.Addr().String()
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second,
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if st == http.StateNew {
				s.conns[c] = true
			} else if st == http.StateClosed || st == http.StateHijacked {
				delete(s.conns, c)
			}
		}}
	s.conns = map[net.Conn]bool{}
	go s.srv.Serve(ln)
	return nil
}

// Entry is the server as discovery lists it.
func (s *Server) Entry(status string) Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Entry{Name: s.cfg.Name, Address: s.addr, Zone: s.cfg.Zone, Kind: s.cfg.Kind, Cell: s.cfg.Cell, Status: status, Weight: s.cfg.Speed * float64(s.cfg.Cores)}
	if !s.started.IsZero() {
		e.SinceMS = s.started.UnixMilli()
	}
	return e
}

// Name is the server's name.
func (s *Server) Name() string { return s.cfg.Name }

// Count is how many requests have come since the last call.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts
	s.counts = 0
	return n
}

// Slow makes all its work take so many times longer; 1 ends that.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Fail makes a part of its answers errors (500) of requests that have run.
func (s *Server) Fail(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = part
}

// Hang makes it take requests and say nothing, until it is called with false.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.hang == nil {
		s.hang = make(chan struct{})
	} else if !on && s.hang != nil {
		close(s.hang)
		s.hang = nil
	}
}

// Drain notes that it was listed as draining just now; what comes later than the grace is told to the ledger.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
}

// Kill ends it as a process dies: connections are reset and new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a reset rather than an end; fails only on a closed connection
		}
	}
	s.mu.Unlock()
	s.srv.Close()
}

// Restart starts it again after Kill, at its old address and cold.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.started, s.sent, s.drained, s.slow = time.Now(), nil, time.Time{}, 1
	s.mu.Unlock()
	return s.listen(s.addr)
}

// Close ends it.
func (s *Server) Close() error {
	s.Hang(false)
	s.mu.Lock()
	watched := !s.drained.IsZero() && s.cfg.Witness != nil
	s.mu.Unlock()
	if watched {
		s.cfg.Witness.Watched()
	}
	return s.srv.Close()
}

// capacity is seconds of work a second that it can do now. The caller holds mu.
func (s *Server) capacity(now time.Time) (capacity float64, cold bool) {
	full := float64(s.cfg.Cores) * s.cfg.Speed
	if s.started.IsZero() || s.cfg.ColdTime <= 0 {
		return full, false
	}
	part := now.Sub(s.started).Seconds() / s.cfg.ColdTime.Seconds()
	if part >= 1 {
		return full, false
	}
	return full * (s.cfg.ColdFrom + (1-s.cfg.ColdFrom)*part), true
}

// take notes a request that has come; false means that there is no room for it.
func (s *Server) take(now time.Time, work time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts++
	if !s.drained.IsZero() && s.cfg.Witness != nil {
		s.cfg.Witness.Drained(s.cfg.Name, now.Sub(s.drained), s.cfg.DrainGrace)
	}
	if capacity, cold := s.capacity(now); cold && s.cfg.OverloadFactor > 0 {
		s.sent = append(s.sent, sending{now, work.Seconds()})
		sum, largest := 0.0, 0.0
		for len(s.sent) > 0 && now.Sub(s.sent[0].at) > s.cfg.OverloadTime {
			s.sent = s.sent[1:]
		}
		for _, one := range s.sent {
			sum, largest = sum+one.work, math.Max(largest, one.work)
		}
		most := s.cfg.OverloadFactor*capacity*s.cfg.OverloadTime.Seconds() + largest // the last one may be a large one by chance
		if s.cfg.MeanWork > 0 {
			// By number, with what chance adds to a number.
			n := s.cfg.OverloadFactor * capacity * s.cfg.OverloadTime.Seconds() / s.cfg.MeanWork
			sum, most = float64(len(s.sent)), slowStartMost(n)
		}
		if s.cfg.Witness != nil {
			s.cfg.Witness.Cold(s.cfg.Name, sum, most)
		}
		s.fellOver = s.fellOver || sum > most
	}
	if s.held >= s.cfg.Cores+s.cfg.Queue || s.fellOver {
		return false
	}
	s.held++
	s.waiting++
	return true
}

// slowStartMost is how many requests of mean work a cold server bears that may
// have n by its settings, with what chance adds to a number.
func slowStartMost(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its last byte has not come
	}
	now, id := time.Now(), r.Header.Get("X-Request-Id")
	class := strings.TrimPrefix(r.URL.Path, "/")
	class, _, _ = strings.Cut(class, "/")
	var work time.Duration
	if s.cfg.Work != nil {
		work = s.cfg.Work(class, id)
	}
	if l := s.cfg.Witness; l != nil {
		number := l.Begin(id, r.RemoteAddr, now)
		if d, ok := l.(DeadlineWitness); ok {
			if left, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil {
				d.Left(id, time.Duration(left*float64(time.Second)))
			}
		}
		over := context.AfterFunc(r.Context(), func() { l.End(id, number, time.Now()) })
		defer func() {
			if over() {
				l.End(id, number, time.Now())
			}
		}()
	}
	if !s.take(now, work) {
		s.load(w)
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	err := s.work(r.Context(), id, work)
	s.load(w)
	switch {
	case errors.Is(err, errOwn):
		http.Error(w, "error", http.StatusInternalServerError)
	case err == nil:
		fmt.Fprintf(w, "%s %s\n", id, s.cfg.Name)
	}
}

var errOwn = errors.New("an error of the server's own")

// work waits for a core and uses it. An error means that there is no answer to give.
func (s *Server) work(ctx context.Context, id string, work time.Duration) error {
	defer func() {
		s.mu.Lock()
		s.held--
		s.mu.Unlock()
	}()
	select {
	case s.cores <- struct{}{}:
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		defer func() { <-s.cores }()
	case <-ctx.Done(): // given up while it waited: it has not run
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		return ctx.Err()
	}
	now := time.Now()
	if s.cfg.Witness != nil {
		s.cfg.Witness.Ran(id, s.cfg.Zone, s.cfg.Cell, now)
	}
	s.mu.Lock()
	capacity, _ := s.capacity(now)
	cores := math.Max(1, float64(s.cfg.Cores))
	crowd := 1 + s.cfg.Crowding*math.Max(0, float64(s.held)/cores-s.cfg.CrowdedFrom)
	lasts := work.Seconds() * s.slow * crowd * cores / math.Max(capacity, 1e-9)
	hang, fails := s.hang, part(id) < s.errors
	s.mu.Unlock()
	if hang != nil {
		select {
		case <-hang:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	// Work that its client has given up goes on, as most servers' does.
	time.Sleep(time.Duration(lasts * float64(time.Second)))
	if fails {
		return errOwn
	}
	return nil
}

func (s *Server) load(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Load", fmt.Sprintf("inflight=%d,queue=%d", s.held, s.waiting))
}

// part is a number in [0,1) that an id always has.
func part(id string) float64 {
	h := fnv.New64a()
	io.WriteString(h, id) // never fails
	z := h.Sum64()
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// Lognormal gives the work of requests with a mean and a spread (standard
// deviation over mean), the same for the same id.
func Lognormal(mean time.Duration, cv float64, id string) time.Duration {
	u1, u2 := math.Max(part(id+"a"), 1e-12), part(id+"b")
	normal := math.Sqrt(-2*math.Log(u1)) * math.Cos(2*math.Pi*u2)
	sigma2 := math.Log(1 + cv*cv)
	return time.Duration(float64(mean) * math.Exp(math.Sqrt(sigma2)*normal-sigma2/2))
}
