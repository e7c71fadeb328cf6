package decide_test

import (
	"fmt"
	"time"

	"indigotack/decide"
)

// A node asks the module where a request goes, with no wire in between.
func Example() {
	m := decide.New(decide.Settings{
		Nodes: 1, MaxAttempts: 3, ColdFrom: 0.5, ColdTime: 5 * time.Second,
		Classes: []decide.Class{{Name: "page", Worth: 1, Aim: time.Second, Deadline: 2 * time.Second, Effect: decide.Safe}},
	}, 1)
	clock := 10 * time.Second
	m.Handle(clock, decide.ListUpdate{Kind: decide.ListCached, Entries: []decide.Server{{ID: 7, State: decide.Ready}}})
	for _, a := range m.Handle(clock, decide.RequestArrived{ID: "r1", Class: "page", Patience: time.Second}) {
		if s, ok := a.(decide.Send); ok {
			fmt.Printf("send %s to server %d for %v\n", s.ID, s.Server, s.Timeout)
		}
	}
	// Output: send r1 to server 7 for 1s
}
