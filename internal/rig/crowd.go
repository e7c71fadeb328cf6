package rig

import (
	"context"
	"sync"
	"time"
)

// crowd is clients that hold connections to a node and do what has it hold much, or do
// much.
type crowd struct {
	end context.CancelFunc
	all sync.WaitGroup
}

const (
	crowdPace  = 500 * time.Microsecond // between the arrivals of a crowd's clients, as the rig is late when all come at once
	crowdEvery = 50 * time.Millisecond  // after which a client makes up for a connection that was closed
)

// What a crowd's clients do, in plans.
const (
	CrowdIdle      = "nothing"   // they send nothing, or half a head
	CrowdFields    = "fields"    // heads of very many short fields, without an end
	CrowdHalfBody  = "half-body" // requests but the end of their bodies
	CrowdSlowBody  = "slow-body" // the same with large bodies, in small parts
	CrowdChecks    = "checks"    // health checks at full speed
	CrowdReturning = "long-head" // they come again and again with a first line that is too long
)

var crowdWords = []string{CrowdIdle, CrowdFields, CrowdHalfBody, CrowdSlowBody, CrowdChecks, CrowdReturning}

// crowdUses are what the clients of a crowd do, in turn.
var crowdUses = map[string][]connectionUse{
	CrowdIdle: {useHalfHead, useSilent, useSilent}, CrowdFields: {useFields}, CrowdHalfBody: {useHalfBody},
	CrowdSlowBody: {useSlowBody}, CrowdChecks: {useChecks}, CrowdReturning: {useLongHead},
}

// gather has so many connections held to a node until disperse is called, by clients
// that do as a plan says.
func gather(n *node, connections int, does string) *crowd {
	ctx, end := context.WithCancel(n.of.ctx)
	c := &crowd{end: end}
	c.all.Go(func() {
		for i := 0; i < connections && pause(crowdPace, ctx.Done()); i++ {
			uses := crowdUses[does]
			use := uses[i%len(uses)]
			c.all.Go(func() { n.stay(ctx, use) })
		}
	})
	return c
}

// stay holds a connection to the node, and another whenever one has ended.
func (n *node) stay(ctx context.Context, use connectionUse) {
	for ctx.Err() == nil {
		n.hold(ctx, n.of.network.block.seenAt(n.i), use)
		pause(crowdEvery, ctx.Done())
	}
}

func (c *crowd) disperse() {
	c.end()
	c.all.Wait()
}
