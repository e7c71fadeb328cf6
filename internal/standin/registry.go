// Package standin has stand-ins for what surrounds a node: a discovery
// service, web servers with cores, queues and faults, and clients. All listen
// on loopback addresses. They are for tests, demonstrations and benchmarks,
// speak the node's protocol, and check the rules from outside.
package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is one server as discovery lists it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Cell    int     `json:"group"`
	Status  string  `json:"status"` // ready, draining or, among changes, gone
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // Unix time of the last start; 0: long ago
}

// Registry is a discovery service.
type Registry struct {
	ln  net.Listener
	srv *http.Server

	mu      sync.Mutex
	index   uint64
	entries map[string]Entry
	changes []change // the last of them, oldest first
	news    chan struct{}
}

type change struct {
	index uint64
	entry Entry
}

// Beyond so many changes a watch gets the whole list instead.
const maxChanges = 4096

// The longest that a watch may wait.
const maxHold = time.Minute

// NewRegistry starts a discovery service with an empty list.
func NewRegistry() (*Registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Registry{ln: ln, index: 1, entries: map[string]Entry{}, news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.serve)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go r.srv.Serve(ln)
	return r, nil
}

// Address is where it listens.
func (r *Registry) Address() string { return r.ln.Addr().String() }

// Close ends it and its watches.
func (r *Registry) Close() error { return r.srv.Close() }

// Set adds or changes servers, all in one version; with status gone it removes them.
func (r *Registry) Set(entries ...Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	for _, e := range entries {
		if e.Status == "gone" {
			delete(r.entries, e.Name)
		} else {
			r.entries[e.Name] = e
		}
		r.changes = append(r.changes, change{r.index, e})
	}
	if n := len(r.changes) - maxChanges; n > 0 {
		r.changes = slices.Delete(r.changes, 0, n)
	}
	close(r.news)
	r.news = make(chan struct{})
}

type answer struct {
	Index    uint64  `json:"index"`
	Snapshot bool    `json:"snapshot"`
	Entries  []Entry `json:"endpoints"`
}

// since is what has changed after a version; ok is false where nothing has.
func (r *Registry) since(from uint64, whole bool) (a answer, news chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Index = r.index
	lost := len(r.changes) == maxChanges && from < r.changes[0].index
	if whole || lost || from > r.index {
		a.Snapshot = true
		a.Entries = slices.SortedFunc(maps.Values(r.entries), func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
		return a, nil, true
	}
	for _, c := range r.changes {
		if c.index > from {
			a.Entries = append(a.Entries, c.entry)
		}
	}
	return a, r.news, r.index > from
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, err := strconv.ParseUint(cmp.Or(q.Get("from"), "0"), 10, 64)
	hold, err2 := strconv.ParseInt(cmp.Or(q.Get("hold_ms"), "0"), 10, 64)
	if err != nil || err2 != nil || hold < 0 {
		http.Error(w, "from and hold_ms are numbers", http.StatusBadRequest)
		return
	}
	a, news, ok := r.since(from, !q.Has("from"))
	until := time.NewTimer(min(time.Duration(hold)*time.Millisecond, maxHold))
	defer until.Stop()
	for wait := true; !ok && wait; {
		select {
		case <-news:
		case <-until.C:
			wait = false
		case <-req.Context().Done():
			return
		}
		a, news, ok = r.since(from, false)
	}
	if a.Entries == nil {
		a.Entries = []Entry{}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return // the node has gone
	}
}

// String is for messages.
func (e Entry) String() string { return fmt.Sprintf("%s at %s (%s)", e.Name, e.Address, e.Status) }
