package rig

import (
	"errors"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"indigotack/internal/callfault"
	"indigotack/internal/faultnet"
)

// callErrors are what the kernel documents of the calls that may fail.
var callErrors = map[int][]error{
	unix.SYS_CONNECT: {syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR, syscall.ETIMEDOUT,
		syscall.EHOSTUNREACH, syscall.ECONNREFUSED},
	unix.SYS_ACCEPT4: {syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
		syscall.EINTR, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ETIMEDOUT},
	unix.SYS_SOCKET: {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
}

// superviseTime is what a program under supervision takes longer to start.
const superviseTime = 150 * time.Millisecond

// catchTime is for a node's process to begin to run and catch signals.
func (f *fleet) catchTime() time.Duration {
	if f.plan.Calls > 0 {
		return catchTime + superviseTime
	}
	return catchTime
}

// failCalls has a part of a node's system calls fail, by the plan's seed. serve
// is to be called once the command was started.
func (f *fleet) failCalls(cmd *exec.Cmd, node int) (serve func(), err error) {
	if f.plan.Calls == 0 {
		return func() {}, nil
	}
	sources := map[int]*faultnet.Random{}
	numbers := []int{unix.SYS_CONNECT, unix.SYS_ACCEPT4, unix.SYS_SOCKET}
	for i, number := range numbers {
		seed := (f.plan.Seed*100+uint64(node))*uint64(len(numbers)) + uint64(i)
		sources[number] = faultnet.NewRandom(seed, f.plan.Calls, callErrors[number]...)
	}
	supervisor, err := callfault.New(cmd, numbers...)
	if err != nil {
		return nil, err
	}
	fail := func(c callfault.Call) syscall.Errno {
		var errno syscall.Errno
		errors.As(sources[c.Number].Next(), &errno)
		return errno
	}
	return func() { supervisor.Serve(fail) }, nil // without a filter the node does not start, which is told
}
