package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// connectionUse is what a client does on a connection that it holds open.
type connectionUse string

const (
	useSilent   connectionUse = "silent"      // sends nothing
	useHalfHead connectionUse = "half a head" // sends the first half of a request's head
	useHalfBody connectionUse = "half a body" // sends a request but the end of its body
	useAlways   connectionUse = "in use"      // asks anew soon after each answer
	useFields   connectionUse = "many fields" // sends a head of very many short fields, without its end
	useSlowBody connectionUse = "slow body"   // sends a large body in small parts, but the end of it
	useChecks   connectionUse = "checks"      // sends health checks without waiting for the answers
	useLongHead connectionUse = "long head"   // sends a first line that is too long
)

const (
	holdTimeout = 50 * time.Millisecond // for a connection to come up
	askAgain    = 20 * time.Millisecond // from an answer to the next request on a connection in use
)

// Requests of clients that hold connections.
const (
	halfHead  = "GET /half HTTP/1.1\r\nHost: app.svc\r\n"
	halfBody  = "POST /api/half HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: half\r\nX-Class: %s\r\nX-Deadline: 10.000\r\nContent-Length: 100\r\n\r\nhalf"
	longLine  = 24 << 10 // bytes of a first line that no node takes
	wholeHead = "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n"
)

// What clients send that would have a node hold much, or do much.
const (
	manyFields   = 2_400
	largeBody    = 64 << 10
	bodyParts    = 16
	bodyPartPace = 100 * time.Millisecond // between two parts of a body
	checksAtOnce = 20
	checksPace   = 10 * time.Millisecond // between two writes of so many checks, as the rig needs its processors too
)

// largeHead announces a body of which the end never comes.
const largeHead = "POST /api/slow HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: slow\r\nX-Class: %s\r\nX-Deadline: 10.000\r\nContent-Length: %d\r\n\r\n"

// hold holds a connection to an address of the node until the node ends it, or
// ctx ends. It notes when the connection was made and when it ended. Nothing is
// noted of one that does not come up.
func (n *node) hold(ctx context.Context, address string, use connectionUse) {
	dialer := net.Dialer{Timeout: holdTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	e := Event{What: Connected, Node: n.name, ID: fmt.Sprintf("held-%d", n.of.held.Add(1)), Text: string(use)}
	n.of.log.note(e)
	use.speak(ctx, conn, n.of.plan)
	io.Copy(io.Discard, conn) // until it ends, in whatever way
	if e.What, e.Text = Closed, "node"; ctx.Err() != nil {
		e.Text = "client"
	}
	n.of.log.note(e)
}

// speak sends what the use has to send. A connection that fails is found ended by its reader.
func (u connectionUse) speak(ctx context.Context, conn net.Conn, p *Plan) {
	switch u {
	case useHalfHead:
		io.WriteString(conn, halfHead)
	case useHalfBody:
		fmt.Fprintf(conn, halfBody, p.unsafest().Name)
	case useAlways:
		answers := bufio.NewReader(conn)
		for askOnce(conn, answers) == nil && pause(askAgain, ctx.Done()) {
		}
	case useFields:
		io.WriteString(conn, halfHead+shortFields)
	case useSlowBody:
		sendSlowly(ctx, conn, p.unsafest().Name)
	case useChecks:
		go sendChecks(ctx, conn)
	case useLongHead:
		io.WriteString(conn, "GET /"+strings.Repeat("x", longLine))
	}
}

// shortFields are very many fields of a head.
var shortFields = func() string {
	var b strings.Builder
	for i := range manyFields {
		fmt.Fprintf(&b, "f%d:\r\n", i)
	}
	return b.String()
}()

// sendSlowly sends a large request of a class in parts, but for its last byte.
func sendSlowly(ctx context.Context, conn net.Conn, class string) {
	fmt.Fprintf(conn, largeHead, class, largeBody)
	part := strings.Repeat("x", largeBody/bodyParts)
	for i := range bodyParts {
		if i == bodyParts-1 {
			part = part[1:]
		}
		if _, err := io.WriteString(conn, part); err != nil || !pause(bodyPartPace, ctx.Done()) {
			return
		}
	}
}

// sendChecks sends health checks until the connection ends.
func sendChecks(ctx context.Context, conn net.Conn) {
	checks := strings.Repeat(wholeHead, checksAtOnce)
	for {
		if _, err := io.WriteString(conn, checks); err != nil || !pause(checksPace, ctx.Done()) {
			return
		}
	}
}

// askOnce asks something on a connection and reads the answer.
func askOnce(conn net.Conn, answers *bufio.Reader) error {
	if _, err := io.WriteString(conn, wholeHead); err != nil {
		return err
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
