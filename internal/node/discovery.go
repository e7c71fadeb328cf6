package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"indigotack/decide"
)

const (
	holdPushed  = 5 * time.Second  // a watch on the agent costs nothing; a short one finds a dead link soon
	holdAsked   = 20 * time.Second // a call to the shared service costs it work
	callGrace   = 2 * time.Second  // an answer may come so long after the hold is over
	backoffLow  = 50 * time.Millisecond
	backoffHigh = time.Second
	maxList     = 4 << 20 // bytes of a list; a thousand servers take a twentieth
)

// list is a list of servers in discovery's form.
type list struct {
	Index    uint64            `json:"index"`
	Snapshot bool              `json:"snapshot"`
	Entries  []json.RawMessage `json:"endpoints"`
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

var states = map[string]decide.ServerState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// entries decodes those that can be used. A malformed one must not cost the
// node the others, so it is logged and skipped.
func (l list) entries(log *slog.Logger) []entry {
	var out []entry
	for _, raw := range l.Entries {
		var e entry
		err := json.Unmarshal(raw, &e)
		if err == nil {
			err = e.check()
		}
		if err != nil {
			log.Warn("list entry skipped", "entry", string(raw[:min(len(raw), 200)]), "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}

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

// discovery watches the list of servers.
type discovery struct {
	url    string
	client *http.Client
	hold   time.Duration
	log    *slog.Logger
	index  uint64 // 0: none yet, so that the whole list is asked for
	listed func(list)
	failed func()

	ended chan struct{}      // closed when this discovery is no longer the node's
	stop  context.CancelFunc // of the task under way
	done  chan struct{}      // closed when it has ended
}

func newDiscovery(address string, asked bool, log *slog.Logger, listed func(list), failed func()) *discovery {
	hold := holdPushed
	if asked {
		hold = holdAsked
	}
	return &discovery{url: "http://" + address + "/registry/instances", hold: hold, log: log, listed: listed, failed: failed,
		ended: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1,
			DialContext: (&net.Dialer{Timeout: callGrace}).DialContext}}}
}

// call asks once and passes the answer on. The time-out guards against a
// discovery that takes a call and says nothing.
func (d *discovery) call(ctx context.Context, query string, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+callGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return err
	}
	if len(body) > maxList {
		return errors.New("discovery's list is too long")
	}
	var l list
	if err := json.Unmarshal(body, &l); err != nil {
		return fmt.Errorf("discovery's list: %w", err)
	}
	d.index = l.Index
	d.listed(l)
	return nil
}

// end ends the calls under way, and their connections, for good.
func (d *discovery) end() {
	close(d.ended)
	d.client.CloseIdleConnections()
}

// under is a context that ends with the discovery as well.
func (d *discovery) under(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-d.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// fetch asks for the whole list.
func (d *discovery) fetch(ctx context.Context) error { return d.call(ctx, "", 0) }

// watch follows the list until a call fails. The calls come back to back, so
// that discovery counts them as one watch. With no version seen here yet it
// begins with the whole list: versions of another address mean nothing to it.
func (d *discovery) watch(ctx context.Context) error {
	if d.index == 0 {
		if err := d.fetch(ctx); err != nil {
			return err
		}
	}
	for {
		began, before := time.Now(), d.index
		if err := d.call(ctx, fmt.Sprintf("?from=%d&hold_ms=%d", d.index, d.hold.Milliseconds()), d.hold); err != nil {
			return err
		}
		if d.index == before && time.Since(began) < d.hold/100 {
			// An agent that does not hold calls must not be called in a loop.
			if !sleep(ctx, 100*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
}

// follow watches for ever, as lists that are pushed need no leave of the
// module. It comes back from a failure after a jittered wait that doubles up
// to a cap: nodes that lost discovery together must not return together.
func (d *discovery) follow(ctx context.Context) {
	ctx, cancel := d.under(ctx)
	defer cancel()
	wait := backoffLow
	for ctx.Err() == nil {
		began, before := time.Now(), d.index
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if d.index != before || time.Since(began) > d.hold+callGrace {
			wait = backoffLow
		}
		if wait == backoffLow { // a long outage is one line, not one for each try
			d.log.Warn("discovery failed, watching again", "err", err)
		}
		if !sleep(ctx, time.Duration(float64(wait)*(0.5+rand.Float64()))) {
			return
		}
		wait = min(2*wait, backoffHigh)
	}
}

// ask does what the module asked for where lists are not pushed: a fetch, then
// a watch until it fails. It ends an earlier task first, as lists reach the
// module in order only from one at a time. It does not block, and is not safe
// for concurrent use.
func (d *discovery) ask(ctx context.Context, fetch, watch bool) {
	ctx, stop := d.under(ctx)
	earlier, done := d.done, make(chan struct{})
	if d.stop != nil {
		d.stop()
	}
	d.stop, d.done = stop, done
	go func() {
		defer close(done)
		defer stop()
		if earlier != nil {
			<-earlier
		}
		var err error
		if fetch {
			err = d.fetch(ctx)
		}
		if watch && err == nil {
			err = d.watch(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("discovery failed", "err", err)
			d.failed()
		}
	}()
}

// sleep waits, and tells whether it was left to wait to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
