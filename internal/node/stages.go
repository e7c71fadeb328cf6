package node

import (
	"fmt"
	"sync/atomic"
	"time"
)

// stage is a part of a request's way through the node.
type stage int

// The stages, in the order in which a request passes them.
const (
	stageRead     stage = iota // from its last bytes' arrival until it has been read whole
	stageQueued                // until the event loop has taken it up
	stageUpstream              // an attempt at a server
	stageWritten               // the writing of its answer
	stages
)

var stageNames = [stages]string{"read", "queued", "upstream", "written"}

// stageTimes keeps the longest time that a request has spent in each stage. Its zero
// value is ready, and it is safe for concurrent use.
type stageTimes [stages]atomic.Int64

// note takes up how long a request was in a stage.
func (s *stageTimes) note(in stage, took time.Duration) {
	for longest := s[in].Load(); int64(took) > longest; longest = s[in].Load() {
		if s[in].CompareAndSwap(longest, int64(took)) {
			return
		}
	}
}

// take gives the longest times since it was last called, such as read=1.2ms; of
// stages in which nothing was, none.
func (s *stageTimes) take() (all []string) {
	for i := range s {
		if longest := time.Duration(s[i].Swap(0)); longest > 0 {
			all = append(all, fmt.Sprintf("%s=%v", stageNames[i], longest))
		}
	}
	return all
}
