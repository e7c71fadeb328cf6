package callfault

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// variable tells a process that it is to become a supervised program: the
// descriptor of the socket for its filter, the program, and the calls' numbers.
const (
	variable  = "INDIGOTACK_SUPERVISED"
	separator = "\n"
)

// Role becomes the program that this process was started in the place of, if it
// was. It returns otherwise.
func Role() {
	task, is := os.LookupEnv(variable)
	if !is {
		return
	}
	os.Unsetenv(variable)
	fmt.Fprintln(os.Stderr, "becoming a supervised program:", become(strings.Split(task, separator)))
	os.Exit(1)
}

// become returns only if it fails.
func become(words []string) error {
	socket, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	var numbers []int
	for _, word := range words[2:] {
		number, err := strconv.Atoi(word)
		if err != nil {
			return err
		}
		numbers = append(numbers, number)
	}
	runtime.LockOSThread() // the filter is of this thread, which goes on as the program
	filter, err := installFilter(numbers)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(filter), nil, 0); err != nil {
		return os.NewSyscallError("sendmsg", err)
	}
	unix.Close(filter)
	unix.Close(socket)
	return syscall.Exec(words[1], os.Args, os.Environ())
}

// installFilter has the kernel ask about some calls of this thread, and gives
// the descriptor on which it asks.
func installFilter(numbers []int) (descriptor int, err error) {
	const loadNumber = 0 // offset of the call's number in struct seccomp_data
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: loadNumber}}
	for _, number := range numbers {
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: uint32(number)},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, os.NewSyscallError("prctl", err)
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		return 0, os.NewSyscallError("seccomp", errno)
	}
	return int(fd), nil
}
