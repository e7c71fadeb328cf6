package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowdBuffer is how much a crowd's client takes of an answer that it does not read.
const crowdBuffer = 2048 // bytes

// Crowd is clients that connect, say the same and read nothing.
type Crowd struct {
	Address string
	Say     string // ID in it is a number that each connection has of its own
	Clients int
	Pause   time.Duration // before a client comes again whose connection has ended; the first ones come spread over it
	Ended   func(net.Conn) bool
}

// Gather has the clients come until disperse is called, which waits for them.
func (c Crowd) Gather() (disperse func()) {
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	var id atomic.Int64
	for i := range c.Clients {
		clients.Go(func() {
			for pause := c.Pause * time.Duration(i) / time.Duration(c.Clients); ; pause = c.Pause {
				select {
				case <-stopped:
					return
				case <-time.After(pause):
				}
				c.once(strings.Replace(c.Say, "ID", fmt.Sprint(id.Add(1)), 1), stopped)
			}
		})
	}
	return func() {
		close(stopped)
		clients.Wait()
	}
}

// once holds one connection until it has ended or the crowd disperses.
func (c Crowd) once(say string, stopped <-chan struct{}) {
	conn, err := net.Dial("tcp", c.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(crowdBuffer) // fails only on a closed connection
	fmt.Fprint(conn, say)                          // a connection that has failed has ended
	for !c.Ended(conn) {
		select {
		case <-stopped:
			return
		case <-time.After(crowdLook):
		}
	}
}

// crowdLook is between looks at whether a connection has ended.
const crowdLook = 50 * time.Millisecond
