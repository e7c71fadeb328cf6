package rig

import (
	"net"
	"time"
)

// crowd is clients that hold connections to a node and send nothing on them, or
// half a request and no more.
type crowd struct {
	end   chan struct{}
	ended chan struct{}
}

// crowdEvery is how often a crowd makes up for the connections that were closed.
const crowdEvery = 50 * time.Millisecond

// gather has so many connections held to an address until disperse is called.
func gather(address string, connections int) *crowd {
	c := &crowd{end: make(chan struct{}), ended: make(chan struct{})}
	go c.run(address, connections)
	return c
}

func (c *crowd) disperse() {
	close(c.end)
	<-c.ended
}

func (c *crowd) run(address string, connections int) {
	defer close(c.ended)
	open := make([]net.Conn, connections)
	defer func() {
		for _, conn := range open {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	for {
		for i, conn := range open {
			if conn == nil || closedByPeer(conn) {
				open[i] = idleConnection(address, conn, i%3 == 0)
			}
		}
		if !pause(crowdEvery, c.end) {
			return
		}
	}
}

// idleConnection makes a connection in the place of one that was closed. It is
// nil where none can be had.
func idleConnection(address string, before net.Conn, speaks bool) net.Conn {
	if before != nil {
		before.Close()
	}
	conn, err := net.DialTimeout("tcp", address, crowdEvery)
	if err != nil {
		return nil
	}
	if speaks {
		conn.Write([]byte("GET /half HTTP/1.1\r\nHost: app.svc\r\n")) // a connection that is closed is found so later
	}
	return conn
}

// closedByPeer tells whether a connection on which nothing is expected has ended.
func closedByPeer(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(time.Microsecond)) // fails only on a closed connection
	_, err := conn.Read(make([]byte, 512))
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return false
	}
	return err != nil
}
