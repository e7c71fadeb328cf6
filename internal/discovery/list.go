package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"slices"

	"indigotack/decide"
	"indigotack/internal/jsonkeys"
)

// Bounds of a list.
const (
	maxList    = 16 << 20 // bytes of a list; ten thousand servers take an eighth
	maxEntries = 50_000
	maxRefused = 3 // entries that can't be used and are told of one by one
)

// list is a list of servers in discovery's form. A malformed entry must not
// cost the node the others, so it is left out and counted.
type list struct {
	Index    uint64
	Snapshot bool
	Entries  []entry
	refused  int
	why      []error  // of the first ones refused
	unknown  []string // keys that say nothing to the node, up to mostUnknown
}

// UnmarshalJSON is decode for a text at hand.
func (l *list) UnmarshalJSON(text []byte) error {
	return l.decode(json.NewDecoder(bytes.NewReader(text)))
}

// decode reads a list entry by entry, so that a large one is never held as text.
func (l *list) decode(d *json.Decoder) error {
	*l = list{}
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		if err == nil && t == nil { // null: no list at all
			return nil
		}
		if err != nil {
			return err
		}
		return errors.New("want an object")
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		switch key {
		case "index":
			err = d.Decode(&l.Index)
		case "snapshot":
			err = d.Decode(&l.Snapshot)
		case "endpoints":
			err = l.entries(d)
		default:
			if name, is := key.(string); is && len(l.unknown) < mostUnknown {
				l.unknown = append(l.unknown, name)
			}
			var skipped json.RawMessage
			err = d.Decode(&skipped)
		}
		if err != nil {
			return fmt.Errorf("%v: %w", key, err)
		}
	}
	_, err := d.Token()
	return err
}

func (l *list) entries(d *json.Decoder) error {
	t, err := d.Token()
	if err != nil || t == nil {
		return err
	}
	if t != json.Delim('[') {
		return errors.New("want an array")
	}
	for d.More() {
		if len(l.Entries)+l.refused >= maxEntries {
			return fmt.Errorf("over %d entries", maxEntries)
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
		e, err := parseEntry(raw)
		l.noteUnknown(raw, e)
		if err != nil {
			if l.refused++; len(l.why) < maxRefused {
				l.why = append(l.why, fmt.Errorf("%s: %w", raw[:min(len(raw), 200)], err))
			}
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	_, err = d.Token()
	return err
}

// looksAtEntries is how many entries of a list are looked at for unknown keys,
// beside those that say something else than ready.
const looksAtEntries = 16

// noteUnknown keeps the keys of an entry that say nothing to the node.
func (l *list) noteUnknown(raw json.RawMessage, e entry) {
	if len(l.Entries)+l.refused >= looksAtEntries && states[e.Status] == decide.Ready || len(l.unknown) >= mostUnknown {
		return
	}
	for _, key := range jsonkeys.Unknown(raw, entry{}) {
		if name := "endpoints." + key; !slices.Contains(l.unknown, name) {
			l.unknown = append(l.unknown, name)
		}
	}
}

// note tells of entries that could not be used.
func (l *list) note(log *slog.Logger) {
	if l.refused > 0 {
		log.Warn("list entries skipped", "count", l.refused, "first", errors.Join(l.why...))
	}
}

// entry is one server of a list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Cell    int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// looseEntry is an entry as it may stand in a list: JSON has one kind of number.
type looseEntry struct {
	entry
	Cell    float64 `json:"group"`
	SinceMS float64 `json:"since_ms"`
}

// parseEntry reads one entry. One that can't be used as a whole is still good
// for telling that its server drains or is gone, where it says that.
func parseEntry(text []byte) (entry, error) {
	var loose looseEntry
	err := json.Unmarshal(text, &loose)
	e := loose.entry
	e.Cell, e.SinceMS = int(loose.Cell), int64(loose.SinceMS)
	if err == nil {
		err = e.check()
	}
	if err == nil {
		return e, nil
	}
	var least struct{ Name, Status string }
	if json.Unmarshal(text, &least) != nil || least.Name == "" {
		return entry{}, err
	}
	if state, known := states[least.Status]; !known || state == decide.Ready {
		return entry{}, err
	}
	return entry{Name: least.Name, Status: least.Status}, nil
}

// complete gives a draining server's entry that has only its name and status
// what was known of the server before.
func (e entry) complete(known map[string]entry) entry {
	before, found := known[e.Name]
	if !found || e.Address != "" || states[e.Status] != decide.Draining {
		return e
	}
	before.Status = e.Status
	return before
}

var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

func (e entry) check() error {
	if e.Name == "" {
		return errors.New("no name")
	}
	state, ok := states[e.Status]
	if !ok {
		return fmt.Errorf("unknown status %q", e.Status)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && state != decide.Gone {
		return fmt.Errorf("address: %w", err)
	}
	if e.SinceMS < 0 || e.Weight < 0 {
		return errors.New("negative since_ms or weight")
	}
	return nil
}

// ids gives servers their numbers: a hash of the name, so that every node and
// every restart agrees on them.
type ids struct {
	byName map[string]decide.ServerID
	byID   map[decide.ServerID]string
	hash   func(string) uint32
}

func newIDs() *ids {
	return &ids{byName: map[string]decide.ServerID{}, byID: map[decide.ServerID]string{}, hash: func(s string) uint32 {
		h := fnv.New32a()
		io.WriteString(h, s) // never fails
		return h.Sum32()
	}}
}

// of finds the number of a name. Of two names with one hash the later listed
// is hashed again: two servers under one number would share their load and
// their drains.
func (d *ids) of(name string) decide.ServerID {
	if id, ok := d.byName[name]; ok {
		return id
	}
	id := decide.ServerID(d.hash(name))
	for salted := name; ; id = decide.ServerID(d.hash(salted)) {
		if _, taken := d.byID[id]; !taken {
			break
		}
		salted += "\x00"
	}
	d.byName[name], d.byID[id] = id, name
	return id
}

func (d *ids) forget(name string) {
	delete(d.byID, d.byName[name])
	delete(d.byName, name)
}
