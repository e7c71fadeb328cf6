package node

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"

	"indigotack/internal/standin"
	"indigotack/internal/testnet"
)

// TestDatagramsLeaveALine guards against what comes to peer_listen and leaves no trace.
func TestDatagramsLeaveALine(t *testing.T) {
	log := &standin.LogBuffer{}
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := held.LocalAddr().String()
	held.Close()
	o := newObserver(slog.New(slog.NewTextHandler(log, nil)))
	go o.noteDatagrams(t.Context(), address)
	c, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := []string{`said="POST /admin/quiesce"`, "client=" + c.LocalAddr().String(), "reason=datagram"}
	waitUntil(t, "a line", func() bool {
		fmt.Fprint(c, "POST /admin/quiesce\nrest") // the node may not listen yet
		for _, part := range want {
			if !strings.Contains(log.String(), part) {
				return false
			}
		}
		return true
	})
	if count, newest := o.unread.take(); count == 0 || newest != "datagram: POST /admin/quiesce" {
		t.Errorf("%d are counted, the newest %q", count, newest)
	}
}

// TestConnectionsToPeerListenLeaveALine guards against a call that comes to peer_listen by TCP, has no answer and leaves no trace.
func TestConnectionsToPeerListenLeaveALine(t *testing.T) {
	log, address := &standin.LogBuffer{}, testnet.Listen(t)
	address.Close()
	o := newObserver(slog.New(slog.NewTextHandler(log, nil)))
	go o.noteStreams(t.Context(), address.Addr().String())
	for said, want := range map[string]string{"POST /admin/quiesce HTTP/1.1\r\nHost: node\r\n\r\n": `said="POST /admin/quiesce HTTP/1.1"`, "": `said=""`} {
		waitUntil(t, "a line with "+want, func() bool {
			c, err := net.Dial("tcp", address.Addr().String()) // the node may not listen yet
			if err != nil {
				return false
			}
			defer c.Close()
			fmt.Fprint(c, said)
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("the connection is answered")
			}
			return strings.Contains(log.String(), want) && strings.Contains(log.String(), "reason=stream")
		})
	}
}
