package peers

import (
	"context"
	"time"
)

const (
	drainedTick = 100 * time.Millisecond // between looks whether this node is drained
	updateTime  = time.Second            // for the first others to be sent what has changed
)

// tellDrains tells the others, through the detector, when this node is drained
// and when it serves again, and once more after the node has joined anew.
func (p *Peers) tellDrains(ctx context.Context) {
	tick := time.NewTicker(drainedTick)
	defer tick.Stop()
	told, through := false, p.list.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		drained, list := p.cfg.Drained(), p.list.Load()
		if drained == told && list == through {
			continue
		}
		p.mu.Lock()
		p.view.SetDrained(drained)
		p.mu.Unlock()
		told, through = drained, list
		if err := list.UpdateNode(updateTime); err != nil {
			p.log.Warn("peers: whether this node is drained reaches the others late", "drained", drained, "err", err)
		}
	}
}
