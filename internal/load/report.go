package load

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The histograms hold 1 us to 2 h with three digits.
const (
	leastTime = 1
	mostTime  = int64(2 * time.Hour / time.Microsecond)
	digits    = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastTime, mostTime, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(leastTime, int64(d/time.Microsecond)), mostTime)) // within its bounds, so that it can't fail
}

// Times are percentiles in milliseconds. Where nothing was measured all are 0
// and Count says so.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Max   float64 `json:"max"`
}

func timesOf(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Times{}
	}
	return Times{h.TotalCount(), at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1000}
}

// Pause is a stretch in which the generator itself did not run.
type Pause struct {
	AtMS  float64 `json:"at_ms"`
	ForMS float64 `json:"for_ms"`
}

// Second is one second of a run.
type Second struct {
	Intended int64   `json:"intended"`
	Answered int64   `json:"answered"`
	Errors   int64   `json:"errors"`
	Open     int64   `json:"open"`
	P99      float64 `json:"p99_ms"`
	hist     *hdrhistogram.Histogram
}

// ClassReport is what became of one class.
type ClassReport struct {
	Name     string           `json:"name"`
	Intended int64            `json:"intended"`
	Outcomes map[string]int64 `json:"outcomes"`
	InAim    int64            `json:"in_aim"`
	Latency  Times            `json:"latency_ms"`
	Hist     string           `json:"latency_histogram"`
	hist     *hdrhistogram.Histogram
}

// Report is what a run showed. Latency counts from the intended time of
// sending, service from the real one. Both hold every request that was sent
// and not left by its client: what timed out or broke with the time until then.
type Report struct {
	Name       string           `json:"name"`
	Target     string           `json:"target"`
	Seed       uint64           `json:"seed"`
	DurationS  float64          `json:"duration_s"`
	Intended   int64            `json:"intended"`
	Sent       int64            `json:"sent"`
	Answered   int64            `json:"answered"` // whole final answers, refusals and failures among them
	Errors     int64            `json:"errors"`   // failed, timed out, cut, not connected, garbled, unsent
	Valid      bool             `json:"valid"`    // the generator kept up
	Invalid    []string         `json:"invalid,omitempty"`
	Stopped    bool             `json:"stopped"` // ended early by order
	Latency    Times            `json:"latency_ms"`
	Service    Times            `json:"service_ms"`
	Outcomes   map[string]int64 `json:"outcomes"`
	Unsent     int64            `json:"unsent"`     // too many were open; in no percentile
	Cancelled  int64            `json:"cancelled"`  // the run was ended first; in no percentile
	Twice      int64            `json:"twice"`      // answers with more behind them
	PastEnd    int64            `json:"past_end"`   // answers after their deadlines
	Unadvised  int64            `json:"unadvised"`  // refusals that advise no wait
	Retries    int64            `json:"retries"`    // by clients
	LateSends  int64            `json:"late_sends"` // begun late by the generator's own doing
	WorstLate  float64          `json:"worst_late_ms"`
	Pauses     []Pause          `json:"pauses,omitempty"`
	Classes    []ClassReport    `json:"classes"`
	Seconds    []Second         `json:"seconds"`
	LatencyHDR string           `json:"latency_histogram"`
	ServiceHDR string           `json:"service_histogram"`

	latency, service *hdrhistogram.Histogram
}

type collector struct {
	mu      sync.Mutex
	rep     Report
	classes []*ClassReport
	aims    []time.Duration
	ends    []time.Duration
	open    int64
}

// A run longer than this is told by its first seconds alone, second by second.
const maxSeconds = 24 * 3600

func newCollector(p *Plan) *collector {
	c := &collector{rep: Report{Outcomes: map[string]int64{}, latency: newHistogram(), service: newHistogram()}}
	for _, k := range p.Classes {
		c.classes = append(c.classes, &ClassReport{Name: k.Name, Outcomes: map[string]int64{}, hist: newHistogram()})
		c.aims, c.ends = append(c.aims, k.Aim), append(c.ends, k.Deadline)
	}
	return c
}

// second finds the second that a time belongs to. The caller holds mu.
func (c *collector) second(at time.Duration) *Second {
	n := min(int(at/time.Second), maxSeconds-1)
	for len(c.rep.Seconds) <= n {
		c.rep.Seconds = append(c.rep.Seconds, Second{Open: c.open})
	}
	s := &c.rep.Seconds[n]
	s.Open = max(s.Open, c.open)
	return s
}

func (c *collector) intended(a *Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Intended++
	c.classes[a.Class].Intended++
	c.second(a.At).Intended++
}

func (c *collector) unsent(a *Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Unsent++
	c.rep.Errors++
	c.classes[a.Class].Outcomes["unsent"]++
	c.second(a.At).Errors++
}

func (c *collector) cancelled(a *Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Cancelled++
	c.classes[a.Class].Outcomes["cancelled"]++
}

func (c *collector) begun(late time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Sent++
	c.open++
	if late > lateAfter {
		c.rep.LateSends++
	}
	c.rep.WorstLate = math.Max(c.rep.WorstLate, float64(late)/1e6)
}

func (c *collector) retried() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Retries++
}

func (c *collector) ended(a *Arrival, e ending, latency, service time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	k := c.classes[a.Class]
	k.Outcomes[e.how.String()]++
	c.rep.Outcomes[e.how.String()]++
	s := c.second(a.At + latency)
	switch e.how {
	case Answered, Refused, Failed:
		c.rep.Answered++
		s.Answered++
		if latency > c.ends[a.Class] {
			c.rep.PastEnd++
		}
		if e.how == Answered && (c.aims[a.Class] == 0 || latency <= c.aims[a.Class]) {
			k.InAim++
		}
		if e.how == Refused && !e.advised {
			c.rep.Unadvised++
		}
	}
	switch e.how {
	case Answered, Refused, Left:
	default:
		c.rep.Errors++
		s.Errors++
	}
	if e.twice {
		c.rep.Twice++
	}
	if e.how == Left {
		return
	}
	record(c.rep.latency, latency)
	record(c.rep.service, service)
	record(k.hist, latency)
	if s.hist == nil {
		s.hist = hdrhistogram.New(leastTime, mostTime, 2)
	}
	record(s.hist, latency)
	c.settle(a.At + latency)
}

// settle closes the histograms of seconds long past, which would otherwise grow with the run.
func (c *collector) settle(at time.Duration) {
	for i := int(at/time.Second) - 120; i >= 0 && i < len(c.rep.Seconds) && c.rep.Seconds[i].hist != nil; i-- {
		c.rep.Seconds[i].close()
	}
}

func (s *Second) close() {
	if s.hist != nil {
		s.P99 = float64(s.hist.ValueAtQuantile(99)) / 1000
		s.hist = nil
	}
}

func (c *collector) progress(at, of time.Duration, open int64) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Progress{At: min(at, of), Of: of, Sent: c.rep.Sent, Answered: c.rep.Answered, Errors: c.rep.Errors, Open: open,
		P99: time.Duration(c.rep.latency.ValueAtQuantile(99)) * time.Microsecond}
	if n := int(at/time.Second) - 1; n >= 0 && n < len(c.rep.Seconds) {
		p.Rate = float64(c.rep.Seconds[n].Answered)
	}
	return p
}

func (c *collector) report(p *Plan, target string, took time.Duration, pauses []Pause, stopped bool) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.rep
	r.Name, r.Target, r.Seed, r.DurationS, r.Pauses, r.Stopped = p.Name, target, p.Seed, took.Seconds(), pauses, stopped
	for _, k := range c.classes {
		r.Classes = append(r.Classes, *k)
	}
	r.finish()
	return r
}

// finish fills in what follows from the rest.
func (r *Report) finish() {
	for i := range r.Seconds {
		r.Seconds[i].close()
	}
	r.Invalid = nil
	if part := float64(r.LateSends) / math.Max(1, float64(r.Sent)); part > latePart {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d of %d requests were begun over %v late by the generator itself", r.LateSends, r.Sent, lateAfter))
	}
	if len(r.Pauses) > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("the generator itself did not run %d times, the first for %.0f ms", len(r.Pauses), r.Pauses[0].ForMS))
	}
	if r.Unsent > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d requests were given up unsent, as too many were open", r.Unsent))
	}
	r.Valid = len(r.Invalid) == 0
	r.Latency, r.Service = timesOf(r.latency), timesOf(r.service)
	r.LatencyHDR, r.ServiceHDR = pack(r.latency), pack(r.service)
	for i := range r.Classes {
		k := &r.Classes[i]
		k.Latency, k.Hist = timesOf(k.hist), pack(k.hist)
	}
}

func pack(h *hdrhistogram.Histogram) string {
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return base64.StdEncoding.EncodeToString(b)
}

func unpack(s string) (*hdrhistogram.Histogram, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, err
	}
	return hdrhistogram.Decode(b)
}

// ReadReport reads a report that Write has written.
func ReadReport(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.latency, err = unpack(r.LatencyHDR); err == nil {
		r.service, err = unpack(r.ServiceHDR)
	}
	for i := range r.Classes {
		if err == nil {
			r.Classes[i].hist, err = unpack(r.Classes[i].Hist)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: histogram: %w", path, err)
	}
	return r, nil
}

// Write writes the report as JSON.
func (r *Report) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Merge adds reports of several processes that ran at the same time; the
// histograms are added count by count.
func Merge(all []*Report) (*Report, error) {
	if len(all) == 0 {
		return nil, errors.New("no reports")
	}
	out := &Report{Name: all[0].Name, Target: all[0].Target, Outcomes: map[string]int64{}, latency: newHistogram(), service: newHistogram()}
	byName := map[string]int{}
	for _, r := range all {
		out.DurationS = math.Max(out.DurationS, r.DurationS)
		out.Intended, out.Sent, out.Answered, out.Errors = out.Intended+r.Intended, out.Sent+r.Sent, out.Answered+r.Answered, out.Errors+r.Errors
		out.Unsent, out.Cancelled, out.Twice, out.PastEnd = out.Unsent+r.Unsent, out.Cancelled+r.Cancelled, out.Twice+r.Twice, out.PastEnd+r.PastEnd
		out.Unadvised, out.Retries, out.LateSends = out.Unadvised+r.Unadvised, out.Retries+r.Retries, out.LateSends+r.LateSends
		out.WorstLate, out.Stopped = math.Max(out.WorstLate, r.WorstLate), out.Stopped || r.Stopped
		out.Pauses = append(out.Pauses, r.Pauses...)
		add(out.Outcomes, r.Outcomes)
		if out.latency.Merge(r.latency)+out.service.Merge(r.service) > 0 {
			return nil, errors.New("histograms of other bounds")
		}
		for _, k := range r.Classes {
			i, known := byName[k.Name]
			if !known {
				i = len(out.Classes)
				byName[k.Name] = i
				out.Classes = append(out.Classes, ClassReport{Name: k.Name, Outcomes: map[string]int64{}, hist: newHistogram()})
			}
			o := &out.Classes[i]
			o.Intended, o.InAim = o.Intended+k.Intended, o.InAim+k.InAim
			add(o.Outcomes, k.Outcomes)
			o.hist.Merge(k.hist)
		}
		for i, s := range r.Seconds {
			if i == len(out.Seconds) {
				out.Seconds = append(out.Seconds, Second{})
			}
			o := &out.Seconds[i]
			o.Intended, o.Answered, o.Errors, o.Open = o.Intended+s.Intended, o.Answered+s.Answered, o.Errors+s.Errors, o.Open+s.Open
			o.P99 = math.Max(o.P99, s.P99) // percentiles cannot be added: the worst is told
		}
	}
	out.finish()
	return out, nil
}

func add(to, from map[string]int64) {
	for k, n := range from {
		to[k] += n
	}
}

// Table prints a report for a terminal.
func (r *Report) Table(w io.Writer) {
	fmt.Fprintf(w, "%s against %s for %.1f s: %d intended, %d sent, %d answered, %d errors\n", r.Name, r.Target, r.DurationS, r.Intended, r.Sent, r.Answered, r.Errors)
	fmt.Fprintf(w, "%-14s %9s %9s %9s %9s %9s %9s\n", "ms", "count", "p50", "p90", "p99", "p99.9", "max")
	row := func(name string, t Times) {
		if t.Count == 0 {
			fmt.Fprintf(w, "%-14s %9d %9s %9s %9s %9s %9s\n", name, 0, "-", "-", "-", "-", "-")
			return
		}
		fmt.Fprintf(w, "%-14s %9d %9.2f %9.2f %9.2f %9.2f %9.2f\n", name, t.Count, t.P50, t.P90, t.P99, t.P999, t.Max)
	}
	row("latency", r.Latency)
	row("service", r.Service)
	for _, k := range r.Classes {
		row("  "+k.Name, k.Latency)
	}
	for _, o := range append(append([]string{}, outcomeNames[:]...), "unsent", "cancelled") {
		n := r.Outcomes[o]
		switch o {
		case "unsent":
			n = r.Unsent
		case "cancelled":
			n = r.Cancelled
		}
		if n > 0 {
			fmt.Fprintf(w, "%-14s %9d\n", o, n)
		}
	}
	fmt.Fprintf(w, "past deadline %d, answered twice %d, refused without advice %d, tried again %d\n", r.PastEnd, r.Twice, r.Unadvised, r.Retries)
	for _, why := range r.Invalid {
		fmt.Fprintln(w, "INVALID:", why)
	}
}
