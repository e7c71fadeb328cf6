// Package faultnet makes socket operations of this process fail as the kernel
// documents, for tests: a listener whose accepts fail, and a hook for a
// net.Dialer that has connects fail.
package faultnet

import (
	"context"
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

// next is the error of the next call.
func (s *Script) next() error {
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

// Listener is a listener whose accepts fail by a script.
type Listener struct {
	net.Listener
	Script Script
}

// Accept fails before it asks the kernel, so that no connection is lost.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.Script.next(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Connects is a net.Dialer's ControlContext that has connects fail by a script.
func Connects(s *Script) func(context.Context, string, string, syscall.RawConn) error {
	return func(context.Context, string, string, syscall.RawConn) error {
		if err := s.next(); err != nil {
			return os.NewSyscallError("connect", err)
		}
		return nil
	}
}
