package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"indigotack/decide"
	"indigotack/internal/discovery"
	"indigotack/internal/lifecycle"
)

// sent is an attempt as its owner sees it.
type sent struct {
	cancel context.CancelFunc
	server string
	to     discovery.Entry // as it was listed then
	at     time.Time
	code   decide.OutcomeCode // how it ended; that of an answer while it is out, as it may run
}

func (n *owner) send(a decide.Send) {
	r := n.requests[a.ID]
	if r == nil {
		n.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	now, number := time.Now(), len(r.attempts)
	denial := lifecycle.MayBegin(now, n.attemptOf(r))
	if denial == lifecycle.ClientGone || denial == lifecycle.DeadlinePassed {
		n.expire(r)
	}
	end := r.deadline
	if a.Timeout != 0 && now.Add(a.Timeout).Before(end) {
		end = now.Add(a.Timeout)
	}
	repeatBy := r.repeatBy()
	ctx, cancel := context.WithDeadline(n.ctx, end)
	r.attempts = append(r.attempts, sent{cancel: cancel, server: n.ids.byID[a.Server], to: n.entries[n.ids.byID[a.Server]], at: now})
	if denial != lifecycle.Allowed {
		cancel()
		n.deny(r, number, a.Server, denial)
		return
	}
	r.running++
	if number > 0 {
		n.note(slog.LevelInfo, "request sent again", eventRetry, r.attempts[number-1].code.String(), "id", r.id, "attempt", number, "server", r.attempts[number].server)
	}
	server := instead(n, a.Server)
	go func() {
		defer cancel()
		var begunAfter time.Duration // what follows comes at the client's pace and says nothing of the server
		begin := func(res result) {
			begunAfter = time.Since(now)
			n.post(func() { n.beginAnswer(r, number, a.Server, begunAfter, res) })
		}
		attempt := func() result { return n.backends.attempt(ctx, server, r.out, repeatBy, begin) }
		res := afterAttempt(attempt, attempt())
		took := cmp.Or(begunAfter, time.Since(now))
		n.stages.note(stageUpstream, took)
		n.post(func() { n.attemptEnded(r, number, a.Server, took, res) })
	}()
}

// deny has the module know that an attempt was not sent, as it may not be.
func (n *owner) deny(r *request, number int, server decide.ServerID, denial lifecycle.Denial) {
	n.note(slog.LevelInfo, "attempt denied", eventDenial, string(denial), "id", r.id, "attempt", number, "server", r.attempts[number].server)
	r.attempts[number].code = decide.Superseded
	n.queue = append(n.queue, decide.AttemptEnded{ID: r.id, Attempt: number, Server: server, Over: r.done, Code: decide.Superseded})
}

// attemptOf is what is known of a further attempt of a request.
func (n *owner) attemptOf(r *request) lifecycle.Attempt {
	return lifecycle.Attempt{RequestEnded: r.done, ClientGone: r.out.clientGone(), Deadline: r.deadline, RepeatBy: r.repeatBy(), Outstanding: r.running,
		MayOverlap: n.set.MayOverlap, Unsafe: r.unsafe, EarlierMayRun: r.firstThatMayRun() >= 0, GroupReplaced: n.groupReplaced(r)}
}

// groupReplaced tells whether an attempt of a keyed request that may have run was sent to
// an address where the list has a server of another group now. Which of the two ran it
// is not known.
func (n *owner) groupReplaced(r *request) bool {
	if r.window <= 0 {
		return false
	}
	for _, a := range r.attempts {
		if a.code.NeverRan() || a.to.Address == "" {
			continue
		}
		for _, e := range n.entries {
			if e.Address == a.to.Address && !sameGroup(r.scope, e, a.to) {
				return true
			}
		}
	}
	return false
}

// sameGroup tells whether two servers drop repeats for one another.
func sameGroup(scope decide.Scope, a, b discovery.Entry) bool {
	switch scope {
	case decide.ScopeZone:
		return a.Zone == b.Zone
	case decide.ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// firstThatMayRun is the first attempt that may have run, in the order of
// sending; -1 if none may.
func (r *request) firstThatMayRun() int {
	return slices.IndexFunc(r.attempts, func(a sent) bool { return !a.code.NeverRan() })
}

// repeatBy is the moment from which the request may not be sent any more, as
// servers may have forgotten by then what they have run of it; zero: there is
// none. The module keeps to it when it decides, but a connection may be long
// in coming.
func (r *request) repeatBy() time.Time {
	first := r.firstThatMayRun()
	if r.window <= 0 || first < 0 {
		return time.Time{}
	}
	return r.attempts[first].at.Add(r.window)
}

func (n *owner) attemptEnded(r *request, number int, server decide.ServerID, took time.Duration, res result) {
	r.running--
	if res.code == decide.TimedOut && r.cut && !time.Now().Before(r.deadline) {
		res.code = decide.Cancelled // by this node, which says nothing about the server
	}
	r.attempts[number].code = res.code
	n.noteAttempt(r, number, took, res)
	served := answerOf(res)
	r.passable.body.Abandon() // an earlier server's words are not the last attempt's
	r.passable = answer{}
	switch {
	case res.passed: // its request has it
	case r.done:
		res.body.Abandon()
	case res.code == decide.OK:
		n.finish(r.id, served, "served")
	case res.passable:
		r.passable = served
	}
	over := r.done
	n.handle(decide.AttemptEnded{ID: r.id, Attempt: number, Server: server, Over: over, Elapsed: took,
		Code: res.code, Word: res.passable, Report: res.report})
	n.forget(r)
}

// beginAnswer has a request answered by what has come of a server's answer, and by what
// comes later. Its other attempts are called off, and it is not made again.
func (n *owner) beginAnswer(r *request, number int, server decide.ServerID, took time.Duration, res result) {
	if r.done {
		res.body.Abandon()
		return
	}
	n.finish(r.id, answerOf(res), "served_in_pieces")
	for i, other := range r.attempts {
		if i != number {
			other.cancel()
		}
	}
	n.handle(decide.StreamStarted{ID: r.id, Attempt: number, Server: server, Elapsed: took})
}

// noteAttempt counts an attempt, and logs it if it failed or ended at a server that
// was no longer ready, with since when.
func (n *owner) noteAttempt(r *request, number int, took time.Duration, res result) {
	server := r.attempts[number].server
	args := []any{"id", r.id, "attempt", number, "server", server, "after", took}
	since, departed := n.notReady[server]
	if departed {
		args = append(args, "not_ready_for", time.Since(since))
	}
	switch {
	case res.code != decide.OK:
		n.note(slog.LevelInfo, "attempt failed", eventAttempt, res.code.String(), append(args, "err", res.err)...)
	case departed:
		n.note(slog.LevelInfo, "attempt ended at a server that drains or left", eventAttempt, res.code.String(), args...)
	default:
		n.count(eventAttempt, res.code.String())
	}
}
