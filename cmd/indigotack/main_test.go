package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program itself where a test has started it anew.
func TestMain(m *testing.M) {
	if os.Getenv("INDIGOTACK_AS_PROGRAM") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "INDIGOTACK_AS_PROGRAM=1", "GW_CONFIG="+path)
	return cmd
}

func TestBadConfigIsOneLineAndNonZero(t *testing.T) {
	out, err := program(t, `{"settings":{}}`).CombinedOutput()
	if _, ok := err.(*exec.ExitError); !ok || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
		t.Errorf("ends with %v and says %q, want a non-zero status and one line on listen", err, out)
	}
}

func TestServesUntilSIGTERM(t *testing.T) {
	var free [2]string
	for i := range free {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		free[i] = ln.Addr().String()
		if i == 0 {
			ln.Close()
		}
	}
	cmd := program(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},
		"known":{"index":1,"endpoints":[{"name":"s","address":%q,"status":"ready"}]}}`, free[0], free[1], free[1]))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	said := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(stderr).ReadString('\n')
		said <- line
	}()
	ready := func() bool {
		resp, err := http.Get("http://" + free[0] + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	for until := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		select {
		case line := <-said:
			t.Fatalf("the program says %q", line)
		default:
		}
		if time.Now().After(until) {
			t.Fatal("the program does not get ready")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM it ends with %v, want status 0", err)
	}
}
