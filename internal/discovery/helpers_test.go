package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"indigotack/internal/testnet"
)

// enough bounds what a test waits for; a passing one takes far less.
const enough = 30 * time.Second

var quiet = slog.New(slog.DiscardHandler)

// recorded is a Recorder that keeps what it is told.
type recorded struct {
	mu    sync.Mutex
	lines []string // "event reason message args"
}

func (r *recorded) Count(event, reason string) {}

func (r *recorded) Note(_ slog.Level, message, event, reason string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, strings.TrimSpace(fmt.Sprintln(append([]any{event, reason, message}, args...)...)))
}

// with is the lines that have a text.
func (r *recorded) with(text string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.lines), func(line string) bool { return !strings.Contains(line, text) })
}

func entryJSON(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, status)
}

// listText is a whole list of so many servers that are ready.
func listText(index, servers int) string {
	var entries []string
	for i := range servers {
		entries = append(entries, entryJSON(fmt.Sprint("s", i), "ready"))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
}

// followerOf follows what a server tells, from a version on; lists get its news.
func followerOf(t *testing.T, address string, from Source, times Times, version uint64) (f *Follower, lists chan List) {
	lists = make(chan List, 100)
	sink := Sink{List: func(l List) { lists <- l }, Failed: func() { t.Error("told a failure") }}
	return NewFollower(address, from, times, version, quiet, &recorded{}, sink), lists
}

// following runs a follower until the test's end, before what was cleaned up for earlier.
func following(t *testing.T, s *httptest.Server, from Source, times Times, version uint64) <-chan List {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f, lists := followerOf(t, s.Listener.Addr().String(), from, times, version)
	go f.Follow(ctx)
	return lists
}

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	return testnet.Receive(t, enough, c, what)
}
