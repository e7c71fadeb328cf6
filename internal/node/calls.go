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
	heard []string // addresses of operators that are listened on, with their names
	calls map[heardCall]int
}

type heardCall struct{ call, at string }

// listen notes that operators are heard at an address that was told by a name.
func (c *callLog) listen(address, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, fmt.Sprintf("%s(%s)", address, name))
}

func (c *callLog) add(call, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[heardCall]int{}
	}
	c.calls[heardCall{call, at}]++
}

// addresses are those that operators are heard at.
func (c *callLog) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.heard)
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
