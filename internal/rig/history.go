package rig

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

// What can stand in a history. Times are nanoseconds of the rig's one clock
// since its start, by the machine's monotonic clock, which all processes on it
// share.
const (
	Asked       = "asked"       // a client sends a request: ID, Class, Node
	Answered    = "answered"    // it has its answer, or goes without: ID, Class, Node, Peer, Text (how), N (seconds that it took), Most (seconds that its connection was open before)
	SpokeTwice  = "twice"       // a client got more bytes after a whole answer: ID, Node
	Unconnected = "unconnected" // a relay could not reach what it stands before: Node or Server, Peer
	Belated     = "belated"     // a relay passed on a connection's first bytes N seconds after it was about to make it: Node, Peer
	Began       = "began"       // a request's last byte has come to a server: ID, Server, Node, N (number of the attempt there)
	Ran         = "ran"         // it is carried out: ID, Server
	Ended       = "ended"       // the server knows that the attempt is over: ID, Server, N
	Cold        = "cold"        // a cold server was sent N within its window, Most being what it bears: Server
	Told        = "told"        // a node has been written a server's state: Node, Server, Text
	Listed      = "listed"      // discovery has a new state of a server: Server, Text
	Up          = "up"          // a process has started: Node or Server, N (its id)
	Ready       = "ready"       // a node has answered that it is ready: Node
	Ordered     = "ordered"     // a process was sent a signal: Node or Server, Text
	Down        = "down"        // a process has ended: Node or Server, Text (how)
	FaultOn     = "fault"       // N (its number), Text
	FaultOff    = "lifted"      // N
	TimeLeft    = "left"        // a server was told how long an attempt's client still waits: ID, Server, N (seconds)
	Logged      = "logged"      // a node's log line of weight: Node, Text
	Usage       = "usage"       // Node, N (descriptors), Most (resident MB)
	Late        = "late"        // a process of the rig's own woke so late: N (seconds), Server if it was a server's
	Viewed      = "viewed"      // a node's view has changed: Node, Text (digest), N (members that count), Most (1: it is settled)
	Waited      = "waited"      // in the last quarter of a second one of a process's threads has waited N seconds for a core: Node, Server, or the rig itself
	Commanded   = "commanded"   // operators order a node something: ID (of the order), Node, Text (method and path)
	Replied     = "replied"     // its answer: ID, Node, Text (status, or why there is none), Most (status; 0: no answer), N (seconds that it took)
	Polled      = "polled"      // a node was asked whether it is ready: Node, Text (ready, not ready, no answer), N (seconds that it took)
	Connected   = "connected"   // a client that holds a connection has made it: ID (of the connection), Node, Text (what it does on it)
	Closed      = "closed"      // that connection has ended: ID, Node, Text (by whom: node, client)
	Misread     = "misread"     // a node was sent something that it refuses: ID (the connection's own address), Node, Text (what), N (status of the answer)
	Accounted   = "accounted"   // a node's log tells of that: ID, Node
	Stated      = "stated"      // a regular line of a node's log: Node, Text (where it hears operators, or has to call), N (1: the line tells it)
	Phase       = "phase"       // Text: load, quiet, end
)

// killedAtLast is the text of an order to end that comes when a node should have ended by itself.
const killedAtLast = "killed at last"

// Texts of orders to follow discovery to another address, whose number is for how
// many seconds the old one learns on.
const (
	discoveryMoved      = "discovery has moved"
	discoveryMovedBlind = "discovery has moved to a place that tells nothing"
	discoveryTells      = "discovery tells at the new place"
)

// Event is one line of a history.
type Event struct {
	At     int64   `json:"t"` // nanoseconds
	What   string  `json:"what"`
	Node   string  `json:"node,omitempty"`
	Server string  `json:"server,omitempty"`
	ID     string  `json:"id,omitempty"`
	Class  string  `json:"class,omitempty"`
	Peer   string  `json:"peer,omitempty"`
	Text   string  `json:"text,omitempty"`
	N      float64 `json:"n,omitempty"`
	Most   float64 `json:"most,omitempty"`
}

// maxEvents bounds a history; a plan that would need more is refused before it starts.
const maxEvents = 5_000_000

// monotonic is the machine's clock that all its processes read alike.
func monotonic() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // there is no machine without this clock
	}
	return t.Nano()
}

// recorder collects events while a plan is played.
type recorder struct {
	zero int64

	mu      sync.Mutex
	events  []Event
	dropped int
}

func newRecorder() *recorder { return &recorder{zero: monotonic()} }

func (r *recorder) now() int64 { return monotonic() - r.zero }

// note adds an event that happens now.
func (r *recorder) note(e Event) {
	e.At = r.now()
	r.add(e)
}

// add adds an event with a time of its own.
func (r *recorder) add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) >= maxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// history is all events in the order in which they happened.
func (r *recorder) history() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.events)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// WriteHistory writes events as JSON, a line each.
func WriteHistory(w io.Writer, events []Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ReadHistory reads what WriteHistory wrote. A line that can't be read is an
// error with its number.
func ReadHistory(r io.Reader) ([]Event, error) {
	var all []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if e.What == "" {
			return nil, fmt.Errorf("line %d: %w", n, errors.New("no event"))
		}
		if len(all) >= maxEvents {
			return nil, fmt.Errorf("line %d: over %d events", n, maxEvents)
		}
		all = append(all, e)
	}
	return all, lines.Err()
}
