package lifecycle

import "time"

// What a platform grants a node that it tells to end: it kills it no sooner
// than the longest deadline, or killCap if that is less, and killSlack after
// the signal, and sends it new connections for arrivals at most.
const (
	killCap   = 3 * time.Second
	killSlack = 700 * time.Millisecond
	arrivals  = 400 * time.Millisecond
)

const (
	exitTime   = 50 * time.Millisecond  // for the process to end by itself
	writeTime  = 200 * time.Millisecond // for the last answers to be written, by a process that has little CPU
	arrivalLag = 100 * time.Millisecond // a connection made at the last moment is still accepted, and its request read
	refuseTime = 50 * time.Millisecond  // for a refusal to reach a client that is still sending
	closeTime  = time.Second            // clients are asked to close so long before the last answers are due
)

// ShutdownPlan is when the steps of an orderly stop are due, counted from the
// termination signal. Accept <= Close <= Answer < Refuse < End.
type ShutdownPlan struct {
	Accept time.Duration // new connections are accepted at least until then
	Close  time.Duration // then the listener closes, and clients are asked to close
	Answer time.Duration // then all that has been taken gets its final answer, whatever is still out
	Refuse time.Duration // then requests that have not come whole are refused
	End    time.Duration // then what is left is cut
}

// PlanShutdown has the steps end before the kill, for a node whose classes'
// longest deadline is given. One without a platform (capped is false) has no cap.
func PlanShutdown(longest time.Duration, capped bool) ShutdownPlan {
	kill := longest + killSlack
	if capped {
		kill = min(longest, killCap) + killSlack
	}
	p := ShutdownPlan{End: kill - exitTime}
	p.Refuse = p.End - refuseTime
	p.Answer = p.End - writeTime
	p.Accept = min(arrivals+arrivalLag, p.Answer)
	p.Close = max(p.Accept, p.Answer-closeTime)
	return p
}

// phase is that of what was there when the plan began, so long after. closing
// tells that clients were asked to close sooner than the plan has it.
func (p ShutdownPlan) phase(since time.Duration, closing bool) Phase {
	switch {
	case since >= p.End:
		return Ended
	case since >= p.Refuse:
		return Refusing
	case since >= p.Answer:
		return Expired
	case closing || since >= p.Close:
		return Closing
	}
	return Draining
}

// headTime is for a head that has come whole to be taken, by a process that read
// it a moment before its connection's time was over.
const headTime = 20 * time.Millisecond

// MayRefuse tells whether a request may be refused whose head has not been taken
// so long after its connection's time was over.
func MayRefuse(sinceOver time.Duration) bool { return sinceOver >= headTime }

// MayCut tells whether a connection may be cut so long after its answer was due,
// and after its time was over, which is when what has not come whole is refused.
// What is owed an answer gets the time to have it written, also in a process that
// stood still until then.
func MayCut(sinceDue, sinceOver time.Duration, owed bool) bool {
	if owed {
		return sinceDue >= writeTime
	}
	return sinceOver >= refuseTime
}
