package load

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Trace is recorded traffic.
type Trace struct {
	Lines   []Line
	Notes   []string // what was odd about the record, and what was done
	Skipped int      // lines that could not be read
	speed   float64
	loops   int
	cut     time.Duration
	unsafe  bool
}

// Line is one request of a trace.
type Line struct {
	At     time.Duration // from the first on
	Method string
	Path   string // with its query
}

// Bounds of a trace.
const (
	maxLines   = 10_000_000
	maxSkips   = 0.5            // a file of which more can't be read is of another form
	backStep   = time.Second    // a time that goes back by more is a step of the clock, not a matter of order
	longestGap = 24 * time.Hour // a time that jumps ahead by more is one too
	longLine   = 1 << 20
)

// Formats of records.
const (
	Common = "clf"   // Common and Combined Log Format
	HAR    = "har"   // HTTP Archive 1.2
	Own    = "lines" // seconds method path
)

var common = regexp.MustCompile(`^\S+ \S+ .*?\[([^\]]+)\] "(\S+) (\S+)[^"]*" (\d+|-)`)

// Import reads a record. With hash the values of query parameters and path
// segments that look like ids are replaced by hashes, the same for the same value.
func Import(r io.Reader, format string, hash bool) (*Trace, error) {
	t := &Trace{speed: 1, loops: 1}
	var times []time.Time
	take := func(at time.Time, method, target string) error {
		u, err := url.ParseRequestURI(target)
		if err != nil || method == "" || strings.ContainsAny(method, " \r\n") {
			t.Skipped++
			return nil
		}
		if len(t.Lines) == maxLines {
			return fmt.Errorf("over %d lines", maxLines)
		}
		path := u.RequestURI()
		if hash {
			path = hashed(u)
		}
		t.Lines, times = append(t.Lines, Line{Method: method, Path: path}), append(times, at)
		return nil
	}
	var err error
	switch format {
	case HAR:
		err = importHAR(r, take, &t.Skipped)
	case Common, Own:
		s := bufio.NewScanner(r)
		s.Buffer(nil, longLine)
		for s.Scan() && err == nil {
			line := strings.TrimSpace(s.Text())
			if line == "" || strings.HasPrefix(line, "#") {
				continue
			}
			at, method, path, ok := parseLine(line, format)
			if !ok {
				t.Skipped++
				continue
			}
			err = take(at, method, path)
		}
		err = errors.Join(err, s.Err())
	default:
		return nil, fmt.Errorf("unknown format %q, want %s, %s or %s", format, Common, HAR, Own)
	}
	if err != nil {
		return nil, err
	}
	if len(t.Lines) == 0 || float64(t.Skipped) > maxSkips*float64(t.Skipped+len(t.Lines)) {
		return nil, fmt.Errorf("%d lines can be read and %d can not: is this %s?", len(t.Lines), t.Skipped, format)
	}
	t.order(times)
	return t, nil
}

func parseLine(line, format string) (at time.Time, method, path string, ok bool) {
	if format == Common {
		m := common.FindStringSubmatch(line)
		if m == nil {
			return at, "", "", false
		}
		at, err := time.Parse("02/Jan/2006:15:04:05 -0700", m[1])
		return at, m[2], m[3], err == nil
	}
	f := strings.Fields(line)
	if len(f) != 3 {
		return at, "", "", false
	}
	v, err := strconv.ParseFloat(f[0], 64)
	if err != nil || v < 0 || v > 1e10 {
		return at, "", "", false
	}
	return time.Unix(0, 0).Add(time.Duration(v * float64(time.Second))), f[1], f[2], true
}

func importHAR(r io.Reader, take func(time.Time, string, string) error, skipped *int) error {
	var har struct {
		Log struct {
			Entries []struct {
				Started string `json:"startedDateTime"`
				Request struct {
					Method string `json:"method"`
					URL    string `json:"url"`
				} `json:"request"`
			} `json:"entries"`
		} `json:"log"`
	}
	if err := json.NewDecoder(io.LimitReader(r, 1<<30)).Decode(&har); err != nil {
		return fmt.Errorf("HAR: %w", err)
	}
	for _, e := range har.Log.Entries {
		at, err := time.Parse(time.RFC3339Nano, e.Started)
		u, err2 := url.Parse(e.Request.URL)
		if err != nil || err2 != nil || u.Path == "" {
			*skipped++
			continue
		}
		if err := take(at, e.Request.Method, u.RequestURI()); err != nil {
			return err
		}
	}
	return nil
}

// order puts lines in the order of their times. Steps of the recording clock
// are taken out: time goes on from the line before.
func (t *Trace) order(times []time.Time) {
	unsorted, steps := 0, 0
	var shift time.Duration
	base, last := times[0], times[0]
	for i, at := range times {
		at = at.Add(shift)
		switch d := at.Sub(last); {
		case d < -backStep, d > longestGap:
			shift -= d
			at = last
			steps++
		case d < 0:
			unsorted++
		}
		if at.After(last) {
			last = at
		}
		t.Lines[i].At = at.Sub(base)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return int(a.At - b.At) })
	first := t.Lines[0].At
	for i := range t.Lines {
		t.Lines[i].At -= first
	}
	if unsorted > 0 {
		t.Notes = append(t.Notes, fmt.Sprintf("%d lines were out of order and were sorted", unsorted))
	}
	if steps > 0 {
		t.Notes = append(t.Notes, fmt.Sprintf("the clock stepped %d times; time goes on from the line before", steps))
	}
	if t.Skipped > 0 {
		t.Notes = append(t.Notes, fmt.Sprintf("%d lines could not be read and were left out", t.Skipped))
	}
}

// hashed replaces what tells of a person: query values, and path segments with a digit.
func hashed(u *url.URL) string {
	h := func(s string) string {
		sum := sha256.Sum256([]byte(s))
		return hex.EncodeToString(sum[:8])
	}
	segments := strings.Split(u.EscapedPath(), "/")
	for i, s := range segments {
		if strings.ContainsAny(s, "0123456789") {
			segments[i] = h(s)
		}
	}
	out := strings.Join(segments, "/")
	if u.RawQuery == "" {
		return out
	}
	pairs := strings.Split(u.RawQuery, "&")
	for i, p := range pairs {
		name, value, ok := strings.Cut(p, "=")
		if ok {
			pairs[i] = name + "=" + h(value)
		}
	}
	return out + "?" + strings.Join(pairs, "&")
}

// Write writes the trace as lines of our own format.
func (t *Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	fmt.Fprintln(b, "# seconds method path")
	for _, l := range t.Lines {
		fmt.Fprintf(b, "%.6f %s %s\n", l.At.Seconds(), l.Method, l.Path)
	}
	return b.Flush()
}

// Play says how a trace is played: so many times as fast, so many times over,
// gaps cut to at most so long (0: kept), and whether requests that are not
// safe are sent at all.
func (t *Trace) Play(speed float64, loops int, cut time.Duration, unsafe bool) error {
	if !(speed > 0 && speed <= 1e4) || loops < 1 || loops > 1e6 || cut < 0 {
		return fmt.Errorf("speed %v, %d loops: want a speed up to 10,000 and 1 loop or more", speed, loops)
	}
	t.speed, t.loops, t.cut, t.unsafe = speed, loops, cut, unsafe
	if cut > 0 {
		var shift time.Duration
		for i := 1; i < len(t.Lines); i++ {
			at := t.Lines[i].At - shift
			if gap := at - t.Lines[i-1].At; gap > cut {
				shift += gap - cut
				at = t.Lines[i-1].At + cut
			}
			t.Lines[i].At = at
		}
	}
	return nil
}

// Length is how long it lasts as it is played.
func (t *Trace) Length() time.Duration {
	return time.Duration(float64(t.loop()) * float64(t.loops) / t.speed)
}

// loop is how long one time through lasts: to the last line and a mean gap.
func (t *Trace) loop() time.Duration {
	last := t.Lines[len(t.Lines)-1].At
	return last + last/time.Duration(max(1, len(t.Lines)-1))
}

type traceSource struct {
	t    *Trace
	p    *Plan
	i, n int
	loop int
}

func (t *Trace) source(p *Plan) source { return &traceSource{t: t, p: p} }

func (s *traceSource) next() (Arrival, bool) {
	for {
		if s.i == len(s.t.Lines) {
			s.i, s.loop = 0, s.loop+1
		}
		if s.loop >= s.t.loops {
			return Arrival{}, false
		}
		l := s.t.Lines[s.i]
		s.i++
		if !s.t.unsafe && l.Method != http.MethodGet && l.Method != http.MethodHead && l.Method != http.MethodOptions {
			continue
		}
		s.n++
		at := l.At + time.Duration(s.loop)*s.t.loop()
		return Arrival{Number: s.n, At: time.Duration(float64(at) / s.t.speed), Method: l.Method, Path: l.Path}, true
	}
}

// Withheld is how many lines are not sent as they are not safe.
func (t *Trace) Withheld() (n int) {
	if t.unsafe {
		return 0
	}
	for _, l := range t.Lines {
		if l.Method != http.MethodGet && l.Method != http.MethodHead && l.Method != http.MethodOptions {
			n++
		}
	}
	return n
}
