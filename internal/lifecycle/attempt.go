package lifecycle

import "time"

// Denial is why something may not be done now; Allowed is that it may.
type Denial string

// The denials of an attempt.
const (
	Allowed          Denial = ""
	RequestEnded     Denial = "request_ended"      // it has its final answer
	ClientGone       Denial = "client_gone"        // nobody waits for the answer
	DeadlinePassed   Denial = "deadline_passed"    // of the request, or of the attempt
	RepeatWindowOver Denial = "repeat_window_over" // servers may have forgotten an earlier attempt
	EndpointRemoved  Denial = "endpoint_removed"   // the list wants nothing new sent there
	AttemptOut       Denial = "attempt_out"        // another one may still run, and two may not
	GroupReplaced    Denial = "group_replaced"     // an earlier one may have run at servers that do not drop repeats for these
	MayHaveRun       Denial = "may_have_run"       // an earlier one may have run, and a second run would do harm
)

// Attempt is what is known of an attempt when it is about to begin, or right
// before its first byte.
type Attempt struct {
	RequestEnded    bool
	ClientGone      bool
	EndpointRemoved bool      // the endpoint drains, is gone, or is another process than the one that was chosen
	Deadline        time.Time // the sooner of the request's and the attempt's own
	RepeatBy        time.Time // from then on servers may have forgotten an earlier attempt that may have run; zero: no such time
	Outstanding     int       // other attempts of the request that have not ended
	MayOverlap      bool      // two attempts of a request may be out at once
	Unsafe          bool      // a second run of the request would do harm
	EarlierMayRun   bool      // an earlier attempt may have run, or may yet
	GroupReplaced   bool      // where it was sent is now an endpoint of a group that does not drop repeats for the first
}

// MayBegin tells whether an attempt may be sent now.
func MayBegin(now time.Time, a Attempt) Denial {
	switch {
	case a.RequestEnded:
		return RequestEnded
	case a.ClientGone:
		return ClientGone
	case !now.Before(a.Deadline):
		return DeadlinePassed
	case a.EndpointRemoved:
		return EndpointRemoved
	case a.Outstanding > 0 && !a.MayOverlap:
		return AttemptOut
	case a.Unsafe && a.EarlierMayRun:
		return MayHaveRun
	case a.EarlierMayRun && a.GroupReplaced:
		return GroupReplaced
	case a.EarlierMayRun && !a.RepeatBy.IsZero() && !now.Before(a.RepeatBy):
		return RepeatWindowOver
	}
	return Allowed
}
