package operators

import (
	"net"
	"sync"
	"syscall"
)

// oneConnection is a listener that accepts one connection, and nothing until that has ended.
type oneConnection struct {
	conn  net.Conn
	once  sync.Once
	taken sync.Once
	over  chan struct{} // closed when the connection has ended, or the listener
}

func newOneConnection(conn net.Conn) *oneConnection {
	return &oneConnection{conn: conn, over: make(chan struct{})}
}

func (o *oneConnection) Accept() (conn net.Conn, err error) {
	o.taken.Do(func() { conn = endingConnection{o.conn, o} })
	if conn != nil {
		return conn, nil
	}
	<-o.over
	return nil, net.ErrClosed
}

func (o *oneConnection) end() { o.once.Do(func() { close(o.over) }) }

// Close ends the listener.
func (o *oneConnection) Close() error {
	o.end()
	return nil
}

// Addr is the address of this side.
func (o *oneConnection) Addr() net.Addr { return o.conn.LocalAddr() }

// endingConnection tells its listener when it ends.
type endingConnection struct {
	net.Conn
	of *oneConnection
}

func (c endingConnection) Close() error {
	err := c.Conn.Close()
	c.of.end()
	return err
}

// SyscallConn is the connection's socket.
func (c endingConnection) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// CloseWrite ends the sending alone.
func (c endingConnection) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}
