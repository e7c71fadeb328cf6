package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// starter starts processes that end with the rig, however it ends: the kernel
// kills them once the thread that started them is gone, so one thread starts
// them all and stays.
type starter struct {
	jobs chan func()
	done chan struct{}
}

func newStarter() *starter {
	s := &starter{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		defer close(s.done)
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *starter) close() {
	close(s.jobs)
	<-s.done
}

// start starts a command in a process group of its own, so that a terminal's
// Ctrl-C reaches the rig alone.
func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error)
	s.jobs <- func() { result <- cmd.Start() }
	return <-result
}

// process is one run of a program.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser // nil if it was not asked for
	ended chan struct{}
	state *os.ProcessState // valid once ended is closed

	mu      sync.Mutex
	ordered bool // to end
}

// launch starts a command; each line that it writes goes to out or log, and
// ended is called after the last one. out nil: its output is log as well.
func (s *starter) launch(cmd *exec.Cmd, input bool, out, log func([]byte), ended func(*process)) (*process, error) {
	p := &process{cmd: cmd, ended: make(chan struct{})}
	var err error
	if input {
		if p.stdin, err = cmd.StdinPipe(); err != nil {
			return nil, err
		}
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.start(cmd); err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	if out == nil {
		out = log
	}
	var both sync.WaitGroup
	read := func(r io.Reader, to func([]byte)) func() {
		return func() {
			lines := bufio.NewScanner(r)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				to(lines.Bytes())
			}
			io.Copy(io.Discard, r) // past a line that is too long
		}
	}
	both.Go(read(stdout, out))
	both.Go(read(stderr, log))
	go func() {
		both.Wait()
		cmd.Wait() // its error is in the state
		p.state = cmd.ProcessState
		close(p.ended)
		ended(p)
	}()
	return p, nil
}

func (p *process) id() int { return p.cmd.Process.Pid }

// order sends a signal. One that ends a process makes its end an expected one.
func (p *process) order(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered = p.ordered || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// expected tells whether the process was told to end.
func (p *process) expected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ordered
}

// end kills the process and waits for it.
func (p *process) end() {
	p.order(syscall.SIGKILL)
	<-p.ended
}

// usage is a process's open descriptors and resident memory in MB.
func usage(id int) (descriptors int, mb float64, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(id))
	fds, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return 0, 0, err
	}
	text, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("%s/statm says %q", dir, text)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return len(fds), float64(pages) * float64(os.Getpagesize()) / (1 << 20), err
}

// waited is how long each of a process's threads has waited for a core since it
// started: what a busy machine kept from it.
func waited(id int) map[string]time.Duration {
	all := map[string]time.Duration{}
	tasks, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(id), "task", "*", "schedstat")) // the pattern is sound
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(text)); len(fields) == 3 {
			if ns, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
				all[path] = time.Duration(ns)
			}
		}
	}
	return all
}

// pin keeps all threads of a process on some cores; threads that it starts
// later inherit that. No right is needed to take it back.
func pin(id int, cores *unix.CPUSet) error {
	tasks, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(id), "task"))
	if err != nil {
		return err
	}
	for _, t := range tasks {
		thread, err := strconv.Atoi(t.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(thread, cores); err != nil && !errors.Is(err, unix.ESRCH) {
			return err
		}
	}
	return nil
}

// cores is what the rig itself may run on.
func cores() (all unix.CPUSet, last int) {
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		all.Set(0)
	}
	for i := range 1024 {
		if all.IsSet(i) {
			last = i
		}
	}
	return all, last
}

// maxBurners bounds the processes that take a starved one's time.
const maxBurners = 16

// starve leaves a process one part in so many of one core, by running
// processes that do nothing but use it up, until release is called.
func (s *starter) starve(ctx context.Context, id, parts int) (release func(), err error) {
	all, last := cores()
	var one unix.CPUSet
	one.Set(last)
	var burners []*process
	stop := func() {
		for _, b := range burners {
			b.end()
		}
		pin(id, &all) // fails only if the process has ended
	}
	for range min(parts-1, maxBurners) {
		cmd, err := helper(ctx, roleBurner)
		if err != nil {
			stop()
			return nil, err
		}
		b, err := s.launch(cmd, true, nil, func([]byte) {}, func(*process) {})
		if err != nil {
			stop()
			return nil, err
		}
		burners = append(burners, b)
		if err := pin(b.id(), &one); err != nil {
			stop()
			return nil, err
		}
	}
	if err := pin(id, &one); err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}
