package main

import (
	"bufio"
	"debug/elf"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"indigotack/internal/callfault"
	"indigotack/internal/testnet"
)

// TestMain runs the program itself where a test has started it anew.
func TestMain(m *testing.M) {
	callfault.Role()
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

// start starts a program, to be killed at the test's end, and gives what it says.
func start(t *testing.T, cmd *exec.Cmd) <-chan string {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	said := make(chan string, 1000)
	go func() {
		defer close(said)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			said <- lines.Text()
		}
	}()
	return said
}

func TestBadConfigIsOneLineAndNonZero(t *testing.T) {
	out, err := program(t, `{"settings":{}}`).CombinedOutput()
	if _, ok := err.(*exec.ExitError); !ok || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "listen") {
		t.Errorf("ends with %v and says %q, want a non-zero status and one line on listen", err, out)
	}
}

// TestServesUntilSIGTERM: SIGHUP in between reloads; a configuration that is
// bad is logged, and neither ends the program.
func TestServesUntilSIGTERM(t *testing.T) {
	var free [3]string
	for i := range free {
		ln := testnet.Listen(t)
		free[i] = ln.Addr().String()
		if i == 0 {
			ln.Close()
		}
	}
	config := nodeConfig{listen: free[0], discovery: free[1], server: free[1]}.String()
	cmd := program(t, config)
	said := start(t, cmd)
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
		case line, open := <-said:
			if !open {
				t.Fatal("the program ends")
			}
			t.Logf("the program says %q", line)
		default:
		}
		if time.Now().After(until) {
			t.Fatal("the program does not get ready")
		}
	}
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
	for _, c := range []struct{ config, logged string }{
		{strings.Replace(config, free[1], free[2], 1), "discovery has moved"},
		{"{", "not reloaded"},
	} {
		if err := os.WriteFile(path, []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for timeout := time.After(30 * time.Second); ; {
			select {
			case line, open := <-said:
				if strings.Contains(line, c.logged) {
					break
				}
				if !open {
					t.Fatalf("the program ends and has not said %q", c.logged)
				}
				continue
			case <-timeout:
				t.Fatalf("the program does not say %q", c.logged)
			}
			break
		}
	}
	if !ready() {
		t.Error("not ready after two reloads")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM it ends with %v, want status 0", err)
	}
}

// TestSIGTERMWithRequestsInHand: a server hangs while the program is told to
// end, and its client would wait for far longer than the platform. It gets a
// whole answer all the same, once, though SIGTERM comes twice and SIGHUP with it.
func TestSIGTERMWithRequestsInHand(t *testing.T) {
	hung := testnet.Listen(t)
	listen := testnet.FreeAddress(t)
	cmd := program(t, nodeConfig{listen: listen, discovery: hung.Addr().String(), settings: classSettings("slow", "fragile", 4*time.Second), server: hung.Addr().String()}.String())
	start(t, cmd)
	var client net.Conn
	for until := time.Now().Add(30 * time.Second); client == nil; time.Sleep(5 * time.Millisecond) {
		if client, _ = net.Dial("tcp", listen); client == nil && time.Now().After(until) {
			t.Fatal("the program does not listen")
		}
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprint(client, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: slow\r\nX-Deadline: 60\r\nContent-Length: 1\r\n\r\nx")
	for at := []byte(nil); !strings.Contains(string(at), "X-Request-Id: q"); { // discovery's calls come there too
		c, err := hung.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		at = make([]byte, 4096)
		k, _ := c.Read(at)
		at = at[:k]
	}
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	answers := bufio.NewReader(client)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answer %d, %v, want a whole 504: it may have run", resp.StatusCode, err)
	}
	if b, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %q, %v, want the end of the connection", b, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v, want status 0", err)
	}
}

// TestSidecarProgram: -app FILE serves an ordinary client, SIGHUP takes up a
// good file and refuses a bad one, SIGTERM ends it in order.
func TestSidecarProgram(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "page") }))
	defer backend.Close()
	address := testnet.FreeAddress(t)
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	app := fmt.Sprintf("version = 1\nname = \"a\"\n[listen]\naddress = %q\n[servers]\nfile = \"servers.toml\"\n", address)
	write("servers.toml", fmt.Sprintf("[[server]]\nname = \"w\"\naddress = %q\n", backend.Listener.Addr()))
	write("app.toml", app)
	cmd := exec.Command(os.Args[0], "-app", filepath.Join(dir, "app.toml"))
	cmd.Env = append(os.Environ(), "INDIGOTACK_AS_PROGRAM=1")
	said := start(t, cmd)
	status := func(path string) int {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for until := time.Now().Add(30 * time.Second); status("/health/ready") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the program does not get ready")
		}
	}
	for _, c := range []struct {
		app, logged string
		status      int
	}{
		{app + "[[route]]\nprefix = \"/only\"\n", "reloaded", 404},
		{app + "unknown = 1\n", "not reloaded", 404},
		{app, "reloaded", 200},
	} {
		write("app.toml", c.app)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for timeout, found := time.After(30*time.Second), false; !found; {
			select {
			case line, open := <-said:
				if found = strings.Contains(line, c.logged); !open {
					t.Fatalf("the program ends and has not said %q", c.logged)
				}
			case <-timeout:
				t.Fatalf("the program does not say %q", c.logged)
			}
		}
		if got := status("/x"); got != c.status {
			t.Errorf("after %q: answer %d, want %d", c.logged, got, c.status)
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM it ends with %v, want status 0", err)
	}
}

// TestBadAppFileIsToldWhole: every mistake, and a non-zero status.
func TestBadAppFileIsToldWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "app.toml")
	if err := os.WriteFile(path, []byte("version = 1\nnam = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-app", path)
	cmd.Env = append(os.Environ(), "INDIGOTACK_AS_PROGRAM=1")
	out, err := cmd.CombinedOutput()
	if _, ok := err.(*exec.ExitError); !ok || !strings.Contains(string(out), "app.toml:2:1: nam, unknown key") || !strings.Contains(string(out), "listen: address, missing") {
		t.Errorf("ends with %v and says %q", err, out)
	}
}

// TestDeployedProgramStarts builds by the very line of the deploy file. A platform that loads a library into the program needs
// it to be linked dynamically against the C library, in one process.
func TestDeployedProgramStarts(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	shell := func(line string) ([]byte, error) {
		cmd := exec.Command("/bin/sh", "-c", line)
		cmd.Dir = root
		return cmd.CombinedOutput()
	}
	if out, err := shell(deploy.Build); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	name, single := strings.CutPrefix(deploy.Run, "exec ")
	if !single || strings.ContainsAny(name, " ;|&") {
		t.Errorf("run = %q is not one process by exec", deploy.Run)
	}
	binary, err := elf.Open(filepath.Join(root, name))
	if err != nil {
		t.Fatal(err)
	}
	defer binary.Close()
	if libraries, err := binary.ImportedLibraries(); err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked against %v: %v", libraries, err)
	}
	if out, err := shell("GW_CONFIG=/nonexistent " + deploy.Run); err == nil || !strings.Contains(string(out), "/nonexistent") {
		t.Errorf("started without a configuration it says %q, %v", out, err)
	}
}

// TestLogReaderGoes: whoever reads the program's log goes away, or stops
// reading. The program goes on serving, and ends in order.
func TestLogReaderGoes(t *testing.T) {
	for _, how := range []string{"goes away", "stops reading"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			listen := testnet.FreeAddress(t)
			cmd := program(t, nodeConfig{listen: listen, discovery: listen, server: listen}.String())
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { cmd.Process.Kill() })
			writer.Close()
			awaitReady(t, listen)
			if how == "goes away" {
				reader.Close()
			}
			// Each is logged; the pipe holds 64 KiB.
			for i := range 40 {
				req, err := http.NewRequest(http.MethodGet, "http://"+listen+"/api/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Request-Id", strings.Repeat("x", 100))
				req.Header.Set("X-Class", fmt.Sprint(i, strings.Repeat("y", 4000)))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				resp.Body.Close()
				if i%5 == 4 {
					time.Sleep(time.Second / 4) // the log takes so many lines of a kind in a second
				}
			}
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("it ends with %v, want status 0", err)
			}
		})
	}
}

// TestReloadOfAFileThatIsBeingWritten: SIGHUP comes while the new configuration
// is half written, or not there for a moment. It is taken up when it is whole.
func TestReloadOfAFileThatIsBeingWritten(t *testing.T) {
	for how, since := range map[string]time.Duration{"half written": 300 * time.Millisecond, "missing": 300 * time.Millisecond, "missing for long": 4 * time.Second} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			listen, moved := testnet.FreeAddress(t), testnet.FreeAddress(t)
			config := nodeConfig{listen: listen, discovery: listen, server: listen}.String()
			cmd := program(t, config)
			said := start(t, cmd)
			awaitReady(t, listen)
			path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
			next := strings.Replace(config, fmt.Sprintf(`"discovery":%q`, listen), fmt.Sprintf(`"discovery":%q`, moved), 1)
			var err error
			if how != "half written" {
				err = os.Remove(path)
			} else {
				err = os.WriteFile(path, []byte(next[:len(next)/2]), 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(since)
			if err := os.WriteFile(path, []byte(next), 0o600); err != nil {
				t.Fatal(err)
			}
			for timeout := time.After(5 * time.Second); ; {
				select {
				case line := <-said:
					if strings.Contains(line, "discovery has moved") {
						return
					}
				case <-timeout:
					t.Fatal("the new configuration is not taken up")
				}
			}
		})
	}
}

// TestStartWaitsForItsAddress: the process before still holds the address when
// the next one starts.
func TestStartWaitsForItsAddress(t *testing.T) {
	before := testnet.Listen(t)
	listen := before.Addr().String()
	start(t, program(t, nodeConfig{listen: listen, discovery: listen, server: listen}.String()))
	time.Sleep(500 * time.Millisecond)
	before.Close()
	awaitReady(t, listen)
}
