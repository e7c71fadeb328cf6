package node

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/discovery"
	"indigotack/internal/eventlog"
	"indigotack/internal/lifecycle"
	"indigotack/internal/metrics"
)

// The events that a node counts and logs. Each has a reason beside it.
const (
	eventRequest    = "requests"           // a client's request has its final answer, or needs none any more
	eventAttempt    = "attempts"           // an attempt at a server has ended
	eventRetry      = "retries"            // a request is sent once more
	eventConnection = "connections_closed" // a client's connection was closed by this side
	eventAccept     = "accept_errors"      // accepting a connection has failed
	eventList       = discovery.EventList  // a list of servers was taken up
	eventOperator   = "operator_calls"     // an operator has given an order, or asked
	eventUnread     = "unread"             // a connection or a request was refused or closed before a request was taken
	eventPhase      = "phases"             // the node's life has gone on
	eventDenial     = "denials"            // an attempt was not sent that the module wanted, as it may not be any more
	eventSignal     = "signals"            // the process was sent a signal
	eventReload     = "reloads"            // a configuration was read while the node runs
	eventStall      = "stalls"             // the process stood still
	eventViolation  = "violations"         // a rule was broken, which was found when it was too late
)

const (
	linesPerSecond = 5                // of one event and reason in the log; the rest is counted
	namesInLine    = 10               // servers named in one line of the log
	summaryEvery   = 10 * time.Second // counters go to the log so often, if there is news
	suppressEvery  = time.Second      // and what lines were left out
)

// observer counts and logs what happens in a node, so that a failure can be
// told from what is left of it. It is safe for concurrent use.
type observer struct {
	log      *slog.Logger
	counters *metrics.Set
	limiter  *eventlog.Limiter
	unread   *unreadLog
	calls    *callLog
	stages   *stageTimes
}

func newObserver(log *slog.Logger) *observer {
	return &observer{log: log, counters: &metrics.Set{}, limiter: eventlog.NewLimiter(linesPerSecond), unread: &unreadLog{}, calls: &callLog{}, stages: &stageTimes{}}
}

// with is the same observer with further attributes on its lines.
func (o *observer) with(args ...any) *observer {
	copied := *o
	copied.log = o.log.With(args...)
	return &copied
}

// count counts an event that is too common for the log.
func (o *observer) count(event, reason string) { o.counters.Add(event, reason) }

// note counts an event and logs it, unless there were many of its kind lately.
func (o *observer) note(level slog.Level, message, event, reason string, args ...any) {
	o.counters.Add(event, reason)
	passes, suppressed := o.limiter.Allow(event+"/"+reason, time.Now())
	if !passes {
		return
	}
	args = append(args, "reason", reason)
	if suppressed > 0 {
		args = append(args, "suppressed", suppressed)
	}
	o.log.Log(context.Background(), level, message, args...)
}

// recorder is an observer as package discovery sees it.
type recorder struct{ *observer }

// Count counts an event that is too common for the log.
func (r recorder) Count(event, reason string) { r.count(event, reason) }

// Note counts an event and logs it, unless there were many of its kind lately.
func (r recorder) Note(level slog.Level, message, event, reason string, args ...any) {
	onDiscovery(reason)
	r.note(level, message, event, reason, args...)
}

// NoteSignal counts and logs that the process was sent a signal.
func (o *observer) NoteSignal(s os.Signal) {
	name := s.String()
	if number, ok := s.(syscall.Signal); ok && unix.SignalName(number) != "" {
		name = unix.SignalName(number)
	}
	o.note(slog.LevelInfo, "signal received", eventSignal, name)
}

// violation counts and logs that a rule was broken.
func (o *observer) violation(v lifecycle.Violation, args ...any) {
	o.note(slog.LevelError, "rule violated", eventViolation, string(v), args...)
}

// tellSuppressed logs how many lines of each kind were left out, if there were any.
func (o *observer) tellSuppressed() {
	kinds := o.limiter.Suppressed()
	if len(kinds) == 0 {
		return
	}
	var all []string
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		all = append(all, fmt.Sprintf("%s=%d", kind, kinds[kind]))
	}
	o.log.Info("lines left out", "of", all)
}

// summarize logs all counters until done is closed, whenever they have changed,
// and once more then; and what lines were left out.
func (o *observer) summarize(done <-chan struct{}) {
	var logged []metrics.Sample
	log := func() {
		samples := o.counters.Samples()
		if slices.Equal(samples, logged) {
			return
		}
		logged = samples
		o.log.Info("counters", "since_start", samples)
	}
	ticker, second := time.NewTicker(summaryEvery), time.NewTicker(suppressEvery)
	defer ticker.Stop()
	defer second.Stop()
	for {
		select {
		case <-ticker.C:
			log()
		case <-second.C:
			o.tellSuppressed()
		case <-done:
			o.tellSuppressed()
			log()
			return
		}
	}
}

// names shortens a list of servers for the log.
func names(all []string) []string {
	if len(all) <= namesInLine {
		return all
	}
	return append(slices.Clone(all[:namesInLine]), "...")
}
