package rig

import (
	"net/http"
	"strings"
	"time"
)

// operatorOrder is an order with its answer.
type operatorOrder struct {
	id, node, text string
	form           string // and where it was given
	at, replied    int64  // replied 0: it never was
	took           time.Duration
	status         int // 0: no answer
	answer         string
	termed         int64 // when the node had been told to end by then; 0: it was not
	crossed        bool  // the node was told to end between the order and its answer
}

func (o *operatorOrder) is(path string) bool { return strings.HasSuffix(o.text, " "+path) }

func (o *operatorOrder) accepted() bool { return o.status/100 == 2 }

// deniedAtEnd tells whether the order was answered as one that comes to a node
// that was told to end, which may be so by the time of the answer.
func (o *operatorOrder) deniedAtEnd() bool {
	return o.status == http.StatusConflict && (o.termed > 0 || o.crossed)
}

// operatorOrders are all orders up to the run's end.
func (h *History) operatorOrders() (all []*operatorOrder) {
	byID, termed := map[string]*operatorOrder{}, map[string]int64{}
	for i := range h.Events {
		e := &h.Events[i]
		if e.At > h.end {
			break
		}
		switch e.What {
		case Up:
			delete(termed, e.Node)
		case Ordered:
			if e.Text == "terminated" && termed[e.Node] == 0 {
				termed[e.Node] = e.At
			}
		case Commanded:
			o := &operatorOrder{id: e.ID, node: e.Node, text: e.Text, form: e.Class + " at " + e.Peer, at: e.At, termed: termed[e.Node]}
			byID[e.ID] = o
			all = append(all, o)
		case Replied:
			if o := byID[e.ID]; o != nil {
				o.replied, o.took, o.status, o.answer = e.At, time.Duration(e.N*1e9), int(e.Most), e.Text
				o.crossed = o.termed == 0 && termed[e.Node] > 0
			}
		}
	}
	return all
}

// reached tells whether an order came to its node: one that did not run, or
// stood still, and did not answer, may or may not have it.
func (h *History) reached(o *operatorOrder) bool {
	return o.accepted() || !anyMeets(h.away[o.node], o.at-int64(stallNotice), o.at+int64(orderTimeout))
}

func (h *History) judgeOrders(f *findings, orders []*operatorOrder) (looked int) {
	for _, o := range orders {
		if o.replied == 0 || anyMeets(h.starved[o.node], o.at, o.replied) || anyMeets(h.away[o.node], o.at-int64(stallNotice), o.replied) {
			continue
		}
		if o.termed > 0 && o.status == 0 && o.at-o.termed >= int64(frontNotice) {
			continue // it accepts no more
		}
		looked++
		if o.status == 0 && h.untimed() {
			continue
		}
		if !o.accepted() && !o.deniedAtEnd() {
			f.add(o.node, o.at, "%s answered %s (%s) with %s", o.node, o.text, o.form, o.answer)
			continue
		}
		if o.accepted() && o.is(resumePath) && o.termed > 0 && o.at-o.termed > int64(notReadyTime) {
			f.add(o.node, o.at, "%s answered %s with %s though it had been told to end", o.node, o.text, o.answer)
		}
		if o.took > orderAnswer+h.lateness(o.at, o.replied) && !h.untimed() {
			f.add(o.node, o.at, "%s answered %s (%s) after %v", o.node, o.text, o.form, o.took.Round(time.Millisecond))
		}
	}
	return looked
}

// judgeMisreads looks for what a node refused, or should have, and left no trace.
func (h *History) judgeMisreads(f *findings) (looked int) {
	accounted := map[string]bool{}
	for i := range h.Events {
		if e := &h.Events[i]; e.What == Accounted {
			accounted[e.ID] = true
		}
	}
	for i := range h.Events {
		e := &h.Events[i]
		if e.What != Misread || e.At > h.end || anyMeets(h.away[e.Node], e.At-int64(orderTimeout), e.At+int64(accountTime)) {
			continue
		}
		looked++
		switch status := int(e.N); {
		case status < http.StatusBadRequest:
			f.add(e.Node, e.At, "%s answered %s with %d", e.Node, e.Text, status)
		case !accounted[e.ID]:
			f.add(e.Node, e.At, "%s answered %s with %d, and its log does not tell of it", e.Node, e.Text, status)
		}
	}
	return looked
}

// judgeStated looks for nodes whose log does not tell where they hear operators.
func (h *History) judgeStated(f *findings) (looked int) {
	up := map[string]int64{}
	for i := range h.Events {
		e := &h.Events[i]
		switch {
		case e.What == Up:
			up[e.Node] = e.At
		case e.What != Stated || e.At > h.end || h.isYoung(e, up[e.Node]):
		default:
			if looked++; e.N != 1 {
				f.add(e.Node, e.At, "%s hears operators at %s, which its regular line does not tell", e.Node, e.Text)
			}
		}
	}
	return looked
}

// isYoung tells whether a node's run is so young that its address may not be
// had yet, as the run before may hold it.
func (h *History) isYoung(e *Event, up int64) bool {
	return anyMeets(h.starved[e.Node], up, e.At) || e.At-up < int64(listenTime+h.lateness(up, e.At))
}
