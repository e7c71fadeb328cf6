// Package callfault makes system calls of another program fail as the kernel
// documents, for tests and rehearsals. Unlike package faultnet it works below
// the program's own libraries: what they make of an error is tried as well.
//
// The program is started with a filter of its own system calls (seccomp, user
// notification), which needs no rights. The kernel then asks the process that
// started it what becomes of each of these calls.
package callfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is a system call that waits for what becomes of it.
type Call struct {
	Number int // such as unix.SYS_CONNECT
	PID    int
	Args   [6]uint64
}

// Destination is the address of a connect to an address of IPv4; it is invalid
// for other calls, and where the program's memory can't be read.
func (c Call) Destination() netip.AddrPort {
	if c.Number != unix.SYS_CONNECT || c.Args[2] < unix.SizeofSockaddrInet4 {
		return netip.AddrPort{}
	}
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", c.PID))
	if err != nil {
		return netip.AddrPort{}
	}
	defer memory.Close()
	var raw [unix.SizeofSockaddrInet4]byte
	if _, err := memory.ReadAt(raw[:], int64(c.Args[1])); err != nil || binary.NativeEndian.Uint16(raw[:]) != unix.AF_INET {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[4:])), binary.BigEndian.Uint16(raw[2:]))
}

// Supervisor answers the system calls of one program.
type Supervisor struct {
	ours   int      // the socket on which the filter comes
	theirs *os.File // its other end, for the program
}

// New has a command that was not started yet run under a filter of some system
// calls, by their numbers. This program has to call Role first of all, as it is
// started in the command's place and becomes it.
func New(cmd *exec.Cmd, numbers ...int) (*Supervisor, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socketpair", err)
	}
	s := &Supervisor{ours: pair[0], theirs: os.NewFile(uintptr(pair[1]), "filter")}
	cmd.ExtraFiles = append(cmd.ExtraFiles, s.theirs)
	words := []string{strconv.Itoa(firstExtraFile + len(cmd.ExtraFiles) - 1), cmd.Path}
	for _, number := range numbers {
		words = append(words, strconv.Itoa(number))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, variable+"="+strings.Join(words, separator))
	cmd.Path = self
	return s, nil
}

// firstExtraFile is the descriptor of the first of a command's ExtraFiles.
const firstExtraFile = 3

// Serve answers the program's calls until it has ended. It is to be called once
// the command was started, or has failed to. Each call fails with the error that
// fail gives, and passes where that is 0. fail is called for one call at a time.
func (s *Supervisor) Serve(fail func(Call) syscall.Errno) error {
	s.theirs.Close()
	filter, err := receiveDescriptor(s.ours)
	unix.Close(s.ours)
	if err != nil {
		return fmt.Errorf("no filter of system calls: %w", err)
	}
	defer unix.Close(filter)
	for {
		waiting := []unix.PollFd{{Fd: int32(filter), Events: unix.POLLIN}}
		if _, err := unix.Poll(waiting, -1); errors.Is(err, unix.EINTR) {
			continue
		}
		if waiting[0].Revents&unix.POLLIN == 0 {
			return nil // the last process under the filter has ended
		}
		answerCall(filter, fail)
	}
}

// receiveDescriptor takes the one descriptor that is sent on a socket.
func receiveDescriptor(socket int) (int, error) {
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, os.NewSyscallError("recvmsg", err)
	}
	if n == 0 {
		return 0, errors.New("the program ended before it had one")
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		return 0, err
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}

// notification and response are struct seccomp_notif and struct seccomp_notif_resp.
type notification struct {
	id     uint64
	pid    uint32
	_      uint32 // flags
	number int32
	_      uint32 // architecture
	_      uint64 // instruction pointer
	args   [6]uint64
}

type response struct {
	id    uint64
	_     int64 // return value
	err   int32
	flags uint32
}

// answerCall takes one call and answers it. Either fails where a signal has
// interrupted the call meanwhile, which is then made again.
func answerCall(filter int, fail func(Call) syscall.Errno) {
	var n notification
	if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(filter), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
		return
	}
	r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
	if errno := fail(Call{Number: int(n.number), PID: int(n.pid), Args: n.args}); errno != 0 {
		r.flags, r.err = 0, -int32(errno)
	}
	unix.Syscall(unix.SYS_IOCTL, uintptr(filter), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r)))
}
