package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func wrapped(err error) error {
	return fmt.Errorf("dialling: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)})
}

func TestOriginOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Origin
	}{
		{nil, Unknown}, {errors.New("other"), Unknown}, {os.ErrDeadlineExceeded, Unknown}, {net.ErrClosed, Unknown},
		{wrapped(syscall.ENETUNREACH), Local}, {wrapped(syscall.EADDRNOTAVAIL), Local}, {wrapped(syscall.EMFILE), Local}, {syscall.EINTR, Local},
		{wrapped(syscall.EHOSTUNREACH), Path}, {wrapped(syscall.ETIMEDOUT), Path},
		{wrapped(syscall.ECONNREFUSED), Peer}, {wrapped(syscall.ECONNRESET), Peer},
	} {
		if got := OriginOf(c.err); got != c.want {
			t.Errorf("%v is of %v, want %v", c.err, got, c.want)
		}
	}
	if !NoRoute(wrapped(syscall.ENETUNREACH)) || NoRoute(wrapped(syscall.ENOBUFS)) || NoRoute(nil) {
		t.Error("a missing route is told wrong")
	}
	if !OutOfDescriptors(wrapped(syscall.ENFILE)) || OutOfDescriptors(wrapped(syscall.ENOBUFS)) {
		t.Error("a want of descriptors is told wrong")
	}
}

// failingWriter takes a few bytes of each write and fails by a script.
type failingWriter struct {
	errors []error
	got    []byte
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if len(w.errors) == 0 {
		w.got = append(w.got, b...)
		return len(b), nil
	}
	err := w.errors[0]
	w.errors = w.errors[1:]
	n := min(2, len(b))
	w.got = append(w.got, b[:n]...)
	return n, err
}

func TestWriteAll(t *testing.T) {
	const text = "the whole of it"
	w := &failingWriter{errors: []error{wrapped(syscall.ENOBUFS), wrapped(syscall.ENOMEM)}}
	if n, err := WriteAll(w, []byte(text), time.Second); n != len(text) || err != nil || string(w.got) != text {
		t.Errorf("%d, %v, %q", n, err, w.got)
	}
	w = &failingWriter{errors: []error{wrapped(syscall.ENOBUFS), wrapped(syscall.EPIPE), wrapped(syscall.EPIPE)}}
	if n, err := WriteAll(w, []byte(text), time.Second); n != 4 || !errors.Is(err, syscall.EPIPE) {
		t.Errorf("after the peer has gone: %d, %v", n, err)
	}
	began := time.Now()
	always := Retry(20*time.Millisecond, func() error { return syscall.ENOBUFS })
	if took := time.Since(began); always == nil || took > time.Second {
		t.Errorf("a want that does not pass ends with %v after %v", always, took)
	}
}
