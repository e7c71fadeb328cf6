package rig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigotack/internal/standin"
)

// Paths of the orders that operators give a node.
const (
	quiescePath = "/admin/quiesce"
	resumePath  = "/admin/resume"
)

const (
	orderTimeout = time.Second           // for a node's answer to an order, or to a look at whether it is ready
	pollEvery    = 50 * time.Millisecond // between looks at whether a node is ready
	watchLead    = 30 * time.Millisecond // for a node to accept the connections that are made before an order
)

// What a node's answer to a look at whether it is ready was.
const (
	pollReady    = "ready"
	pollNotReady = "not ready"
	pollNoAnswer = "no answer"
)

// operator gives a node the orders of its operators, one after another.
type operator struct {
	actor
	node      *node
	rng       *rand.Rand // of the forms of orders and where they are given; the actor's, as the rest is
	orders    int
	withdrawn *process           // the run to which clients are no longer sent; nil: none
	held      sync.WaitGroup     // connections made before orders to drain, and calls that are no orders
	letGo     context.CancelFunc // ends them; nil: there are none
}

func newOperator(n *node, actors *sync.WaitGroup) *operator {
	return &operator{actor: newActor(actors), node: n, rng: rand.New(rand.NewPCG(n.of.plan.Seed, 100+uint64(n.i)))}
}

// quiesces tells whether a plan has operators drain nodes.
func (p *Plan) quiesces() bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.What == FaultQuiesce })
}

// drained are the nodes that the plan has operators drain.
func (f *fleet) drained() (all []*node) {
	steps := f.plan.Timetable()
	for _, n := range f.nodes {
		if slices.ContainsFunc(steps, func(s Step) bool { return s.Fault.What == FaultQuiesce && slices.Contains(s.Targets, n.name) }) {
			all = append(all, n)
		}
	}
	return all
}

// carryOut orders the node to drain, or to resume where the fault is over.
func (o *operator) carryOut(fault *Fault, over bool) {
	if o.node.of.plan.Platform {
		form := o.drawRefused()
		o.held.Go(func() { o.node.misread(form) })
	}
	if over {
		o.order(resumePath)
		o.release()
		o.offer()
		return
	}
	o.holdConnections()
	if !fault.Dealt {
		o.withdraw()
	}
	o.order(quiescePath)
}

// withdraw has clients no longer sent to the node.
func (o *operator) withdraw() {
	n := o.node
	if run := n.current(); n.of.front.withdraw(n.of.network.block.seenAt(n.i)) {
		o.withdrawn = run
	}
}

// offer has clients sent to the node again that was withdrawn, unless it has
// ended since or was told to.
func (o *operator) offer() {
	n := o.node
	if run := n.current(); o.withdrawn == run && !run.expected() {
		n.of.front.offer(n.of.network.block.seenAt(n.i), true)
	}
	o.withdrawn = nil
}

// holdConnections makes a connection of each use, which the node has to let go
// of in its drain.
func (o *operator) holdConnections() {
	if o.letGo != nil {
		o.letGo()
	}
	ctx, end := context.WithCancel(o.node.of.ctx)
	o.letGo = end
	for _, use := range []connectionUse{useSilent, useHalfHead, useHalfBody, useAlways} {
		o.held.Go(func() { o.node.hold(ctx, o.node.of.network.block.nodeAt(o.node.i), use) })
	}
	pause(watchLead, ctx.Done())
}

// release ends the connections that were made before orders to drain.
func (o *operator) release() {
	if o.letGo != nil {
		o.letGo()
		o.letGo = nil
	}
	o.held.Wait()
}

// order gives the node an order in a form and at a place that are drawn, and
// notes it and its answer.
func (o *operator) order(path string) {
	form, at := o.draw()
	method, _, _ := strings.Cut(form.For(path), " ")
	o.orders++
	e := Event{What: Commanded, Node: o.node.name, ID: fmt.Sprintf("order-%s-%d", o.node.name, o.orders), Text: method + " " + path,
		Class: form.Name, Peer: at.String()}
	var sent time.Time
	status, err := at.send(o.node.of.ctx, form.For(path), func() {
		o.node.of.log.note(e)
		sent = time.Now()
	})
	if e.What, e.Text = Replied, strconv.Itoa(status); err != nil {
		e.Text = err.Error()
	}
	e.N, e.Most = time.Since(sent).Seconds(), float64(status)
	o.node.of.log.note(e)
}

// orderPlace is where a node hears an order.
type orderPlace struct {
	network, address string
	caller           *caller // that the node calls; nil: it listens
}

func (p orderPlace) String() string { return p.network + " " + p.address }

// send sends a call and gives the status of the answer. begins is called before
// anything is sent.
func (p orderPlace) send(ctx context.Context, text string, begins func()) (status int, err error) {
	if p.caller != nil {
		return p.caller.call(ctx, text, begins)
	}
	begins()
	return call(ctx, p.network, p.address, text, nil)
}

// draw is a form of an order and a place where the node hears it. A sidecar
// hears operators at an address of its own, a platform's node also where clients connect.
func (o *operator) draw() (form standin.CallForm, at orderPlace) {
	n := o.node
	block := n.of.network.block
	form, at = standin.CallForms[o.rng.IntN(len(standin.CallForms))], orderPlace{network: "tcp", address: block.adminAt(n.i)}
	if !n.of.plan.Platform {
		return form, at
	}
	if o.rng.IntN(2) == 0 {
		at.address = block.nodeAt(n.i)
		return form, at
	}
	network, address, calls := n.operatorsForm().Place(n.operatorsAt())
	if at = (orderPlace{network: network, address: address}); calls {
		at.caller = n.caller
	}
	return form, at
}

// drawRefused is something that looks like an order and is refused at once, with
// a line of the log that is not one of many that clients cause in a drain.
func (o *operator) drawRefused() standin.RefusedForm {
	for {
		if form := standin.RefusedForms[o.rng.IntN(len(standin.RefusedForms))]; !form.Slow() && !form.AsRequest() {
			return form
		}
	}
}

// call sends a call on a connection of its own, and gives the status of the
// answer. made is told the connection's own address before anything is sent; it may be nil.
func call(ctx context.Context, network, address, text string, made func(own string)) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if made != nil {
		made(conn.LocalAddr().String())
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	return readStatus(conn, bufio.NewReader(conn))
}

// readStatus reads an answer and gives its status.
func readStatus(conn net.Conn, answers *bufio.Reader) (status int, err error) {
	resp, err := http.ReadResponse(answers, nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		io.WriteString(conn, "{}") // a connection that has failed has no answer either
		resp, err = http.ReadResponse(answers, nil)
	}
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// misread sends the node something that it refuses, and notes the answer. The
// node's log has to tell of it.
func (n *node) misread(form standin.RefusedForm) {
	e := Event{What: Misread, Node: n.name, Text: form.Name}
	status, err := call(n.of.ctx, "tcp", n.of.network.block.nodeAt(n.i), form.Text, func(own string) {
		e.ID = own
		n.misreads.Store(own, true)
	})
	if err != nil {
		return // it may not have come to the node
	}
	e.N = float64(status)
	n.of.log.note(e)
}

// accountFor notes a line of the log that tells of what was sent as misread.
func (n *node) accountFor(line []byte) {
	for _, field := range bytes.Fields(line) {
		key, value, _ := bytes.Cut(field, []byte("="))
		if key := string(key); key != "client" && key != "by" {
			continue
		}
		if _, sent := n.misreads.LoadAndDelete(string(value)); sent {
			n.of.log.note(Event{What: Accounted, Node: n.name, ID: string(value)})
		}
	}
}

// pollReady notes whether the node says that it is ready, until end is closed.
func (n *node) pollReady(end <-chan struct{}) {
	client := &http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + n.of.network.block.nodeAt(n.i) + "/health/ready"
	for pause(pollEvery, end) {
		asked := time.Now()
		e := Event{What: Polled, Node: n.name, Text: pollNoAnswer}
		if resp, err := client.Get(url); err == nil {
			if e.Text = pollNotReady; resp.StatusCode == http.StatusOK {
				e.Text = pollReady
			}
			resp.Body.Close()
		}
		e.N = time.Since(asked).Seconds()
		n.of.log.note(e)
	}
}
