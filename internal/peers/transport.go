package peers

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's own on sockets, but that streams leave from the
// address that packets leave from, so that whoever stands between nodes can
// tell them apart, and that both are counted.
type transport struct {
	*memberlist.NetTransport
	from    net.IP
	packets atomic.Uint64 // sent
	bytes   atomic.Uint64
	refused func(address string) // hears of addresses where nobody listens; must not block
}

func newTransport(at netip.AddrPort, logger *log.Logger) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()}, BindPort: int(at.Port()), Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("listening for peers at %v: %w", at, err)
	}
	return &transport{NetTransport: t, from: at.Addr().AsSlice(), refused: func(string) {}}, nil
}

func (t *transport) dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if !t.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.from}
	}
	return d
}

func (t *transport) count(n int) {
	t.packets.Add(1)
	t.bytes.Add(uint64(n))
}

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	t.count(len(b))
	return t.NetTransport.WriteTo(b, addr)
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.count(len(b))
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := t.dialer(timeout).Dial("tcp", addr)
	if err != nil {
		if nobody(err) {
			t.refused(addr)
		}
		return nil, err
	}
	return &counted{Conn: c, of: t, to: addr}, nil
}

// DialAddressTimeout opens a stream.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// nobody tells whether an error shows that a machine is there and no process listens.
func nobody(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

type counted struct {
	net.Conn
	of   *transport
	to   string
	read bool // something has come
}

// Read also finds out where somebody between takes connections for a process that is gone.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read = c.read || n > 0; !c.read && err != nil && nobody(err) {
		c.of.refused(c.to)
	}
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.count(n)
	return n, err
}
