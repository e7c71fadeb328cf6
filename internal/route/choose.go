package route

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"indigotack/decide"
)

// UnkeyedSuffix ends the name of a keyed class's twin for requests without a
// key: nobody can tell a repeat of those, so the twin is unsafe.
const UnkeyedSuffix = "!unkeyed"

// Class is what the choice needs of a class.
type Class struct {
	Name          string
	Effect        decide.Effect
	Deadline      time.Duration
	Key           KeySource
	RefuseUnkeyed bool
}

// DeadlineRule says what a client's X-Deadline does to the route's deadline.
type DeadlineRule int

const (
	// RouteDeadline leaves it as it is.
	RouteDeadline DeadlineRule = iota
	// Shorten takes the shorter of both.
	Shorten
	// Extend takes the client's, up to a bound.
	Extend
)

// ClientRules are what clients may set, for all routes.
type ClientRules struct {
	Deadline      DeadlineRule
	MaxDeadline   time.Duration // with Extend
	ClassHeader   []string      // classes that X-Class may choose
	TenantHeader  string
	DefaultTenant string
	KeepSlash     bool
}

// Rule is a route with what the choice adds to it.
type Rule struct {
	Route
	Deadline time.Duration // 0: the class's
	SplitKey KeySource
}

// Chooser chooses for requests. It is not changed once built.
type Chooser struct {
	table   *Table
	rules   []Rule
	classes map[string]*Class
	opt     ClientRules
}

// NewChooser builds a chooser. The routes' Tags must be their places in rules.
func NewChooser(rules []Rule, classes []Class, opt ClientRules) (*Chooser, error) {
	c := &Chooser{rules: rules, classes: map[string]*Class{}, opt: opt}
	routes := make([]Route, len(rules))
	for i := range rules {
		if routes[i] = rules[i].Route; routes[i].Tag != i {
			return nil, fmt.Errorf("route %v has tag %d, want %d", &routes[i], routes[i].Tag, i)
		}
	}
	for i := range classes {
		c.classes[classes[i].Name] = &classes[i]
	}
	for i := range routes {
		if c.classes[routes[i].Class] == nil {
			return nil, fmt.Errorf("route %v: no class %q", &routes[i], routes[i].Class)
		}
	}
	var err error
	c.table, err = New(routes)
	return c, err
}

// Request is what the choice is made of.
type Request struct {
	Method string
	Host   string // as the Host header has it
	Path   string // escaped, as on the request line
	Header http.Header
	Client string // its address, for splits without a key
}

// Choice is what was chosen.
type Choice struct {
	Route    *Route
	Class    string // as the module knows it: see UnkeyedSuffix
	Effect   decide.Effect
	Split    int // place in Route.Splits
	Deadline time.Duration
	Key      string
	Tenant   string
}

// Pool is the chosen pool's name.
func (c *Choice) Pool() string { return c.Route.Splits[c.Split].Pool }

// Error is a request that no route takes; Status is the answer for it.
type Error struct {
	Status int
	Allow  Methods // with 405
	Why    string
}

func (e *Error) Error() string { return e.Why }

// Choose chooses route, class, pool and deadline.
func (c *Chooser) Choose(r *Request) (Choice, error) {
	path, err := Clean(r.Path, c.opt.KeepSlash)
	if err != nil {
		return Choice{}, &Error{Status: http.StatusBadRequest, Why: err.Error()}
	}
	method := MethodOf(r.Method)
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return Choice{}, &Error{Status: http.StatusNotImplemented, Why: r.Method + " is not carried"}
	}
	m := c.table.Find(NormalHost(r.Host), path, method)
	if m.Route == nil {
		if m.Allow != 0 {
			return Choice{}, &Error{Status: http.StatusMethodNotAllowed, Allow: m.Allow, Why: "no route for this method"}
		}
		return Choice{}, &Error{Status: http.StatusNotFound, Why: "no route"}
	}
	rule := &c.rules[m.Route.Tag]
	class := c.classes[m.Route.Class]
	deadline := rule.Deadline
	if len(c.opt.ClassHeader) > 0 {
		// A class that is safe to repeat must not be claimed for a method that is not.
		if k := c.classes[r.Header.Get("X-Class")]; k != nil && slices.Contains(c.opt.ClassHeader, k.Name) &&
			(k.Effect != decide.Safe || method&Repeatable != 0) {
			if k != class {
				deadline = 0 // the route's own was for its class
			}
			class = k
		}
	}
	out := Choice{Route: m.Route, Class: class.Name, Effect: class.Effect, Deadline: deadline}
	if deadline == 0 {
		out.Deadline = class.Deadline
	}
	if class.Effect == decide.Keyed {
		if out.Key = class.Key.Of(r.Header, path); out.Key == "" {
			if class.RefuseUnkeyed {
				return Choice{}, &Error{Status: http.StatusBadRequest, Why: "want a key: " + class.Key.String()}
			}
			out.Class, out.Effect = class.Name+UnkeyedSuffix, decide.Unsafe
		}
	}
	if err := c.patience(r.Header, &out); err != nil {
		return Choice{}, err
	}
	key := rule.SplitKey.Of(r.Header, path)
	if key == "" {
		key = r.Client
	}
	if out.Split = Place(m.Route.Splits, key); out.Split < 0 {
		return Choice{}, &Error{Status: http.StatusNotFound, Why: "the route's weights are all 0"}
	}
	if out.Tenant = r.Header.Get(c.opt.TenantHeader); out.Tenant == "" {
		out.Tenant = c.opt.DefaultTenant
	}
	return out, nil
}

// patience applies the client's own deadline.
func (c *Chooser) patience(h http.Header, out *Choice) error {
	text := h.Get("X-Deadline")
	if text == "" || c.opt.Deadline == RouteDeadline {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) || math.IsInf(v, 0) {
		return &Error{Status: http.StatusBadRequest, Why: fmt.Sprintf("X-Deadline %q, want seconds", text[:min(len(text), 40)])}
	}
	most := out.Deadline
	if c.opt.Deadline == Extend {
		most = max(most, c.opt.MaxDeadline)
	}
	out.Deadline = time.Duration(math.Min(v, most.Seconds()) * float64(time.Second))
	return nil
}

// Explain tells in words what Choose does with a request, and why.
func (c *Chooser) Explain(r *Request) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	choice, err := c.Choose(r)
	if err != nil {
		e := err.(*Error)
		say("answer: %d %s, by the node itself: %s", e.Status, http.StatusText(e.Status), e.Why)
		if e.Allow != 0 {
			say("allow: %v", e.Allow)
		}
		return out
	}
	path, _ := Clean(r.Path, c.opt.KeepSlash)
	say("route: %v", choice.Route)
	host := "any host"
	if choice.Route.Host != "" {
		host = "host " + choice.Route.Host
	}
	form := "its exact path"
	if choice.Route.Prefix {
		form = "its longest prefix"
	}
	say("why: %s of %s is %s with this method; the path reads as %q", form, host, choice.Route.Path, path)
	say("class: %s", strings.TrimSuffix(choice.Class, UnkeyedSuffix))
	effect := [...]string{decide.Unsafe: "unsafe: never repeated once it may have run",
		decide.Keyed: fmt.Sprintf("keyed by %q: repeated within its group and window", choice.Key),
		decide.Safe:  "safe: may be repeated"}[choice.Effect]
	if strings.HasSuffix(choice.Class, UnkeyedSuffix) {
		effect = "unsafe: the class is keyed, but this request has no key"
	}
	say("effect: %s", effect)
	say("deadline: %v", choice.Deadline)
	parts := []string{}
	for _, s := range choice.Route.Splits {
		parts = append(parts, fmt.Sprintf("%s %v", s.Pool, s.Weight))
	}
	if len(parts) > 1 {
		say("pool: %s, of %s by weight", choice.Pool(), strings.Join(parts, ", "))
	} else {
		say("pool: %s", choice.Pool())
	}
	if choice.Tenant != "" {
		say("tenant: %s", choice.Tenant)
	}
	return out
}
