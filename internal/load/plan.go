// Package load is an open-loop load generator: requests are sent at times
// fixed ahead of all answers, so that a target that stalls cannot slow them
// down, and latency counts from the intended time of sending.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"indigotack/internal/conf"
)

// Plan is what is sent.
type Plan struct {
	Name        string
	Seed        uint64
	Phases      []Phase
	Classes     []Class
	Tenants     []string
	Connections Connections
	MostOpen    int  // requests open at once; beyond it they are given up unsent, and counted
	CheckBody   bool // an answer's body must begin with the request's id
}

// Connections is the policy for connections to the target.
type Connections struct {
	PerRequest bool // a new one for each request
	Most       int  // at once; 0: as many as are wanted. Waiting for one counts as latency
}

// Shapes of a phase.
const (
	Constant = "constant" // Rate
	Ramp     = "ramp"     // from Rate to To, evenly
	Step     = "step"     // Rate, and To from the middle on
	Burst    = "burst"    // Rate, with To for the middle third
	Wave     = "wave"     // Rate, give or take To, in a sine of Period
)

// Phase is a stretch of arrivals. Phases follow one another; one with an At of
// its own is added to the others.
type Phase struct {
	Shape   string
	Regular bool // evenly spaced rather than at random (Poisson)
	Rate    float64
	To      float64
	Period  time.Duration
	For     time.Duration
	At      time.Duration // from the start of the run
}

// Class is a kind of request.
type Class struct {
	Name       string
	Share      float64
	Method     string
	Path       string // {key} is replaced by the request's key
	Headers    [][2]string
	Body       int // bytes
	Keys       int // how many keys there are; 0: a new one for each request
	Zipf       float64
	IdemKey    bool
	Deadline   time.Duration
	Retries    int // tries by the client itself after a refusal or failure
	RetryWait  time.Duration
	LeaveEarly float64       // part of the requests whose client goes away
	LeaveAfter time.Duration // so long after sending
	Aim        time.Duration // 0: none
}

// Bounds of a plan.
const (
	maxRequests = 50_000_000
	maxRate     = 1e6
)

// LoadPlan reads and checks a plan. The error, if there is one, is conf.Mistakes.
func LoadPlan(path string) (*Plan, error) { return readPlan(conf.ReadFile(path)) }

// ParsePlan is LoadPlan for a text.
func ParsePlan(file string, data []byte) (*Plan, error) { return readPlan(conf.Parse(file, data)) }

func readPlan(d *conf.Doc) (*Plan, error) {
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	s := d.Root()
	if s.Int("version", 0, 1, 1) == 0 && !s.Has("version") {
		s.Bad("version", "version = 1")
	}
	p := &Plan{Name: s.String("name", "load"), Seed: uint64(s.Int("seed", 1, 0, 1<<62)), Tenants: s.Strings("tenants"),
		MostOpen: s.Int("most_open", 20_000, 1, 1_000_000), CheckBody: s.Bool("check_body", false)}
	t := s.Table("connections")
	p.Connections = Connections{PerRequest: t.OneOf("policy", "kept", "kept", "per-request") == "per-request", Most: t.Int("most", 0, 0, 100_000)}
	t.End()
	at, total := time.Duration(0), 0.0
	for _, t := range s.Tables("phase") {
		ph := Phase{Shape: t.OneOf("shape", Constant, Constant, Ramp, Step, Burst, Wave), Regular: t.OneOf("arrivals", "poisson", "poisson", "regular") == "regular",
			Rate: t.Float("rate", 0, 0, maxRate), To: t.Float("to", 0, 0, maxRate), Period: t.Duration("period", 10*time.Second, time.Millisecond, time.Hour),
			For: t.Duration("for", 0, time.Millisecond, 24*time.Hour), At: t.Duration("at", 0, 0, 24*time.Hour)}
		if !t.Has("rate") {
			t.Bad("rate", "requests a second")
		}
		if !t.Has("for") {
			t.Bad("for", "how long the phase lasts")
		}
		if ph.Shape != Constant && !t.Has("to") {
			t.Bad("to", "the other rate of a %s", ph.Shape)
		}
		if ph.Shape == Wave && ph.To > ph.Rate {
			t.Bad("to", "at most the rate, %v: there are no less than no requests", ph.Rate)
		}
		if !t.Has("at") {
			ph.At = at
			at += ph.For
		}
		total += ph.sum(ph.For.Seconds())
		p.Phases = append(p.Phases, ph)
		t.End()
	}
	if total > maxRequests {
		s.Bad("phase", "at most %d requests in all, not %.0f", maxRequests, total)
	}
	for _, t := range s.Tables("class") {
		p.Classes = append(p.Classes, readClass(t))
	}
	s.End()
	if len(p.Phases) == 0 && len(d.Mistakes) == 0 {
		s.Bad("phase", "at least one [[phase]]")
	}
	if len(d.Mistakes) > 0 {
		return nil, d.Sorted()
	}
	if len(p.Classes) == 0 {
		p.Classes = []Class{{Name: "default", Share: 1, Method: http.MethodGet, Path: "/", Deadline: 5 * time.Second}}
	}
	return p, nil
}

func readClass(t *conf.Section) Class {
	defer t.End()
	c := Class{Name: t.String("name", ""), Share: t.Float("share", 1, 0, 1e6), Method: t.OneOf("method", "GET", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
		Path: t.String("path", "/"), Body: t.Int("body", 0, 0, 16<<20), Keys: t.Int("keys", 0, 0, 100_000_000), Zipf: t.Float("zipf", 0, 0, 10),
		IdemKey: t.Bool("idempotency_key", false), Deadline: t.Duration("deadline", 5*time.Second, time.Millisecond, time.Hour), Aim: t.Duration("aim", 0, 0, time.Hour),
		Retries: t.Int("retries", 0, 0, 10), RetryWait: t.Duration("retry_wait", 100*time.Millisecond, 0, time.Minute),
		LeaveEarly: t.Float("leave_early", 0, 0, 1), LeaveAfter: t.Duration("leave_after", 100*time.Millisecond, 0, time.Hour)}
	if c.Name == "" {
		t.Bad("name", "a name")
	}
	if !strings.HasPrefix(c.Path, "/") || strings.ContainsAny(c.Path, " \r\n") {
		t.Bad("path", "a path that begins with a slash, without spaces")
	}
	if c.Zipf > 0 && c.Keys == 0 {
		t.Bad("zipf", "keys = how many there are")
	}
	h := t.Table("headers")
	for _, name := range h.Keys() {
		value := h.String(name, "")
		if strings.ContainsAny(name+value, "\r\n:") && strings.ContainsAny(name, "\r\n: ") || strings.ContainsAny(value, "\r\n") {
			h.Bad(name, "a header's name and value")
		}
		c.Headers = append(c.Headers, [2]string{name, value})
	}
	return c
}

// sum is how many arrivals are expected in a phase's first t seconds.
func (ph *Phase) sum(t float64) float64 {
	whole := ph.For.Seconds()
	t = math.Min(t, whole)
	switch ph.Shape {
	case Ramp:
		return ph.Rate*t + (ph.To-ph.Rate)*t*t/(2*whole)
	case Step:
		return ph.Rate*math.Min(t, whole/2) + ph.To*math.Max(0, t-whole/2)
	case Burst:
		mid := math.Min(math.Max(0, t-whole/3), whole/3)
		return ph.Rate*(t-mid) + ph.To*mid
	case Wave:
		w := 2 * math.Pi / ph.Period.Seconds()
		return ph.Rate*t + ph.To/w*(1-math.Cos(w*t))
	}
	return ph.Rate * t
}

// Length is how long the plan's arrivals last.
func (p *Plan) Length() (d time.Duration) {
	for i := range p.Phases {
		d = max(d, p.Phases[i].At+p.Phases[i].For)
	}
	return d
}

// Arrival is one request to be sent.
type Arrival struct {
	Number int
	At     time.Duration // from the start of the run
	Class  int
	Key    string
	Tenant string
	Leaves bool
	Method string // of a trace; else the class's
	Path   string
}

// source gives arrivals in the order of their times; ok is false after the last.
type source interface {
	next() (a Arrival, ok bool)
}

// stream gives a plan's arrivals. It depends on the plan alone.
type stream struct {
	p      *Plan
	rng    *rand.Rand
	zipf   []*rand.Zipf
	shares float64
	number int
	phases []phaseStream
}

type phaseStream struct {
	*Phase
	rng  *rand.Rand
	at   float64 // the next arrival, seconds into the phase
	sum  float64 // of expected arrivals by then
	over bool
}

func newStream(p *Plan) *stream {
	s := &stream{p: p, rng: rand.New(rand.NewPCG(p.Seed, 1))}
	for _, c := range p.Classes {
		s.shares += c.Share
		var z *rand.Zipf
		if c.Zipf > 0 {
			z = rand.NewZipf(s.rng, math.Max(1.0001, c.Zipf), 1, uint64(max(1, c.Keys-1)))
		}
		s.zipf = append(s.zipf, z)
	}
	for i := range p.Phases {
		ps := phaseStream{Phase: &p.Phases[i], rng: rand.New(rand.NewPCG(p.Seed, uint64(i)+100))}
		ps.advance()
		s.phases = append(s.phases, ps)
	}
	return s
}

// advance finds the phase's next arrival: where the sum of expected ones has
// grown by 1, or by an exponential number (a Poisson process by time change).
func (ps *phaseStream) advance() {
	if ps.Regular {
		ps.sum++
	} else {
		ps.sum += ps.rng.ExpFloat64()
	}
	low, high := ps.at, ps.For.Seconds()
	if ps.Phase.sum(high) < ps.sum {
		ps.over = true
		return
	}
	for range 60 { // to well under a nanosecond
		mid := (low + high) / 2
		if ps.Phase.sum(mid) < ps.sum {
			low = mid
		} else {
			high = mid
		}
	}
	ps.at = high
}

func (s *stream) next() (Arrival, bool) {
	var first *phaseStream
	var at time.Duration
	for i := range s.phases {
		ps := &s.phases[i]
		if ps.over {
			continue
		}
		if t := ps.At + time.Duration(ps.at*float64(time.Second)); first == nil || t < at {
			first, at = ps, t
		}
	}
	if first == nil {
		return Arrival{}, false
	}
	first.advance()
	s.number++
	a := Arrival{Number: s.number, At: at}
	u := s.rng.Float64() * s.shares
	for i := range s.p.Classes {
		if a.Class = i; u < s.p.Classes[i].Share {
			break
		}
		u -= s.p.Classes[i].Share
	}
	c := &s.p.Classes[a.Class]
	switch {
	case s.zipf[a.Class] != nil:
		a.Key = fmt.Sprint("k", s.zipf[a.Class].Uint64())
	case c.Keys > 0:
		a.Key = fmt.Sprint("k", s.rng.IntN(c.Keys))
	default:
		a.Key = fmt.Sprintf("%x-%d", s.p.Seed, s.number)
	}
	if len(s.p.Tenants) > 0 {
		a.Tenant = s.p.Tenants[s.rng.IntN(len(s.p.Tenants))]
	}
	a.Leaves = c.LeaveEarly > 0 && s.rng.Float64() < c.LeaveEarly
	return a, true
}

// Faster makes the plan so many times as fast: times shrink and rates grow.
func (p *Plan) Faster(by float64) {
	for i := range p.Phases {
		ph := &p.Phases[i]
		ph.Rate, ph.To = ph.Rate*by, ph.To*by
		for _, d := range []*time.Duration{&ph.For, &ph.At, &ph.Period} {
			*d = time.Duration(float64(*d) / by)
		}
	}
}
