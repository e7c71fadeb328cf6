// Package standin has stand-ins for what surrounds a node: a discovery
// service, web servers with cores, queues and faults, and clients. All listen
// on loopback addresses. They are for tests, demonstrations and benchmarks,
// speak the node's protocol, and check the rules from outside.
package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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
	torn    bool
	silence chan struct{} // closed when the watches that are open fall silent
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
	r := &Registry{ln: ln, index: 1, entries: map[string]Entry{}, news: make(chan struct{}), silence: make(chan struct{})}
	r.srv = r.server(func(e Entry) Entry { return e }, nil, nil)
	go r.srv.Serve(ln)
	return r, nil
}

// server answers at one address. f is the front there, nil at the registry's own address.
func (r *Registry) server(change func(Entry) Entry, wrote func(Written), f *Front) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, change, wrote, f) })
	return &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
}

// Front is a further address of a registry, at which servers are listed with
// changes, as where each asker sees them under addresses of its own.
type Front struct {
	registry *Registry
	srv      *http.Server
	ln       net.Listener
	frozen   atomic.Pointer[frozenList] // nil: it tells what the registry has
	manner   atomic.Pointer[func(Call) Manner]
	calls    atomic.Int64
	at       string
}

// Call is a call to a front.
type Call struct {
	Number  int  // of the front's calls, from 1
	Held    bool // it asks to wait for news
	Renewed bool // an earlier call came on its connection
}

// Behave has each call from now on answered in a manner of its own; nil: at once
// and whole, as from the beginning.
func (f *Front) Behave(manner func(Call) Manner) {
	if manner == nil {
		f.manner.Store(nil)
		return
	}
	f.manner.Store(&manner)
}

// Address is where the front listens.
func (f *Front) Address() string { return f.at }

// mannerOf is how a call is to be answered.
func (f *Front) mannerOf(req *http.Request, held bool) Manner {
	if f == nil {
		return Manner{}
	}
	number := f.calls.Add(1)
	manner := f.manner.Load()
	if manner == nil {
		return Manner{}
	}
	c, _ := req.Context().Value(countedKey{}).(*counted)
	return (*manner)(Call{Number: int(number), Held: held, Renewed: c != nil && c.requests.Add(1) > 1})
}

// frozenList is the list of a front that learns nothing more.
type frozenList struct {
	index   uint64
	entries []Entry
}

// Freeze has the front learn nothing more: it goes on answering with the list
// as it is now, as an agent does that nobody sends anything any more.
func (f *Front) Freeze() {
	f.registry.mu.Lock()
	defer f.registry.mu.Unlock()
	f.frozen.Store(&frozenList{f.registry.index, f.registry.sorted()})
}

// Thaw has the front tell what the registry has again.
func (f *Front) Thaw() { f.frozen.Store(nil) }

// Written is an answer that a front has written in full.
type Written struct {
	To       string // the asker's address
	Bytes    int64  // written on that connection so far
	Version  uint64 // 0: it has been sent no list
	Entries  []Entry
	Snapshot bool
}

// Front opens another address. change is applied to each entry; wrote hears of
// each answer, may be nil, and must not block.
func (r *Registry) Front(at string, change func(Entry) Entry, wrote func(Written)) (*Front, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	f := &Front{registry: r, ln: ln, at: ln.Addr().String()}
	f.srv = r.server(change, wrote, f)
	f.srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, countedKey{}, c) }
	go f.srv.Serve(countedListener{ln})
	return f, nil
}

// Blank has the front answer as one that nobody has sent a list yet: its list has
// version 0 and no servers. Thaw ends that.
func (f *Front) Blank() { f.frozen.Store(&frozenList{}) }

// Retire has the front take no new connection, and ends the open ones after a time.
func (f *Front) Retire(after time.Duration) {
	f.ln.Close() // the server's loop ends by it
	time.AfterFunc(after, func() { f.Close() })
}

// Close ends the front and its watches.
func (f *Front) Close() error { return f.srv.Close() }

type countedKey struct{}

type countedListener struct{ net.Listener }

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{Conn: c}, nil
}

// counted counts what is written on a connection.
type counted struct {
	net.Conn
	n        atomic.Int64
	requests atomic.Int64 // that were answered in a manner
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// Tear makes all answers end halfway, or ends that.
func (r *Registry) Tear(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.torn = on
}

// Silence has the watches that are open now never answered. Others are.
func (r *Registry) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silence)
	r.silence = make(chan struct{})
}

// Address is where it listens.
func (r *Registry) Address() string { return r.ln.Addr().String() }

// Close ends it and its watches.
func (r *Registry) Close() error { return r.srv.Close() }

// Set adds or changes servers, all in one version; with status gone it removes them.
func (r *Registry) Set(entries ...Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(entries)
}

// set is Set for a caller that holds mu.
func (r *Registry) set(entries []Entry) {
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

// List is the whole list by name, and its version.
func (r *Registry) List() (index uint64, entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index, r.sorted()
}

// Reweigh gives every server another weight, all in one version.
func (r *Registry) Reweigh(weight func(Entry) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := r.sorted()
	for i := range entries {
		entries[i].Weight = weight(entries[i])
	}
	r.set(entries)
}

// sorted is the whole list by name. The caller holds mu.
func (r *Registry) sorted() []Entry {
	return slices.SortedFunc(maps.Values(r.entries), func(x, y Entry) int { return cmp.Compare(x.Name, y.Name) })
}

// since is what has changed after a version, as far as a front knows of it; ok
// is false where nothing has.
func (r *Registry) since(from uint64, whole bool, f *Front) (a answer, news chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := frozenList{index: r.index}
	if f != nil && f.frozen.Load() != nil {
		known = *f.frozen.Load()
	} else {
		known.entries = r.sorted()
	}
	a.Index = known.index
	lost := len(r.changes) == maxChanges && from < r.changes[0].index
	if whole || lost || from > known.index {
		a.Snapshot, a.Entries = true, slices.Clone(known.entries)
		return a, nil, true
	}
	for _, c := range r.changes {
		if c.index > from && c.index <= known.index {
			a.Entries = append(a.Entries, c.entry)
		}
	}
	return a, r.news, known.index > from
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request, change func(Entry) Entry, wrote func(Written), f *Front) {
	q := req.URL.Query()
	from, err := strconv.ParseUint(cmp.Or(q.Get("from"), "0"), 10, 64)
	hold, err2 := strconv.ParseInt(cmp.Or(q.Get("hold_ms"), "0"), 10, 64)
	if err != nil || err2 != nil || hold < 0 {
		http.Error(w, "from and hold_ms are numbers", http.StatusBadRequest)
		return
	}
	began := time.Now()
	manner := f.mannerOf(req, hold > 0)
	if !manner.speaks() {
		manner.Answer(w, req, began, nil)
		return
	}
	r.mu.Lock()
	silence := r.silence
	r.mu.Unlock()
	a, news, ok := r.since(from, !q.Has("from"), f)
	until := time.NewTimer(min(time.Duration(hold)*time.Millisecond, maxHold))
	defer until.Stop()
	for wait := true; !ok && wait; {
		select {
		case <-news:
		case <-until.C:
			wait = false
		case <-silence:
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
		a, news, ok = r.since(from, false, f)
	}
	if a.Entries == nil {
		a.Entries = []Entry{}
	}
	for i, e := range a.Entries {
		a.Entries[i] = change(e)
	}
	text, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.mu.Lock()
	torn := r.torn
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if torn {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		return // the server ends a connection on which less came than was announced
	}
	if !manner.Answer(w, req, began, text) {
		return // the node has gone, or has no whole answer
	}
	if c, ok := req.Context().Value(countedKey{}).(*counted); ok && wrote != nil {
		wrote(Written{To: req.RemoteAddr, Bytes: c.n.Load(), Version: a.Index, Entries: a.Entries, Snapshot: a.Snapshot})
	}
}

// String is for messages.
func (e Entry) String() string { return fmt.Sprintf("%s at %s (%s)", e.Name, e.Address, e.Status) }
