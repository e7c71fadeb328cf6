package node

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"

	"indigotack/internal/testnet"
)

// shortOfBuffers is a connection whose writes fail a few times, the first one
// after a part of it.
type shortOfBuffers struct {
	net.Conn
	failures int
}

func (c *shortOfBuffers) Write(b []byte) (int, error) {
	if c.failures == 0 {
		return c.Conn.Write(b)
	}
	c.failures--
	n, err := c.Conn.Write(b[:min(3, len(b))])
	if err == nil {
		err = syscall.ENOBUFS
	}
	return n, err
}

type shortListener struct{ net.Listener }

func (l shortListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &shortOfBuffers{Conn: c, failures: 4}, nil
}

// TestAnswerIsWrittenWhole: the machine has no buffers for a moment while an
// answer is written. It comes whole all the same.
func TestAnswerIsWrittenWhole(t *testing.T) {
	_, conn := serveLimited(t, shortListener{testnet.Listen(t)}, "the page")
	conn.Write([]byte("GET / HTTP/1.1\r\nHost: app.svc\r\n\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, 8)
	if n, err := resp.Body.Read(body); n != 8 || string(body) != "the page" {
		t.Errorf("%q, %v", body[:n], err)
	}
}
