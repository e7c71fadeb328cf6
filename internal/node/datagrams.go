package node

import (
	"bytes"
	"context"
	"net"
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
			if !sleep(ctx, mostAcceptWait) {
				return
			}
		default:
			line, _, _ := bytes.Cut(buffer[:n], []byte("\n"))
			o.noteUnread(from, string(line[:min(len(line), loggedLine)]), whyDatagram, unreadDatagram)
		}
	}
}
