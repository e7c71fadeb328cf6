package lifecycle

import "time"

// How long a client's connection is spared that carries no request.
const (
	SpeakTime = 250 * time.Millisecond // silent for longer without a first request, it is the first to give way
	SpareTime = 20 * time.Millisecond  // its first request comes with it, or right behind it
)

// Idle is what is known of a client's connection that carries no whole request.
type Idle struct {
	Since  time.Time // it has been so, or the last part of a request came then
	Spoken bool      // it has carried a request before
	Begun  bool      // a part of a request has been read
	Unread bool      // bytes have come that nobody has read, which may be a request
}

// MayCloseIdle tells whether an idle connection may be closed in a phase
// of an orderly stop or a drain. A request that has begun, or lies unread, is owed an
// answer; and one is expected on a connection that is new.
func MayCloseIdle(now time.Time, phase Phase, c Idle) bool {
	switch {
	case c.Begun || c.Unread:
		return false
	case phase >= Expired:
		return true
	case phase >= Closing:
		return c.Spoken || now.Sub(c.Since) >= SpeakTime
	}
	return false
}

// EvictionRank tells whether an idle connection may be closed to make room for
// others, and how soon among them: those of the lowest rank go first, and of
// one rank the one that has been idle longest. One that has carried a request goes
// after all that have not.
func EvictionRank(now time.Time, c Idle) (rank int, may bool) {
	const silent, stalled, unspoken, betweenRequests, stalledAgain = 0, 1, 2, 3, 4
	age := now.Sub(c.Since)
	switch {
	case c.Unread:
		return 0, false
	case c.Begun && c.Spoken:
		return stalledAgain, age >= SpeakTime // before, the rest may have come
	case c.Begun:
		return stalled, age >= SpeakTime // as above
	case c.Spoken:
		return betweenRequests, true
	case age >= SpeakTime:
		return silent, true
	}
	return unspoken, age >= SpareTime
}

// LingerTime is for the last answer on a connection to be read by a client that goes
// on sending.
const LingerTime = 100 * time.Millisecond

// LingeringMayGiveWay tells whether a connection may be closed to make room that
// is kept only for its client to read the last answer, since then, and on which bytes
// lie unread or not: a close over these may cost the client the answer.
func LingeringMayGiveWay(now, since time.Time, unread bool) bool {
	if unread {
		return now.Sub(since) >= LingerTime
	}
	return now.Sub(since) >= SpareTime
}

// Extra is what is known of a client's connection that was accepted beyond the
// number that the node may hold, only to hear what it wants.
type Extra struct {
	Accepted time.Time
	Heard    time.Time // its last bytes came then, or it was made, maybe long before it was accepted
	Unread   bool      // bytes have come that nobody has read
	Client   bool      // what has come is the beginning of a client's request, which is refused anyway
	Owed     bool      // a request's whole head has been read, and nothing of its answer is written
}

// ExtraTime is how long after its acceptance an extra connection's request has to have come.
const ExtraTime = SpeakTime

// ExtraPhase is how far the time of an extra connection has come.
func ExtraPhase(now, accepted time.Time) Phase { return newcomerPlan.phase(now.Sub(accepted), true) }

// ExtraMayGiveWay tells whether an extra connection may be closed for a newer
// one. A request comes with its connection or right behind it, and is waited for
// while it may be an operator's or a health check.
func ExtraMayGiveWay(now time.Time, c Extra) bool {
	return !c.Unread && !c.Owed && (c.Client || now.Sub(earlier(c.Accepted, c.Heard)) >= SpareTime)
}
