// Package neterr tells whose fault it is that a call on a socket has failed.
// It is the only place in which errors of the kernel are told apart, so that a
// want of this machine is never held against another one.
package neterr

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// Origin is what a failed call says something about.
type Origin int

const (
	// Unknown is an error that is none of the kernel's, such as a deadline.
	Unknown Origin = iota
	// Local is a want or a fault of this machine, which says nothing about the
	// peer: no descriptors, memory, ports or routes, a rule that forbids it, or
	// a signal that interrupted the call.
	Local
	// Path is a fault of the network between, of which this machine was told.
	Path
	// Peer is something that the peer or its machine did.
	Peer
)

var names = [...]string{"unknown", "local", "path", "peer"}

// String names an origin, for logs and counters.
func (o Origin) String() string {
	if o < 0 || int(o) >= len(names) {
		return names[Unknown]
	}
	return names[o]
}

var origins = map[syscall.Errno]Origin{
	syscall.EMFILE:        Local,
	syscall.ENFILE:        Local,
	syscall.ENOBUFS:       Local,
	syscall.ENOMEM:        Local,
	syscall.EADDRNOTAVAIL: Local,
	syscall.EADDRINUSE:    Local,
	syscall.EAGAIN:        Local, // connect(2): no free local ports, or none in the routing cache
	syscall.ENETUNREACH:   Local,
	syscall.ENETDOWN:      Local,
	syscall.ENONET:        Local,
	syscall.EPERM:         Local,
	syscall.EACCES:        Local,
	syscall.EINTR:         Local,
	syscall.EINPROGRESS:   Local,
	syscall.EALREADY:      Local,

	syscall.ETIMEDOUT:    Path,
	syscall.EHOSTUNREACH: Path,
	syscall.EHOSTDOWN:    Path,

	syscall.ECONNREFUSED: Peer,
	syscall.ECONNRESET:   Peer,
	syscall.ECONNABORTED: Peer,
	syscall.EPIPE:        Peer,
	syscall.EPROTO:       Peer,
}

// OriginOf classifies an error of a call on a socket, however it is wrapped.
func OriginOf(err error) Origin {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return Unknown
	}
	return origins[errno]
}

// NoRoute tells whether an error of this machine is about the one address that
// was to be reached, rather than about a resource that all calls share.
func NoRoute(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENONET, syscall.EPERM, syscall.EACCES} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// OutOfDescriptors tells whether an error says that this process or this
// machine can open no more files.
func OutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Waits between tries of a call that failed for a want of this machine.
const (
	leastWait = time.Millisecond
	mostWait  = 16 * time.Millisecond
)

// Retry calls f until it fails no more for a want of this machine, which passes,
// or has done so for limit. f is to go on where its last call ended.
func Retry(limit time.Duration, f func() error) error {
	began := time.Now()
	for wait := leastWait; ; wait = min(2*wait, mostWait) {
		err := f()
		if OriginOf(err) != Local || time.Since(began)+wait > limit {
			return err
		}
		time.Sleep(wait)
	}
}

// WriteAll writes all of b, going on after errors of this machine for as long as
// limit allows, and returns how many bytes were written.
func WriteAll(w io.Writer, b []byte, limit time.Duration) (written int, err error) {
	err = Retry(limit, func() error {
		n, err := w.Write(b[written:])
		written += n
		return err
	})
	return written, err
}
