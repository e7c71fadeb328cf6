// Package rig is what the cases of this review share: a record, processes of the
// project's own program, and stand-ins for web servers and clients. Everything
// listens on loopback addresses.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"indigotack/internal/standin"
)

// How a case ends.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// Limit is after which a case gives up.
const Limit = 100 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // false: the same without the disruption
	Dir     string // temporary, removed at the end

	start time.Time
	mu    sync.Mutex
	file  *os.File
	procs []*Process
	over  bool
}

// Open begins a case. The record is written to the file record.txt in the folder
// that CASE_DIR names.
func Open(title string) *Case {
	file, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), file: file}
	if c.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		c.Fail(err)
	}
	c.Log("%s, trouble %v", title, c.Trouble)
	time.AfterFunc(Limit, func() { c.Fail(errors.New("the case took too long")) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		c.Fail(errors.New("told to end"))
	}()
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	c.file.WriteString(line)
	fmt.Print(line)
}

// Fail ends a case that could not run.
func (c *Case) Fail(err error) {
	c.Log("could not run: %v", err)
	c.exit(couldNot)
}

// Must ends a case that could not run.
func (c *Case) Must(err error) {
	if err != nil {
		c.Fail(err)
	}
}

// End ends a case: with the rule broken if there is a breach.
func (c *Case) End(breaches []string) {
	for _, b := range breaches {
		c.Log("BROKEN: %s", b)
	}
	if len(breaches) > 0 {
		c.exit(broken)
	}
	c.Log("the rule held")
	c.exit(held)
}

func (c *Case) exit(code int) {
	c.mu.Lock()
	if c.over {
		c.mu.Unlock()
		select {} // another one ends it
	}
	c.over = true
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	os.RemoveAll(c.Dir)
	c.file.Close()
	os.Exit(code)
}

// FreePort is an address on which nobody listens.
func (c *Case) FreePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// Process is a process of the project's own program.
type Process struct {
	Name string
	of   *Case
	cmd  *exec.Cmd
	done chan struct{}
}

// run is the deploy file's command.
const run = "exec bin/indigotack"

// Start starts the program from the project's root by the deploy file's command.
// Its log goes to a file.
func (c *Case) Start(name, arguments string, environment ...string) *Process {
	root := os.Getenv("ROOT_DIR")
	log, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), name+".log"))
	c.Must(err)
	cmd := exec.Command("/bin/sh", "-c", strings.TrimSpace(run+" "+arguments))
	cmd.Dir, cmd.Env = root, append(os.Environ(), environment...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(cmd.Start())
	log.Close()
	p := &Process{Name: name, of: c, cmd: cmd, done: make(chan struct{})}
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	go func() {
		cmd.Wait()
		close(p.done)
	}()
	c.Log("%s: process started: %s", name, strings.TrimSpace(run+" "+arguments))
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.of.Log("%s: signal %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ready waits until a node says that it is ready.
func (c *Case) Ready(address string) {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.Log("node at %s is ready", address)
			return
		}
	}
	c.Fail(errors.New("the node did not get ready"))
}

// Write writes a file in the temporary folder and gives its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Must(os.WriteFile(path+".new", []byte(text), 0o600))
	c.Must(os.Rename(path+".new", path))
	return path
}

// Class is a class of the settings, in milliseconds.
type Class struct {
	Name, Effect, Scope string
	Aim, GiveUp, Window int
	Importance          float64
}

// Settings are those of a small deployment on a platform, after the example of the
// wire's page.
func Settings(zones []string, classes ...Class) map[string]any {
	const ms = 1_000_000
	var list []map[string]any
	for _, k := range classes {
		list = append(list, map[string]any{"name": k.Name, "effect": k.Effect, "key_scope": k.Scope, "aim_ns": k.Aim * ms,
			"give_up_ns": k.GiveUp * ms, "dedup_window_ns": k.Window * ms, "importance": k.Importance, "late_worth": 0.0, "streamed": false})
	}
	return map[string]any{
		"accounts": []any{}, "balancers": 1,
		"caps": map[string]any{"cancel": true, "conn_idle_ns": 60000 * ms, "connect_timeout_ns": 120 * ms, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 8000, "max_attempts": 4, "max_retry_after_ns": 2000 * ms, "may_duplicate": false, "most_held": 20000,
			"multiplex": 1, "peers": false, "probes": false, "retry_after": true},
		"charges":       map[string]any{"connection": 0.03, "cross_zone": 0.01, "handshake": 0.03, "late_fail": 0.05, "waste": 0.05},
		"classes":       list,
		"client_habits": map[string]any{"marks_retry": false}, "failure_domains": zones, "family": "proxy",
		"goal": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
		"invariants": map[string]any{"answer_slack_ns": 20 * ms, "ask_within_ns": 10000 * ms, "cold_from": 0.3, "cold_ns": 8800 * ms,
			"drain_grace_ns": 2000 * ms, "overload_factor": 3.0, "tip_after_ns": 1000 * ms},
		"kinds": []string{"c2-fast"}, "membership_mode": "pushed", "over_share_worth": 0.1,
		"report": map[string]any{"fields": []string{"waiting", "active"}, "how": "answers"}, "slot_no": 0,
		"specifics": map[string]any{"warm_keys": false}, "tick_ns": 5 * ms, "tier": 0, "tiers": []string{"portal-web"},
		"weight_kind": "nominal", "worth_by": "request", "zone": zones[0]}
}

// StartPlatform starts a node as on a platform and waits until it is ready.
func (c *Case) StartPlatform(name, listen, discovery string, settings map[string]any) *Process {
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": settings})
	c.Must(err)
	path := c.Write(name+".json", string(text))
	p := c.Start(name, "", "GW_CONFIG="+path)
	c.Ready(listen)
	return p
}

// Discovery starts a stand-in discovery service, or agent, that lists servers as ready.
func (c *Case) Discovery(servers ...*Server) *standin.Registry {
	r, err := standin.NewRegistry()
	c.Must(err)
	for _, s := range servers {
		r.Set(s.Entry("ready"))
	}
	return r
}

// Server is a stand-in web server. Its handler is called when a request's last
// byte has come.
type Server struct {
	Name, Address, Zone string
	Cell                int
}

// StartServer starts a stand-in web server.
func (c *Case) StartServer(name, zone string, handle http.HandlerFunc) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	srv := &http.Server{Handler: handle, IdleTimeout: 60 * time.Second}
	go srv.Serve(ln)
	return &Server{Name: name, Address: ln.Addr().String(), Zone: zone}
}

// Entry is the server as discovery lists it.
func (s *Server) Entry(status string) standin.Entry {
	return standin.Entry{Name: s.Name, Address: s.Address, Zone: s.Zone, Kind: "c2-fast", Cell: s.Cell, Status: status, Weight: 1}
}
