package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

const emptyList = `{"index":1,"snapshot":true,"endpoints":[]}`

// TestWatchThatEndsOnKeptConnectionIsNotSentAgain guards against watches that a transport makes anew by itself, held for as long as before.
func TestWatchThatEndsOnKeptConnectionIsNotSentAgain(t *testing.T) {
	var calls atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(emptyList)))
		fmt.Fprint(w, emptyList)
	}))
	defer agent.Close()
	c := newCaller(agent.Listener.Addr().String(), func(string) {})
	defer c.close()
	if _, err := c.call(t.Context(), Call{Whole: true}, &progress{}); err != nil {
		t.Fatal(err)
	}
	_, err := c.call(t.Context(), Call{From: 1, Hold: time.Second}, &progress{})
	if name := outcome(err, waiting); name != "reset" || calls.Load() != 2 {
		t.Errorf("the call came to %q (%v) with %d calls at the agent, want reset with 2", name, err, calls.Load())
	}
}
