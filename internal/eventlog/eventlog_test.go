package eventlog

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.got.Write(b)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 100 {
			fmt.Fprintln(w, i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a reader that does not read blocks the writer")
	}
	if n := w.Dropped(); n < 89 || n > 90 { // one line may be in the reader's hands
		t.Errorf("%d lines dropped, want 89 or 90", n)
	}
	w.Close(time.Millisecond) // does not wait for ever
	close(out.release)
	<-w.done
	if !bytes.HasPrefix(out.got.Bytes(), []byte("0\n1\n2\n")) {
		t.Errorf("got %q", out.got.String())
	}
	fmt.Fprintln(w, "after the end") // is dropped without a panic
}

func TestLimiter(t *testing.T) {
	l, zero := NewLimiter(2), time.Unix(1, 0)
	for i, c := range []struct {
		kind       string
		after      time.Duration
		passes     bool
		suppressed int
	}{
		{"a", 0, true, 0}, {"a", 0, true, 0}, {"a", 0, false, 0}, {"b", 0, true, 0}, {"a", 999 * time.Millisecond, false, 0},
		{"a", time.Second, true, 2}, {"a", time.Second, true, 0}, {"a", time.Second, false, 0},
	} {
		if passes, suppressed := l.Allow(c.kind, zero.Add(c.after)); passes != c.passes || suppressed != c.suppressed {
			t.Errorf("event %d: %v, %d suppressed, want %v, %d", i, passes, suppressed, c.passes, c.suppressed)
		}
	}
	if all := l.Suppressed(); len(all) != 1 || all["a"] != 1 {
		t.Errorf("suppressed are %v, want one of a", all)
	}
	if passes, suppressed := l.Allow("a", zero.Add(2*time.Second)); !passes || suppressed != 0 || len(l.Suppressed()) != 0 {
		t.Errorf("what was told of is told again: %v, %d", passes, suppressed)
	}
}
