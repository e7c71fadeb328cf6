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
	heard []OperatorAddress // that are listened on
	calls map[heardCall]int
}

type heardCall struct{ call, at string }

// listen notes that operators are heard at an address that was told by a name.
func (c *callLog) listen(address, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = append(c.heard, OperatorAddress{address, name})
}

func (c *callLog) add(call, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = map[heardCall]int{}
	}
	c.calls[heardCall{call, at}]++
}

// addresses are those that operators are heard at, with the names that told them.
func (c *callLog) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return texts(c.heard)
}

// missing are those of some addresses that operators are not heard at.
func (c *callLog) missing(told []OperatorAddress) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	heard := func(o OperatorAddress) bool {
		return slices.ContainsFunc(c.heard, func(h OperatorAddress) bool { return h.Name == o.Name && sameListener(h.Address, o.Address) })
	}
	return texts(slices.DeleteFunc(slices.Clone(told), heard))
}

// texts are addresses as they stand in a line of the log.
func texts(addresses []OperatorAddress) (all []string) {
	for _, a := range addresses {
		all = append(all, fmt.Sprintf("%s(%s)", a.Address, a.Name))
	}
	return all
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
