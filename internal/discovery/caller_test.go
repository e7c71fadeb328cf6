package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
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

// TestConnectionIsKeptBehindAnswerInChunks guards against a connection made for each call, which an agent that takes no new ones refuses.
func TestConnectionIsKeptBehindAnswerInChunks(t *testing.T) {
	var mu sync.Mutex
	clients := map[string]bool{}
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		clients[r.RemoteAddr] = true
		mu.Unlock()
		fmt.Fprint(w, emptyList)
		w.(http.Flusher).Flush()
		time.Sleep(endTime / 5) // the end comes by itself
	}))
	defer agent.Close()
	c := newCaller(agent.Listener.Addr().String(), func(string) {})
	defer c.close()
	for range 3 {
		if _, err := c.call(t.Context(), Call{Whole: true}, &progress{}); err != nil {
			t.Fatal(err)
		}
	}
	if len(clients) != 1 {
		t.Errorf("3 calls were made on %d connections, want 1", len(clients))
	}
}

// TestAnswerWithoutEndIsTaken guards against a list that waits for the end of its answer.
func TestAnswerWithoutEndIsTaken(t *testing.T) {
	over := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, emptyList)
		w.(http.Flusher).Flush()
		<-over
	}))
	defer agent.Close()
	defer close(over)
	c := newCaller(agent.Listener.Addr().String(), func(string) {})
	defer c.close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if l, err := c.call(ctx, Call{Whole: true}, &progress{}); err != nil || l.Index != 1 {
		t.Errorf("the list of version %d, %v", l.Index, err)
	}
}
