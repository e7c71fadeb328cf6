package node

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"indigotack/internal/appconfig"
	"indigotack/internal/lifecycle"
)

// metricsPath is where counters are asked for.
const metricsPath = "/metrics"

// orderMethods are those of an order; a status is asked for with GET alone.
var orderMethods = []string{http.MethodPost, http.MethodPut, http.MethodGet}

// drainedTick is how often a drained node without connections looks after new ones.
const drainedTick = 20 * time.Millisecond

// onListen is the name of the address where clients connect, beside those of
// operators' own.
const onListen = "listen"

var errDrained = errors.New("this node is drained")

// Status is what operators are told of a node.
type Status struct {
	State        string  `json:"state"`                    // a lifecycle.Phase by its name
	Reason       string  `json:"reason,omitempty"`         // why the node is in that state, or why an order is denied
	DrainedFor   float64 `json:"drained_seconds,omitzero"` // since the first order to drain
	OpenRequests int64   `json:"open_requests"`
	Connections  int     `json:"connections"` // of clients, without the one that asks
}

// operatorCall answers what operators ask on the address where clients connect,
// and is false for all else. A request with a class is a client's, whatever its path.
func (f *frontend) operatorCall(w http.ResponseWriter, r *http.Request) bool {
	if !f.takesOrders || len(r.Header.Values("X-Class")) > 0 {
		return false
	}
	if f.tellsCounters && r.URL.Path == metricsPath && r.Method == http.MethodGet {
		f.counters.ServeHTTP(w, r)
		return true
	}
	return f.answerOperator(w, r, onListen)
}

// operators answers what operators ask on an address of their own that was told
// by a name.
func (f *frontend) operators(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.answerOperator(w, r, name) {
			http.NotFound(w, r)
		}
	})
}

// answerOperator carries out an order and answers it at once: it waits neither
// for the event loop nor for what the order begins. It is false for paths that
// are no operator's.
func (f *frontend) answerOperator(w http.ResponseWriter, r *http.Request, at string) bool {
	var carryOut func(came time.Time, by string) (status int)
	methods := orderMethods
	switch r.URL.Path {
	case appconfig.QuiescePath:
		carryOut = f.orderDrain
	case appconfig.ResumePath:
		carryOut = f.orderResume
	case appconfig.StatusPath:
		carryOut, methods = func(time.Time, string) int { return http.StatusOK }, []string{http.MethodGet}
	default:
		return false
	}
	call := strings.TrimPrefix(r.URL.Path, "/admin/")
	if !slices.Contains(methods, r.Method) {
		f.note(slog.LevelWarn, "operator's call with another method", eventOperator, call+"_method", "by", r.RemoteAddr, "method", r.Method)
		w.Header().Set("Allow", strings.Join(methods, ", "))
		http.Error(w, "want "+strings.Join(methods, ", "), http.StatusMethodNotAllowed)
		return true
	}
	status := carryOut(clientOf(r).spokeAt(), r.RemoteAddr)
	f.note(slog.LevelInfo, "operator's call", eventOperator, call, "by", r.RemoteAddr, "at", at, "method", r.Method, "status", status)
	f.writeStatus(w, r, status)
	return true
}

func (f *frontend) writeStatus(w http.ResponseWriter, r *http.Request, status int) {
	s := f.status()
	if c := clientOf(r).conn; c != nil && c.of == f.limited.Load() {
		s.Connections--
	}
	if status == http.StatusConflict {
		s.Reason = "the node was told to end, which a resume does not undo"
	}
	if f.closing(r) { // maybe only since this order
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(s) // fails only if the operator has gone
}

// status is the node's, as operators are told it.
func (f *frontend) status() Status {
	s := Status{State: f.phase().String(), OpenRequests: f.inHand.Load(), Connections: f.connections()}
	if d := f.life.Drained(); d != nil {
		s.Reason, s.DrainedFor = drainReason(d), time.Since(d.Since).Seconds()
	}
	return s
}

func drainReason(d *lifecycle.Drain) string { return "quiesced by " + d.By }

// orderDrain takes no more requests, by an order that came then. It is harmless
// again and again.
func (f *frontend) orderDrain(came time.Time, by string) (status int) {
	plan := f.plan()
	if d := f.life.Drain(came, time.Now(), by, plan); d != nil {
		f.note(slog.LevelInfo, "drained by an operator", eventPhase, lifecycle.Drained.String(), "by", by, "open_requests", f.inHand.Load(),
			"connections", f.connections(), "answer_after", plan.Answer, "end_after", plan.End)
		go f.carryOutDrain(d)
		f.drainChanged()
	}
	return http.StatusOK
}

// orderResume takes requests again, unless the node was told to end.
func (f *frontend) orderResume(came time.Time, by string) (status int) {
	ended, denied := f.life.Resume(came)
	if denied {
		return http.StatusConflict
	}
	if ended != nil {
		f.drainChanged()
		f.note(slog.LevelInfo, "resumed by an operator", eventPhase, "resumed", "by", by, "drained_for", time.Since(ended.Since), "phase", f.phase())
	}
	return http.StatusOK
}

// carryOutDrain ends what clients hold as a drain's steps fall due, for as long
// as that drain is in force. It also goes on beside an orderly stop.
func (f *frontend) carryOutDrain(d *lifecycle.Drain) {
	answered, over := false, false
	for f.life.Drained() == d && f.phase() < lifecycle.Ended {
		if !answered && d.AnswersDue(time.Now()) {
			answered = true
			f.over.send()
		}
		tick := stopTick
		if l := f.limited.Load(); l != nil && l.advance() == 0 {
			tick = drainedTick
			if !over {
				over = true
				f.note(slog.LevelInfo, "the drain is over", eventPhase, "drain_over", "after", time.Since(d.Since))
			}
		}
		time.Sleep(tick)
	}
}
