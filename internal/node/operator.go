package node

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	pathpkg "path"
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

var errDrained = errors.New("this node is drained")

// Status is what operators are told of a node.
type Status struct {
	State        string  `json:"state"`                    // a lifecycle.Phase by its name
	Reason       string  `json:"reason,omitempty"`         // why the node is in that state, or why an order is denied
	DrainedFor   float64 `json:"drained_seconds,omitzero"` // since the first order to drain
	OpenRequests int64   `json:"open_requests"`
	Connections  int     `json:"connections"` // of clients, without the one that asks
}

// ordersOnListen is which requests are operators' calls on the address where
// clients connect.
type ordersOnListen int

const (
	ordersNone         ordersOnListen = iota
	ordersWithoutClass                // those that name no class; the paths may be an application's too
	ordersByPath                      // all below operatorsPath, which no client of a platform asks for
)

const (
	operatorsPath = "/admin"
	onListen      = "listen" // the name of the address where clients connect, beside those of operators' own
)

// operatorCall answers what operators ask on the address where clients connect,
// and is false for all else.
func (f *frontend) operatorCall(w http.ResponseWriter, r *http.Request) bool {
	hasClass := len(r.Header.Values("X-Class")) > 0
	switch {
	case f.tellsCounters.Load() && r.URL.Path == metricsPath && r.Method == http.MethodGet && !hasClass:
		f.counters.ServeHTTP(w, r)
	case f.orders == ordersByPath && isOperators(r.URL.Path), f.orders == ordersWithoutClass && !hasClass && appconfig.IsCall(r.URL.Path):
		f.answerOperator(w, r, onListen)
	default:
		return false
	}
	return true
}

// isOperators tells whether a path is operators', however it is written. Only
// slashes that are too many are passed over in a call, as a front may guard the rest.
func isOperators(path string) bool {
	clean := strings.ToLower(pathpkg.Clean("/" + path))
	return clean == operatorsPath || strings.HasPrefix(clean, operatorsPath+"/")
}

// operators answers what operators ask on an address of their own that was told
// by a name.
func (f *frontend) operators(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.answerOperator(w, r, name) })
}

// answerOperator carries out an order that was heard at an address and answers it
// at once: it waits neither for the event loop, nor for what the order begins,
// nor for a body.
func (f *frontend) answerOperator(w http.ResponseWriter, r *http.Request, at string) {
	endAfterAnswer(w, r) // as a script may read to the end
	path, by := appconfig.CleanPath(r.URL.Path), clientOf(r).name(r.RemoteAddr)
	carryOut, methods := f.order(path)
	if carryOut == nil {
		f.note(slog.LevelWarn, "unknown operator's call", eventOperator, "unknown", "by", by, "at", at, "method", r.Method, "path", shortened(r.URL.Path))
		http.Error(w, "want "+strings.Join(appconfig.Calls(), ", "), http.StatusNotFound)
		return
	}
	call := strings.TrimPrefix(path, operatorsPath+"/")
	if !slices.Contains(methods, r.Method) {
		f.note(slog.LevelWarn, "operator's call with another method", eventOperator, call+"_method", "by", by, "at", at, "method", shortened(r.Method))
		w.Header().Set("Allow", strings.Join(methods, ", "))
		http.Error(w, "want "+strings.Join(methods, ", "), http.StatusMethodNotAllowed)
		return
	}
	status := carryOut(clientOf(r).order(), by)
	f.calls.add(call, at)
	f.note(slog.LevelInfo, "operator's call", eventOperator, call, "by", by, "at", at, "method", r.Method, "status", status)
	f.writeStatus(w, r, status)
}

// order is what the call of a path has carried out, and by which methods it
// comes; nil if there is no such call.
func (f *frontend) order(path string) (carryOut func(o lifecycle.Order, by string) (status int), methods []string) {
	switch path {
	case appconfig.QuiescePath:
		return f.orderDrain, orderMethods
	case appconfig.ResumePath:
		return f.orderResume, orderMethods
	case appconfig.StatusPath:
		return func(lifecycle.Order, string) int { return http.StatusOK }, []string{http.MethodGet}
	}
	return nil, nil
}

func (f *frontend) writeStatus(w http.ResponseWriter, r *http.Request, status int) {
	s := f.status()
	if c := clientOf(r).conn; c != nil && c.of == f.limited.Load() {
		s.Connections--
	}
	if status == http.StatusConflict {
		s.Reason = "the node was told to end, which a resume does not undo"
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

// orderDrain takes no more requests. It is harmless again and again.
func (f *frontend) orderDrain(o lifecycle.Order, by string) (status int) {
	plan := f.plan()
	if d := f.life.Drain(o, time.Now(), by, plan); d != nil {
		f.note(slog.LevelInfo, "drained by an operator", eventPhase, lifecycle.Drained.String(), "by", by, "open_requests", f.inHand.Load(),
			"connections", f.connections(), "answer_after", plan.Answer, "end_after", plan.End)
		go f.carryOutDrain(d)
		f.drainChanged()
	}
	return http.StatusOK
}

// orderResume takes requests again, unless the node was told to end.
func (f *frontend) orderResume(o lifecycle.Order, by string) (status int) {
	ended, denied := f.life.Resume(o)
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
