package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"indigotack/decide"
	"indigotack/internal/lifecycle"
)

// platformFront is the front of a node on a platform.
func platformFront(n *Node, most int) *frontend {
	f := newFrontend(n.observer, most)
	p := &platform{front: f, owner: n.owner, effects: map[string]decide.Effect{}}
	var longest time.Duration
	for _, c := range n.cfg.Settings.Classes {
		p.effects[c.Name] = c.Effect
		longest = max(longest, c.Deadline)
	}
	f.plan = func() lifecycle.ShutdownPlan { return lifecycle.PlanShutdown(longest, true) }
	f.read = p.read
	f.orders = ordersByPath
	f.operatorsPrefix = n.cfg.Operators.OnPrefix
	f.tellsCounters.Store(len(n.cfg.Operators.OnListen) > 0)
	f.drainChanged = func() { n.followDrain(&f.life) }
	return f
}

// platform reads requests whose clients name id, class and deadline.
type platform struct {
	front   *frontend
	owner   *owner
	effects map[string]decide.Effect // of the classes
}

func (f *platform) read(w http.ResponseWriter, r *http.Request) (*taken, int, error) {
	client := clientOf(r)
	arrived := client.spokeAt() // the body may take a while, and the client's clock runs
	e := decide.RequestArrived{Class: r.Header.Get("X-Class"), Tenant: r.Header.Get("X-Tenant"),
		Repeat: r.Header.Get("X-Retry") == "1"}
	bad := func(status int, format string, args ...any) (*taken, int, error) {
		return nil, status, fmt.Errorf(format, args...)
	}
	if status, err := framing(w, r); err != nil {
		return bad(status, "%w", err)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || len(id) > maxIDLength || len(r.Header.Values("X-Request-Id")) > 1 {
		return bad(http.StatusBadRequest, "want one X-Request-Id of at most %d bytes", maxIDLength)
	}
	e.ID = decide.RequestID(id)
	effect, known := f.effects[e.Class]
	if !known {
		return bad(http.StatusBadRequest, "unknown X-Class %q", e.Class)
	}
	// The method tells the server what a repeat would do, so it must agree
	// with what the module believes.
	want := http.MethodPost
	if effect == decide.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return bad(http.StatusMethodNotAllowed, "class %s wants %s", e.Class, want)
	}
	switch keys := r.Header.Values("Idempotency-Key"); {
	case effect == decide.Keyed && (len(keys) != 1 || keys[0] == ""), effect == decide.Unsafe && len(keys) > 0:
		return bad(http.StatusBadRequest, "class %s and Idempotency-Key do not agree", e.Class)
	}
	patience, err := seconds(r.Header.Get("X-Deadline"))
	if err != nil {
		return bad(http.StatusBadRequest, "X-Deadline: %w", err)
	}
	if hint, err := strconv.ParseFloat(r.Header.Get("X-Cost-Hint"), 64); err == nil && hint >= 0 && hint < 1e12 {
		e.WorkHint, e.HasHint = time.Duration(hint*float64(time.Microsecond)), true
	}
	e.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	body, held, status, err := bodyReader{f.front.account, maxBody}.read(w, r, arrived.Add(patience-answerMargin))
	if err != nil {
		return bad(status, "%w", err)
	}
	out := &outbound{method: r.Method, url: target(r.URL), host: r.Host, header: endToEnd(r.Header), body: body, left: client.left}
	return &taken{owner: f.owner, event: e, req: f.front.newRequest(e.ID, arrived, patience, out), done: held.Close}, 0, nil
}
