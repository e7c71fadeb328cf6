package peers

import (
	"testing"
	"time"

	"indigotack/internal/testnet"
	"indigotack/internal/view"
)

// TestSilentAddressToJoinAtSettlesNobodyAlone guards against a node that holds itself for the whole fleet because a partition keeps it from the addresses to join at.
func TestSilentAddressToJoinAtSettlesNobodyAlone(t *testing.T) {
	t.Parallel()
	silent := testnet.Listen(t) // takes connections, and never a word on them
	a, _ := member(t, "a", nil, silent.Addr().String())
	for end := time.Now().Add(aloneTime + 2*time.Second); time.Now().Before(end); time.Sleep(tickTime) {
		if s := a.Snapshot(); s.Settled {
			t.Fatalf("settled alone while somebody may be at an address to join at: %+v", s)
		}
	}
	silent.Close()
	until(t, "a view of one, as nobody listens there", settledOn(1), a)
}

// TestEachAddressToJoinAtIsTried guards against a node that stays alone because those it tries first have all gone.
func TestEachAddressToJoinAtIsTried(t *testing.T) {
	t.Parallel()
	a, at := member(t, "a", nil)
	var join []string
	for range 4 * tries {
		join = append(join, ownAddress().String()) // nobody is there
	}
	b, _ := member(t, "b", nil, append(join, at)...)
	until(t, "one view of two", settledOn(2), a, b)
}

// TestAloneBesideItsOwnAddress guards against a node that waits for itself for ever, as it is told to join at its own address.
func TestAloneBesideItsOwnAddress(t *testing.T) {
	t.Parallel()
	at := ownAddress()
	a := memberAt(t, "a", at, t.TempDir(), nil, "127.0.0.1:1", at.String())
	until(t, "a view of one", settledOn(1), a)
	if n := len(a.Snapshot().Members); n != 1 || a.Snapshot().Members[0].State != view.Alive {
		t.Errorf("a knows %d members", n)
	}
}
