package lifecycle

import "time"

// Violation is a rule that was broken, found when it was too late. There is no
// way on from one but to tell of it.
type Violation string

// The violations that a node can see by itself.
const (
	AnsweredLate      Violation = "answered_late"       // half a second after its client's time or later
	ClosedUnanswered  Violation = "closed_unanswered"   // a request was read, and its connection closed without an answer
	SentToRemoved     Violation = "sent_to_removed"     // after the grace for draining and removed endpoints
	SentAfterDeadline Violation = "sent_after_deadline" // the first byte left after the request's time
	EndedWithRequests Violation = "ended_with_requests" // a node has ended, and requests were still open
)

// How late an answer or a send may be before it counts as a violation.
const (
	slackOfLateAnswers = 500 * time.Millisecond
	slackOfSends       = 50 * time.Millisecond
)

// CheckAnswer tells whether an answer whose last byte was written at a time has
// come too late for its client.
func CheckAnswer(written, deadline time.Time) (Violation, bool) {
	return AnsweredLate, written.Sub(deadline) > slackOfLateAnswers
}

// CheckSend tells whether an attempt whose first byte was written at a time was
// one that should not have been: after its deadline, or to an endpoint that was
// known to be removed then for longer than grace. removed is zero for one that
// was not removed.
func CheckSend(written, deadline, removed time.Time, grace time.Duration) (Violation, bool) {
	switch {
	case !removed.IsZero() && written.Sub(removed) > grace+slackOfSends:
		return SentToRemoved, true
	case written.Sub(deadline) > slackOfSends:
		return SentAfterDeadline, true
	}
	return "", false
}
