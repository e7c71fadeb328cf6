// Package faultnet makes socket operations of this process fail as the kernel
// documents, for tests and rehearsals: a listener whose accepts fail, and a hook
// for a net.Dialer that has connects fail.
package faultnet

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
)

// Script is the errors of the next calls of one kind, in order; nil lets a call
// pass, and so does an empty script. It is safe for concurrent use.
type Script struct {
	mu     sync.Mutex
	errors []error
	calls  int
}

// Fail appends errors for further calls.
func (s *Script) Fail(errors ...error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = append(s.errors, errors...)
}

// Calls is how many calls there were.
func (s *Script) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Source gives the errors of calls.
type Source interface {
	// Next is the error of the next call; nil lets it pass.
	Next() error
}

// Random is a Source in which a part of the calls fail, each with one of some
// errors, by a seed. It is safe for concurrent use.
type Random struct {
	mu     sync.Mutex
	rng    *rand.Rand
	part   float64
	errors []error
}

// NewRandom returns a Random.
func NewRandom(seed uint64, part float64, errors ...error) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, 13)), part: part, errors: errors}
}

// Next draws whether the next call fails, and how.
func (r *Random) Next() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rng.Float64() >= r.part {
		return nil
	}
	return r.errors[r.rng.IntN(len(r.errors))]
}

// Next is the error of the next call.
func (s *Script) Next() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(s.errors) == 0 {
		return nil
	}
	err := s.errors[0]
	s.errors = s.errors[1:]
	return err
}

// Listener is a listener whose accepts fail.
type Listener struct {
	net.Listener
	Source Source
}

// Accept fails before it asks the kernel, so that no connection is lost.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.Source.Next(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Connects is a net.Dialer's ControlContext that has connects fail.
func Connects(s Source) func(context.Context, string, string, syscall.RawConn) error {
	return func(context.Context, string, string, syscall.RawConn) error {
		if err := s.Next(); err != nil {
			return os.NewSyscallError("connect", err)
		}
		return nil
	}
}
