package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program itself where a test has started it anew.
func TestMain(m *testing.M) {
	if os.Getenv("INDIGOLOAD_AS_PROGRAM") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestStoppedProcessIsToldApart: the generator is stopped for a second while
// its target is well. It says that it was itself, and exits with its own status.
func TestStoppedProcessIsToldApart(t *testing.T) {
	asked := make(chan struct{}, 10000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "ok")
		asked <- struct{}{}
	}))
	defer s.Close()
	cmd := exec.Command(os.Args[0], "run", "--target", s.URL, "--rate", "100", "--duration", "2s")
	cmd.Env = append(os.Environ(), "INDIGOLOAD_AS_PROGRAM=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for range 10 {
		select {
		case <-asked:
		case <-time.After(30 * time.Second):
			t.Fatal("no request comes")
		}
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	cmd.Process.Signal(syscall.SIGCONT)
	var told []string
	for lines := bufio.NewScanner(out); lines.Scan(); {
		told = append(told, lines.Text())
	}
	err = cmd.Wait()
	exit, ok := err.(*exec.ExitError)
	if text := strings.Join(told, "\n"); !ok || exit.ExitCode() != 4 || !strings.Contains(text, "the generator itself did not run") {
		t.Errorf("ends with %v: %s", err, text)
	}
}
