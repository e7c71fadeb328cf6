package peers

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestStateIsKeptWhenTheDiskRecovers: writes fail for a while, in which the view
// changes. It is kept soon after they succeed again, though nothing changes then.
func TestStateIsKeptWhenTheDiskRecovers(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	first := memberAt(t, "first", netip.MustParseAddrPort("127.199.1.1:7946"), dir, nil)
	// A file in the folder's place has every write to it fail, also for a superuser.
	aside := dir + ".aside"
	if err := os.Rename(dir, aside); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	second, _ := member(t, "second", nil, "127.199.1.1:7946")
	until(t, "one view of both", settledOn(2), first, second)
	time.Sleep(saveTime + 500*time.Millisecond) // the change is tried, and fails
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(aside, dir); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(wait); ; time.Sleep(50 * time.Millisecond) {
		if s, err := readState(filepath.Join(dir, stateFile), "first"); err == nil && len(s.Members) == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the second member is never kept")
		}
	}
}

// TestLeftoversOfAKillAreRemoved: a kill in the middle of a write leaves a file
// half done beside the state, once for each kill.
func TestLeftoversOfAKillAreRemoved(t *testing.T) {
	dir := t.TempDir()
	if err := (state{Name: "a", Start: 7}).save(dir); err != nil {
		t.Fatal(err)
	}
	leftover := filepath.Join(dir, stateFile+".new-123")
	if err := os.WriteFile(leftover, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := loadState(dir, "a"); err != nil || s.Start != 7 {
		t.Errorf("read as %+v, %v", s, err)
	}
	if _, err := os.Stat(leftover); !os.IsNotExist(err) {
		t.Errorf("the leftover is still there: %v", err)
	}
}
