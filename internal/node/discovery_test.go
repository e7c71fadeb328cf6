package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
)

var quiet = slog.New(slog.DiscardHandler)

func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

func TestIDs(t *testing.T) {
	a, b := newIDs(), newIDs()
	if first, again := a.of("s-1"), a.of("s-1"); first != again || first == a.of("s-2") {
		t.Error("one name has two numbers, or two names one")
	}
	if b.of("s-2") != a.of("s-2") {
		t.Error("numbers depend on the order of the names")
	}
	a.hash = func(s string) uint32 { return uint32(strings.Count(s, "\x00")) }
	x, y := a.of("x"), a.of("y")
	if x == y || a.of("x") != x || a.of("y") != y {
		t.Errorf("names with one hash get numbers %d and %d", x, y)
	}
	a.forget("x")
	if a.of("z") != x {
		t.Error("a forgotten number stays taken")
	}
}

func TestSinceOnTheModulesClock(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	before := time.Now().UnixMilli()
	if now := n.now(); now < time.Duration(before)*time.Millisecond || now > time.Duration(before)*time.Millisecond+enough {
		t.Errorf("the module's clock reads %v at Unix time %d ms", now, before)
	}
}

func TestFollowSetsAddresses(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	apply := func(kind decide.ListKind, entries ...string) {
		var l discovery.List
		if err := json.Unmarshal([]byte(`{"index":1,"endpoints":[`+strings.Join(entries, ",")+`]}`), &l); err != nil {
			t.Fatal(err)
		}
		n.follow(l.Entries, l.Index, kind, discovery.Origin{})
	}
	check := func(when string, listed int, want map[string]string) {
		t.Helper()
		if len(n.listed) != listed || len(n.backends.backends) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, want %d and %d", when, len(n.listed), len(n.backends.backends), listed, len(want))
		}
		for name, address := range want {
			if b := n.backends.backends[n.listed[name]]; b == nil || b.address != address {
				t.Errorf("%s: %s is at %+v, want %s", when, name, b, address)
			}
		}
		if (n.front.phase() == lifecycle.Ready) != (listed > 0) {
			t.Errorf("%s: ready is wrong", when)
		}
	}
	check("at the start", 0, nil)
	apply(decide.ListCached, entryJSON("a", "127.0.0.1:1", "ready"), entryJSON("b", "127.0.0.1:2", "draining"))
	check("cached", 2, map[string]string{"a": "127.0.0.1:1"}) // nothing new goes to one that drains
	apply(decide.ListChanges, entryJSON("a", "127.0.0.1:1", "draining"), entryJSON("b", "127.0.0.1:2", "ready"))
	check("the other way round", 2, map[string]string{"b": "127.0.0.1:2"})
	apply(decide.ListChanges, entryJSON("a", "127.0.0.1:3", "ready"), entryJSON("b", "", "gone"), entryJSON("c", "", "gone"))
	check("changes", 1, map[string]string{"a": "127.0.0.1:3"})
	apply(decide.ListFull, entryJSON("d", "127.0.0.1:4", "ready"))
	check("full", 1, map[string]string{"d": "127.0.0.1:4"})
	apply(decide.ListFull)
	check("empty", 0, nil)
}

// listServer is a discovery with one list, which it gives to who has another
// version; watches on it hang. began gets a value when one has come, gone when one ends.
func listServer(t *testing.T, index int, entries ...string) (address string, began, gone chan bool) {
	t.Helper()
	began, gone = make(chan bool, 100), make(chan bool, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == fmt.Sprint(index) {
			began <- true
			<-r.Context().Done()
			gone <- true
			return
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), began, gone
}

// TestReloadMovesDiscovery: the list at the new address is taken whole though its
// versions are lower, and the old watch ends.
func TestReloadMovesDiscovery(t *testing.T) {
	n := startNode(t, refusing(t))
	names := func() string {
		got := make(chan string, 1)
		n.post(func() { got <- fmt.Sprint(slices.Sorted(maps.Keys(n.listed))) })
		return wait(t, got, "the list")
	}
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(enough); names() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the list is %s, want %s", names(), want)
			}
		}
	}
	first, firstBegan, firstGone := listServer(t, 9, entryJSON("a", "127.0.0.1:1", "ready"))
	second, _, _ := listServer(t, 3, entryJSON("b", "127.0.0.1:2", "ready"))
	cfg := n.cfg
	cfg.Discovery = first
	n.Reload(cfg)
	until("[a]")
	wait(t, firstBegan, "the old watch") // the list is there before the watch that follows it
	cfg.Discovery = second
	n.Reload(cfg)
	until("[b]")
	wait(t, firstGone, "the end of the old watch")
	until("[b]")
	n.Reload(cfg) // the same again changes nothing
	until("[b]")
}

// TestTenThousandNames: a list of them is followed whole, numbers are distinct
// although names share hashes, and they are the same at every node.
func TestTenThousandNames(t *testing.T) {
	var entries []discovery.Entry
	for i := range 10000 {
		entries = append(entries, discovery.Entry{Name: fmt.Sprint("s-", i), Address: "127.0.0.1:1", Status: "ready", Weight: 1})
	}
	var numbers []map[string]decide.ServerID
	for range 2 {
		n := New(testConfig("127.0.0.1:1"), quiet)
		full := n.ids.hash
		n.ids.hash = func(s string) uint32 { return full(s) % 20000 } // so that thousands clash
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		n.follow(entries, 1, decide.ListFull, discovery.Origin{})
		seen := map[decide.ServerID]bool{}
		for _, id := range n.listed {
			seen[id] = true
		}
		if len(n.listed) != 10000 || len(seen) != 10000 {
			t.Errorf("%d listed under %d numbers", len(n.listed), len(seen))
		}
		numbers = append(numbers, n.listed)
	}
	if !maps.Equal(numbers[0], numbers[1]) {
		t.Error("two nodes number the same list differently")
	}
}

// TestCallToDiscoveryGetsADescriptor guards against a node that hears of no drain while idle connections to servers hold the last descriptors.
func TestCallToDiscoveryGetsADescriptor(t *testing.T) {
	n := startNode(t, serving(t))
	do(t, n.request(t, "GET", "saldo", "q", "5", nil))
	idle := func() int {
		n.backends.mu.Lock()
		defer n.backends.mu.Unlock()
		return n.backends.idle.Len()
	}
	waitUntil(t, "an idle connection", func() bool { return idle() > 0 })
	before := idle()
	n.discoveryFailed(&url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ECONNREFUSED)}})
	if idle() != before {
		t.Error("a call that was refused costs a connection to a server")
	}
	n.discoveryFailed(&url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}})
	if idle() != before-1 {
		t.Errorf("%d idle connections are held while calls have no descriptor, want %d", idle(), before-1)
	}
}
