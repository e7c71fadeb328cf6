package rig

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// caller is a place that a node calls to have its operators' orders: it keeps the
// newest connection that the node has made there.
type caller struct {
	listener    net.Listener
	connections chan net.Conn // holds one at most
}

var errNotCalled = errors.New("the node does not call")

func newCaller(address string) (*caller, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &caller{ln, make(chan net.Conn, 1)}
	go c.accept()
	return c, nil
}

func (c *caller) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return // closed
		}
		c.drop()
		c.connections <- conn
	}
}

// take gives the connection once there is one, or nil if none comes in time.
func (c *caller) take(most time.Duration) net.Conn {
	select {
	case conn := <-c.connections:
		return conn
	case <-time.After(most):
		return nil
	}
}

// drop closes the connection that it keeps.
func (c *caller) drop() {
	select {
	case conn := <-c.connections:
		conn.Close()
	default:
	}
}

// close ends the place.
func (c *caller) close() {
	c.listener.Close()
	c.drop()
}

// call sends a call on the connection that the node has made, as soon as there is
// one, and gives the status of the answer. begins is called before anything is sent.
func (c *caller) call(ctx context.Context, text string, begins func()) (status int, err error) {
	conn := c.take(orderTimeout)
	for conn != nil && hasEnded(conn) {
		conn.Close()
		conn = c.take(orderTimeout)
	}
	begins()
	if conn == nil {
		return 0, errNotCalled
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	answers := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	if err := skipQuestion(answers); err != nil {
		return 0, err
	}
	return readStatus(conn, answers)
}

// hasEnded tells whether the node has ended a connection.
func hasEnded(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	one := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		one[0].Fd = int32(fd)
		_, err := unix.Poll(one, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(one, 0)
		}
	})
	return err != nil || one[0].Revents != 0
}

// skipQuestion takes what the node asked before the call, which has no answer.
func skipQuestion(answers *bufio.Reader) error {
	begins, err := answers.Peek(len(http.MethodGet))
	if err != nil || string(begins) != http.MethodGet {
		return err
	}
	_, err = http.ReadRequest(answers)
	return err
}
