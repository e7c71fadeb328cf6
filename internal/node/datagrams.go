package node

import (
	"bytes"
	"context"
	"net"
	"time"

	"indigotack/internal/clock"
)

// maxDatagram is more than a datagram between nodes of a platform may have.
const maxDatagram = 512 // bytes

// noteDatagrams has the log tell of datagrams that come to an address, which this
// node has no use for, until ctx ends. An address that can't be had is told.
func (o *observer) noteDatagrams(ctx context.Context, address string) {
	conn, err := new(net.ListenConfig).ListenPacket(ctx, "udp", address)
	if err != nil {
		o.log.Warn("what comes to peer_listen is not seen", "err", err)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil: // of this machine, or of a datagram before
			if !clock.Sleep(ctx, mostAcceptWait) {
				return
			}
		default:
			line, _, _ := bytes.Cut(buffer[:n], []byte("\n"))
			o.noteUnread(from, string(line[:min(len(line), loggedLine)]), whyDatagram, unreadDatagram)
		}
	}
}

// streamTime is for the first bytes of a connection to come that nobody has a use for.
const streamTime = 200 * time.Millisecond

// noteStreams does for connections what noteDatagrams does for datagrams: each has
// a line with its first bytes, and is closed. One at a time is looked at.
func (o *observer) noteStreams(ctx context.Context, address string) {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		o.log.Warn("what connects to peer_listen is not seen", "err", err)
		return
	}
	defer ln.Close()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil: // of this machine, or of a connection before
			if !clock.Sleep(ctx, mostAcceptWait) {
				return
			}
		default:
			o.noteStream(conn)
		}
	}
}

func (o *observer) noteStream(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, loggedLine)
	conn.SetReadDeadline(time.Now().Add(streamTime)) // fails only on a closed connection
	n, _ := conn.Read(buffer)                        // what came may be nothing
	line, _, _ := bytes.Cut(buffer[:n], []byte("\n"))
	o.noteUnread(conn.RemoteAddr(), string(bytes.TrimSuffix(line, []byte("\r"))), whyDatagram, unreadStream)
}
