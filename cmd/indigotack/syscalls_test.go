package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// supervisedVariable names the system calls of a program that its test answers,
// by their numbers, with commas between them.
const supervisedVariable = "INDIGOTACK_SUPERVISED_CALLS"

// supervisorFD is where a program that is to be supervised finds the socket for
// the descriptor of its filter.
const supervisorFD = 3

// call is a system call that waits for what becomes of it.
type call struct {
	number int
	pid    uint32
	args   [6]uint64
}

// connectsTo tells whether the call is a connect to an address of IPv4.
func (c call) connectsTo(address string) bool {
	if c.number != unix.SYS_CONNECT || c.args[2] < unix.SizeofSockaddrInet4 {
		return false
	}
	memory, err := os.Open(fmt.Sprintf("/proc/%d/mem", c.pid))
	if err != nil {
		return false
	}
	defer memory.Close()
	var raw [unix.SizeofSockaddrInet4]byte
	if _, err := memory.ReadAt(raw[:], int64(c.args[1])); err != nil || binary.NativeEndian.Uint16(raw[:]) != unix.AF_INET {
		return false
	}
	to := net.TCPAddr{IP: raw[4:8], Port: int(binary.BigEndian.Uint16(raw[2:]))}
	return to.String() == address
}

// supervise starts a program of which each of some system calls fails with the
// error that fail gives; 0 lets it pass. It needs no rights: the filter is the
// program's own, and the kernel asks this process about its calls.
func supervise(t *testing.T, cmd *exec.Cmd, fail func(call) syscall.Errno, numbers ...int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	theirs := os.NewFile(uintptr(pair[1]), "filter")
	cmd.ExtraFiles = []*os.File{theirs}
	list := ""
	for i, number := range numbers {
		if i > 0 {
			list += ","
		}
		list += strconv.Itoa(number)
	}
	cmd.Env = append(cmd.Env, supervisedVariable+"="+list)
	start(t, cmd)
	theirs.Close()
	defer unix.Close(pair[0])
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(pair[0], make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil || n == 0 {
		t.Fatalf("no filter of system calls: %v", err)
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil {
		t.Fatal(err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		t.Fatal(err)
	}
	var answering sync.WaitGroup
	answering.Go(func() { answerCalls(fds[0], fail) })
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		answering.Wait()
		unix.Close(fds[0])
	})
}

// notification and response are struct seccomp_notif and struct seccomp_notif_resp.
type notification struct {
	id     uint64
	pid    uint32
	flags  uint32
	number int32
	arch   uint32
	at     uint64
	args   [6]uint64
}

type response struct {
	id    uint64
	value int64
	err   int32
	flags uint32
}

// answerCalls answers the calls of a supervised program until it has ended.
func answerCalls(filter int, fail func(call) syscall.Errno) {
	for {
		waiting := []unix.PollFd{{Fd: int32(filter), Events: unix.POLLIN}}
		if _, err := unix.Poll(waiting, -1); errors.Is(err, unix.EINTR) {
			continue
		}
		if waiting[0].Revents&unix.POLLIN == 0 {
			return
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(filter), unix.SECCOMP_IOCTL_NOTIF_RECV, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the call that waited was interrupted
		}
		r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
		if errno := fail(call{int(n.number), n.pid, n.args}); errno != 0 {
			r.flags, r.err = 0, -int32(errno)
		}
		unix.Syscall(unix.SYS_IOCTL, uintptr(filter), unix.SECCOMP_IOCTL_NOTIF_SEND, uintptr(unsafe.Pointer(&r))) // fails where the call was interrupted
	}
}

// beSupervised filters the system calls that the test wants to answer, passes
// the filter to the test and becomes the program.
func beSupervised(numbers []int) error {
	runtime.LockOSThread() // the filter is of this thread, which is the one that goes on as the program
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: 0}}
	for _, number := range numbers {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(number)},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	length := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	filter, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&length)))
	if errno != 0 {
		return errno
	}
	if err := unix.Sendmsg(supervisorFD, []byte{0}, unix.UnixRights(int(filter)), nil, 0); err != nil {
		return err
	}
	unix.Close(int(filter))
	unix.Close(supervisorFD)
	os.Unsetenv(supervisedVariable)
	return syscall.Exec(os.Args[0], os.Args, os.Environ())
}
