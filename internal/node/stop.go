package node

import "time"

// What a platform grants a node that it tells to end: it kills it no sooner
// than the longest deadline, or killCap if that is less, and killSlack after
// the order, and sends it new connections for arrivals at most.
const (
	killCap   = 3 * time.Second
	killSlack = 700 * time.Millisecond
	arrivals  = 400 * time.Millisecond
)

const (
	exitTime   = 50 * time.Millisecond  // for the process to end by itself
	writeOut   = 200 * time.Millisecond // for the last answers to be written, by a process that has little CPU
	arrivalLag = 100 * time.Millisecond // a connection made at the last moment is still accepted, and its request read
	finishTime = time.Second            // clients are asked to close so long before the last answers are due
)

// stopPlan is when the steps of an orderly stop are due, counted from the
// order. accept <= leave <= answer < end.
type stopPlan struct {
	accept time.Duration // new connections are taken at least until then
	leave  time.Duration // then the listener closes, and clients are asked to close
	answer time.Duration // then all that has been taken gets its final answer, whatever is still out
	end    time.Duration // then what is left is cut
}

// planStop has the steps end before the kill. A node without a platform has no cap.
func planStop(longest time.Duration, capped bool) stopPlan {
	kill := longest + killSlack
	if capped {
		kill = min(longest, killCap) + killSlack
	}
	p := stopPlan{end: kill - exitTime}
	p.answer = p.end - writeOut
	p.accept = min(arrivals+arrivalLag, p.answer)
	p.leave = max(p.accept, p.answer-finishTime)
	return p
}
