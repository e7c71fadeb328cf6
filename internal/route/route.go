// Package route finds the route of a request: by host, path and method, in
// time that does not grow with the number of routes. It does no I/O, reads no
// clock and is not changed once built, so that any number of goroutines may
// use one table.
package route

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"
)

// Methods is a set of HTTP methods.
type Methods uint16

// Methods that a route can name. Any stands for these and every other one.
const (
	Get Methods = 1 << iota
	Head
	Options
	Put
	Delete
	Post
	Patch
	other
	Any Methods = 1<<iota - 1
)

// Repeatable are the methods whose repeat has the effect of one (RFC 9110, 9.2.2).
const Repeatable = Get | Head | Options | Put | Delete

var methodNames = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
	http.MethodPost, http.MethodPatch}

// MethodOf is the set of one method; a method without a name of its own here is in Any alone.
func MethodOf(name string) Methods {
	for i, m := range methodNames {
		if m == name {
			return 1 << i
		}
	}
	return other
}

// ParseMethods reads methods' names, which are case-sensitive (RFC 9110, 9.1).
func ParseMethods(names []string) (Methods, error) {
	var set Methods
	for _, name := range names {
		m := MethodOf(name)
		if m == other {
			return 0, fmt.Errorf("unknown method %q", name)
		}
		set |= m
	}
	return set, nil
}

// String lists the methods as an Allow header does; of Any it says any.
func (m Methods) String() string {
	if m == Any {
		return "any"
	}
	var names []string
	for i, name := range methodNames {
		if m&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// Split is one part of a route's traffic.
type Split struct {
	Pool   string
	Weight float64 // 0 and more; parts of the sum of the route's weights
}

// Route is what requests are matched with, and where they go.
type Route struct {
	Host    string // lower case; "" for any, "*.example.org" for all names under it
	Path    string // begins with a slash
	Prefix  bool   // whether what is below Path, by whole segments, belongs to it
	Methods Methods
	Class   string
	Splits  []Split
	// Tag is the caller's own number for the route.
	Tag int
}

// String is the route as operators know it.
func (r *Route) String() string {
	host, path := r.Host, r.Path
	if host == "" {
		host = "*"
	}
	if r.Prefix {
		path = strings.TrimSuffix(path, "/") + "/*"
	}
	return fmt.Sprintf("%s %s%s", r.Methods, host, path)
}

// Table holds routes for look-up.
type Table struct {
	hosts map[string]*paths
}

type paths struct {
	exact  map[string][]*Route
	prefix map[string][]*Route
	depth  int // segments of the longest prefix
}

// ConflictError says that a route can never be taken, wholly or for some methods.
type ConflictError struct{ Later, Earlier *Route }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("route %v is shadowed by the earlier route %v", e.Later, e.Earlier)
}

// New builds a table. Every conflict is reported, as one error of all; the
// earlier of two routes stays.
func New(routes []Route) (*Table, error) {
	t := &Table{hosts: map[string]*paths{}}
	var errs []error
	for i := range routes {
		r := &routes[i]
		if err := t.add(r); err != nil {
			errs = append(errs, err)
		}
	}
	return t, errors.Join(errs...)
}

func (t *Table) add(r *Route) error {
	key, err := Clean(r.Path, true)
	if err != nil {
		return fmt.Errorf("route %v: %w", r, err)
	}
	host := strings.TrimPrefix(r.Host, "*")
	p := t.hosts[host]
	if p == nil {
		p = &paths{exact: map[string][]*Route{}, prefix: map[string][]*Route{}}
		t.hosts[host] = p
	}
	in := p.exact
	if r.Prefix {
		in, key = p.prefix, strings.TrimSuffix(key, "/")
		p.depth = max(p.depth, strings.Count(key, "/"))
	}
	for _, earlier := range in[key] {
		if earlier.Methods&r.Methods != 0 {
			return &ConflictError{Later: r, Earlier: earlier}
		}
	}
	in[key] = append(in[key], r)
	return nil
}

// Match is a look-up's result.
type Match struct {
	Route *Route  // nil: none
	Allow Methods // where the path is known but not the method: those that are
}

// Find finds a request's route: of the most specific host that has one for the
// path and method, the exact path or else the longest prefix. The path must be
// clean (see Clean), the host as NormalHost gives it.
func (t *Table) Find(host, path string, method Methods) Match {
	var m Match
	if t.at(host, path, method, &m) {
		return m
	}
	for rest := host; ; {
		dot := strings.IndexByte(rest, '.')
		if dot < 0 {
			break
		}
		rest = rest[dot+1:]
		if t.at(host[len(host)-len(rest)-1:], path, method, &m) {
			return m
		}
	}
	if host != "" {
		t.at("", path, method, &m)
	}
	return m
}

// at looks under one host's key. A wildcard's key is its name without the star.
func (t *Table) at(host, path string, method Methods, m *Match) bool {
	p := t.hosts[host]
	if p == nil {
		return false
	}
	if pick(p.exact[path], method, m) {
		return true
	}
	// From the longest prefix that any route has down to the root.
	for end := cut(path, p.depth); ; end = strings.LastIndexByte(path[:end], '/') {
		if pick(p.prefix[path[:end]], method, m) {
			return true
		}
		if end <= 0 {
			return false
		}
	}
}

func pick(routes []*Route, method Methods, m *Match) bool {
	for _, r := range routes {
		if r.Methods&method != 0 {
			m.Route = r
			return true
		}
		m.Allow |= r.Methods
	}
	return false
}

// cut is where the path's first so many segments end, without a slash behind them.
func cut(path string, segments int) int {
	for i := 0; i < len(path); i++ {
		if path[i] == '/' {
			if segments--; segments < 0 {
				return i // the slash that begins a segment too many
			}
		}
	}
	if strings.HasSuffix(path, "/") {
		return len(path) - 1
	}
	return len(path)
}

// Errors of paths that two readers could read in two ways.
var (
	ErrDots    = errors.New("a path with . or .. segments")
	ErrSlash   = errors.New("a path with an encoded slash")
	ErrControl = errors.New("a path with a backslash or control character")
	ErrForm    = errors.New("a path that is not absolute or not well encoded")
)

// Clean is an escaped path as routes are matched with it: percent-decoded, with
// runs of slashes as one. Dot segments, encoded or not, are refused rather than
// resolved, as the server could resolve them otherwise (RFC 3986, 5.2.4 and
// 6.2.2); an encoded slash is refused too, or kept encoded, never a separator.
// A plain path is returned as it is, without an allocation.
func Clean(path string, keepSlash bool) (string, error) {
	if path == "" || path[0] != '/' {
		return "", ErrForm
	}
	if plain(path) {
		return path, nil
	}
	b := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c == '%' {
			hi, lo := -1, -1
			if i+2 < len(path) {
				hi, lo = unhex(path[i+1]), unhex(path[i+2])
			}
			if hi < 0 || lo < 0 {
				return "", ErrForm
			}
			c = byte(hi<<4 | lo)
			i += 2
			if c == '/' {
				if !keepSlash {
					return "", ErrSlash
				}
				b = append(b, "%2F"...)
				continue
			}
			if c == '%' { // so that nothing can be decoded twice
				b = append(b, "%25"...)
				continue
			}
		}
		if c < 0x20 || c == 0x7f || c == '\\' {
			return "", ErrControl
		}
		if c == '/' && len(b) > 0 && b[len(b)-1] == '/' {
			continue
		}
		b = append(b, c)
	}
	clean := string(b)
	for seg := range strings.SplitSeq(clean, "/") {
		if seg == "." || seg == ".." {
			return "", ErrDots
		}
	}
	return clean, nil
}

// plain tells that cleaning changes nothing.
func plain(path string) bool {
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '%', c == '\\', c < 0x20, c == 0x7f:
			return false
		case c == '/' && i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.'):
			return false // perhaps a dot segment: the slow way tells
		}
	}
	return true
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// NormalHost is a Host header as routes have it: without port and final dot,
// in lower case. It allocates only where there are capitals.
func NormalHost(host string) string {
	if strings.HasPrefix(host, "[") {
		if end := strings.IndexByte(host, ']'); end > 0 {
			host = host[1:end]
		}
	} else if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Place finds the pool for a key by weighted rendezvous hashing: while the
// weights stand a key keeps its pool, and where one weight changes only keys
// to or from that pool move. It is -1 where no pool has weight.
// Source: Schindelhauer and Schomaker, Weighted distributed hash tables, 2005.
func Place(splits []Split, key string) int {
	best, most := -1, math.Inf(-1)
	for i := range splits {
		s := &splits[i]
		if s.Weight <= 0 {
			continue
		}
		if len(splits) == 1 {
			return 0
		}
		// XXH3 has no key of its own, so that a split is the same at every node and after every restart.
		u := (float64(xxh3.HashStringSeed(key, xxh3.HashString(s.Pool))>>11) + 0.5) / (1 << 53) // in (0,1)
		if score := -s.Weight / math.Log(u); score > most {
			best, most = i, score
		}
	}
	return best
}

// KeySource says where a request's key stands.
type KeySource struct {
	Kind    KeyKind
	Name    string // of the header or cookie
	Segment int    // of the path, from 1; negative from the end
}

// KeyKind is a kind of place.
type KeyKind int

// The kinds of places.
const (
	NoKey KeyKind = iota
	Header
	Cookie
	Segment
)

// ParseKeySource reads "header:NAME", "cookie:NAME" or "segment:N".
func ParseKeySource(s string) (KeySource, error) {
	kind, name, ok := strings.Cut(s, ":")
	bad := fmt.Errorf("%q is not header:NAME, cookie:NAME or segment:N", s)
	if !ok || name == "" {
		return KeySource{}, bad
	}
	switch kind {
	case "header":
		if !token(name) {
			return KeySource{}, bad
		}
		return KeySource{Kind: Header, Name: http.CanonicalHeaderKey(name)}, nil
	case "cookie":
		if !token(name) {
			return KeySource{}, bad
		}
		return KeySource{Kind: Cookie, Name: name}, nil
	case "segment":
		var n int
		if _, err := fmt.Sscanf(name, "%d", &n); err != nil || n == 0 || n < -64 || n > 64 || fmt.Sprint(n) != name {
			return KeySource{}, fmt.Errorf("%q: a segment is a number from 1 to 64, or from -1 to -64 from the end", s)
		}
		return KeySource{Kind: Segment, Segment: n}, nil
	}
	return KeySource{}, bad
}

// token tells whether s is a token of RFC 9110, 5.6.2.
func token(s string) bool {
	for _, c := range []byte(s) {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

func (k KeySource) String() string {
	switch k.Kind {
	case Header:
		return "header:" + k.Name
	case Cookie:
		return "cookie:" + k.Name
	case Segment:
		return fmt.Sprintf("segment:%d", k.Segment)
	}
	return "none"
}

// Of takes the key out of a request; "" if it has none, or two that differ.
func (k KeySource) Of(h http.Header, path string) string {
	switch k.Kind {
	case Header:
		if v := h[k.Name]; len(v) > 0 && !slices.ContainsFunc(v[1:], func(s string) bool { return s != v[0] }) {
			return v[0]
		}
	case Cookie:
		for _, line := range h["Cookie"] {
			for pair := range strings.SplitSeq(line, ";") {
				if name, value, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && name == k.Name {
					return value
				}
			}
		}
	case Segment:
		return segment(path, k.Segment)
	}
	return ""
}

func segment(path string, n int) string {
	path = strings.Trim(path, "/")
	if path == "" {
		return ""
	}
	if n < 0 {
		if n += strings.Count(path, "/") + 2; n < 1 {
			return ""
		}
	}
	for ; n > 1; n-- {
		i := strings.IndexByte(path, '/')
		if i < 0 {
			return ""
		}
		path = path[i+1:]
	}
	if i := strings.IndexByte(path, '/'); i >= 0 {
		path = path[:i]
	}
	return path
}
