package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"indigotack/decide"
	"indigotack/internal/jsonkeys"
)

// Bounds of a list.
const (
	maxList    = 16 << 20 // bytes of a list; ten thousand servers take an eighth
	maxEntries = 50_000
	maxRefused = 3  // entries that can't be used and are told of one by one
	maxUnknown = 20 // keys of lists that say nothing to the node and are told of
)

// List is a list of servers in discovery's form. A malformed entry must not
// cost the node the others, so it is left out and counted.
type List struct {
	Index    uint64
	Snapshot bool
	Entries  []Entry
	Origin   Origin
	refused  int
	why      []error  // of the first ones refused
	unknown  []string // keys that say nothing to the node, up to maxUnknown
}

// Origin is the call that a list answers. Its zero value is of a list that answers none.
type Origin struct {
	Call  uint64 // the call's number
	Began time.Time
}

// Kind is what the module is told of the list.
func (l *List) Kind() decide.ListKind {
	if l.Snapshot {
		return decide.ListFull
	}
	return decide.ListChanges
}

// draining is the entries of a whole list that say that their servers drain, as changes of a version.
func (l *List) draining(version uint64) List {
	drains := List{Index: version, Origin: l.Origin}
	for _, e := range l.Entries {
		if e.State() == decide.Draining {
			drains.Entries = append(drains.Entries, e)
		}
	}
	return drains
}

// UnmarshalJSON reads a text at hand.
func (l *List) UnmarshalJSON(text []byte) error {
	return l.decode(json.NewDecoder(bytes.NewReader(text)))
}

// decode reads a list entry by entry, so that a large one is never held as text.
func (l *List) decode(d *json.Decoder) error {
	*l = List{}
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
			if name, is := key.(string); is && len(l.unknown) < maxUnknown {
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

func (l *List) entries(d *json.Decoder) error {
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
func (l *List) noteUnknown(raw json.RawMessage, e Entry) {
	if len(l.Entries)+l.refused >= looksAtEntries && e.State() == decide.Ready || len(l.unknown) >= maxUnknown {
		return
	}
	for _, key := range jsonkeys.Unknown(raw, Entry{}) {
		if name := "endpoints." + key; !slices.Contains(l.unknown, name) {
			l.unknown = append(l.unknown, name)
		}
	}
}

// Note tells of entries that could not be used.
func (l *List) Note(log *slog.Logger) {
	if l.refused > 0 {
		log.Warn("list entries skipped", "count", l.refused, "first", errors.Join(l.why...))
	}
}

// Entry is one server of a list.
type Entry struct {
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
	Entry
	Cell    float64 `json:"group"`
	SinceMS float64 `json:"since_ms"`
}

// parseEntry reads one entry. One that can't be used as a whole is still good
// for telling that its server drains or is gone, where it says that.
func parseEntry(text []byte) (Entry, error) {
	var loose looseEntry
	err := json.Unmarshal(text, &loose)
	e := loose.Entry
	e.Cell, e.SinceMS = int(loose.Cell), int64(loose.SinceMS)
	if err == nil {
		err = e.check()
	}
	if err == nil {
		return e, nil
	}
	var least struct{ Name, Status string }
	if json.Unmarshal(text, &least) != nil || least.Name == "" {
		return Entry{}, err
	}
	if state, known := states[least.Status]; !known || state == decide.Ready {
		return Entry{}, err
	}
	return Entry{Name: least.Name, Status: least.Status}, nil
}

// Complete gives a draining server's entry that has only its name and status
// what was known of the server before.
func (e Entry) Complete(known map[string]Entry) Entry {
	before, found := known[e.Name]
	if !found || e.Address != "" || e.State() != decide.Draining {
		return e
	}
	before.Status = e.Status
	return before
}

// State is the entry's status as the module knows it.
func (e Entry) State() decide.ServerState { return states[e.Status] }

var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

func (e Entry) check() error {
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
