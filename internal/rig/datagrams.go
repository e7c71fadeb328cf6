package rig

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagram  = 64 << 10
	maxOnTheWay  = 4096                  // datagrams; more are lost, as in a full queue
	overtaken    = 30 * time.Millisecond // a reordered datagram is late by up to so much
	longestQueue = time.Second           // of datagrams on a narrow link; more are lost
)

// switchboard passes datagrams on among ends that each have an address of
// their own, which only the switchboard uses, and one under which all others
// know them.
type switchboard struct {
	between func(from, to string) *link
	all     sync.WaitGroup
	end     chan struct{}
	onWay   atomic.Int64

	mu    sync.Mutex
	ports map[string]*port
	named map[netip.Addr]string // the ends by the addresses that they send from
	free  map[*link]time.Time   // when a narrow link has sent what it holds
}

// port is one end at the switchboard.
type port struct {
	conn *net.UDPConn // at the address under which others know the end
	own  netip.AddrPort
}

func newSwitchboard(between func(from, to string) *link) *switchboard {
	return &switchboard{between: between, end: make(chan struct{}), ports: map[string]*port{}, named: map[netip.Addr]string{}, free: map[*link]time.Time{}}
}

// add makes an end known at one address, with its own being another.
func (s *switchboard) add(name string, known, own netip.AddrPort) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(known))
	if err != nil {
		return err
	}
	p := &port{conn: conn, own: own}
	s.mu.Lock()
	s.ports[name], s.named[own.Addr()] = p, name
	s.mu.Unlock()
	s.all.Go(func() { s.serve(name, p) })
	return nil
}

func (s *switchboard) close() {
	close(s.end)
	s.mu.Lock()
	for _, p := range s.ports {
		p.conn.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

// serve takes what is sent to one end.
func (s *switchboard) serve(to string, p *port) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-s.end:
				return
			default:
				continue // an end that is down has its port refused
			}
		}
		s.mu.Lock()
		sender, known := s.named[from.Addr().Unmap()]
		out := s.ports[sender]
		s.mu.Unlock()
		if !known || sender == to {
			continue
		}
		s.pass(s.between(sender, to), sender, out, p.own, append([]byte(nil), buffer[:n]...))
	}
}

func (s *switchboard) pass(l *link, sender string, out *port, to netip.AddrPort, b []byte) {
	way := there
	if sender != l.from {
		way = back
	}
	state, _ := l.state(way)
	if state.Drop || state.Stall || l.chance(state.Loss) {
		return
	}
	copies := 1
	if l.chance(state.Duplicate) {
		copies = 2
	}
	for range copies {
		wait := state.Delay + l.upTo(state.Jitter)
		if l.chance(state.Reorder) {
			wait += l.upTo(overtaken)
		}
		if state.Rate > 0 {
			now := time.Now()
			s.mu.Lock()
			start := s.free[l]
			if start.Before(now) {
				start = now
			}
			queue := start.Sub(now)
			if queue <= longestQueue {
				s.free[l] = start.Add(time.Duration(float64(len(b)) / float64(state.Rate) * float64(time.Second)))
			}
			s.mu.Unlock()
			if queue > longestQueue {
				continue
			}
			wait += queue
		}
		send := func() { out.conn.WriteToUDPAddrPort(b, to) } // what fails is lost, as datagrams are
		if wait <= 0 {
			send()
			continue
		}
		if s.onWay.Add(1) > maxOnTheWay {
			s.onWay.Add(-1)
			continue
		}
		time.AfterFunc(wait, func() {
			defer s.onWay.Add(-1)
			send()
		})
	}
}
