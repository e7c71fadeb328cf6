package node

import (
	"fmt"
	"slices"
	"sync"
)

// callLog counts operators' calls by what they ask and by the address that heard
// them. Both are few. It is safe for concurrent use.
type callLog struct {
	mu    sync.Mutex
	calls map[heardCall]int
}

type heardCall struct{ call, at string }

func (c *callLog) add(call, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[heardCall]int{}
	}
	c.calls[heardCall{call, at}]++
}

// summary gives the calls since the node was made, such as "quiesce@listen=2", in order.
func (c *callLog) summary() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h, count := range c.calls {
		all = append(all, fmt.Sprintf("%s@%s=%d", h.call, h.at, count))
	}
	slices.Sort(all)
	return all
}
