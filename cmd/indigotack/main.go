// Command indigotack is one load-balancing proxy node. On a platform it reads
// the file that GW_CONFIG names; with -app FILE it is a sidecar and reads that
// application's file. It serves until SIGTERM, SIGINT or SIGQUIT, finishes what
// is open and exits with 0. On SIGHUP it reads the file again. Other signals that
// a process may be sent are logged and change nothing.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"indigotack/internal/admin"
	"indigotack/internal/appconfig"
	"indigotack/internal/clock"
	"indigotack/internal/eventlog"
	"indigotack/internal/hangup"
	"indigotack/internal/node"
	"indigotack/internal/peers"
)

func main() {
	app := flag.String("app", "", "run as a sidecar by this application's `file`")
	flag.Parse()
	err := clock.Check()
	switch {
	case err != nil:
	case flag.NArg() > 0:
		err = fmt.Errorf("unknown argument %q", flag.Arg(0))
	case *app != "":
		err = runSidecar(*app)
	default:
		err = run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "indigotack:", err)
		os.Exit(1)
	}
}

// limitMemory has the collector work harder well before the machine's limit kills the node.
func limitMemory(mb int) { debug.SetMemoryLimit(node.HeapLimit(mb)) }

const (
	logLines     = 4096                   // that wait for a reader of the log that is slow
	logFlushTime = 100 * time.Millisecond // for them at the end
)

// logger writes to standard error. Neither a reader that stops reading nor one
// that has gone stops the program. flush is to be called at the end.
func logger(name string) (log *slog.Logger, flush func()) {
	signal.Ignore(syscall.SIGPIPE) // else a write to a pipe without a reader ends the process
	out := eventlog.NewWriter(os.Stderr, logLines)
	return slog.New(slog.NewTextHandler(out, nil)).With("node", name), func() { out.Close(logFlushTime) }
}

func run() error {
	ctx, stop := untilTerminated()
	defer stop()
	path := os.Getenv("GW_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	limitMemory(cfg.MemoryMB)
	log, flush := logger(cfg.Name)
	defer flush()
	cfg.LogUnknown(log)
	cfg.LogUnused(log)
	cfg.Operators.Log(log, cfg.Listen)
	ln, err := listen(ctx, cfg.Listen, log)
	if err != nil {
		return err
	}
	n := node.New(cfg, log)
	stopHearing := n.HearOperators(func(name string) http.Handler {
		return admin.Answers{Orders: n.Operators(name), Counters: n.Counters()}
	})
	defer stopHearing()
	logSignals(context.WithoutCancel(ctx), n.NoteSignal)
	go reloadOn(context.WithoutCancel(ctx), hangup.Signals, log, func() error {
		if err := node.CheckFile(path); err != nil {
			return err
		}
		next, err := node.LoadConfig(path)
		if err == nil {
			next.LogUnknown(log)
			next.Operators.Log(log, next.Listen)
			n.Reload(next)
		}
		return err
	})
	return n.Run(ctx, ln)
}

// takePart makes the node a member of its fleet and answers operators, as far
// as the file wants either. leave ends both, telling the others.
func takePart(app *appconfig.App, s *node.Sidecar, log *slog.Logger) (leave func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	end := []func(){cancel}
	leave = func() {
		for _, f := range slices.Backward(end) {
			f()
		}
	}
	var p *peers.Peers
	if c := app.Peers; c != nil {
		p, err = peers.Start(ctx, peers.Config{Name: c.Name, Zone: app.Zone, Program: version(), Listen: c.Listen, Advertise: c.Advertise, Join: c.Join,
			State: c.State, Keys: c.Keys, Probe: c.Probe, Settle: c.Settle, Retry: c.Retry, Remember: c.Remember, Drained: s.Drained}, log)
		if err != nil {
			leave()
			return nil, err
		}
		end = append(end, func() {
			if err := p.Leave(); err != nil {
				log.Warn("the others were not told that this node goes", "err", err)
			}
		})
	}
	if app.Admin.Address.IsValid() {
		ln, err := net.Listen("tcp", app.Admin.Address.String())
		if err != nil {
			leave()
			return nil, fmt.Errorf("admin: %w", err)
		}
		const name = "admin.address"
		srv := s.ServeOperators(ln, admin.Answers{Orders: s.Operators(name), Counters: s.Counters(), Peers: p})
		end = append(end, func() { srv.Close() })
	}
	return leave, nil
}

// version is what the binary was built from, as far as the build tells.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

func runSidecar(path string) error {
	ctx, stop := untilTerminated()
	defer stop()
	app, err := appconfig.Load(path)
	if err != nil {
		return fmt.Errorf("%s has mistakes:\n%w", path, err)
	}
	limitMemory(app.MemoryMB)
	if cores := int(math.Ceil(app.Cores)); cores < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(cores)
	}
	log, flush := logger(app.Name)
	defer flush()
	ln, err := listen(ctx, app.Address.String(), log)
	if err != nil {
		return err
	}
	s, err := node.NewSidecar(app, rand.Int64(), log)
	if err != nil {
		ln.Close()
		return err
	}
	leave, err := takePart(app, s, log)
	logSignals(context.WithoutCancel(ctx), s.NoteSignal)
	if err != nil {
		ln.Close()
		return err
	}
	defer leave()
	go reloadOn(context.WithoutCancel(ctx), hangup.Signals, log, func() error {
		next, err := appconfig.Load(path)
		if err == nil {
			err = s.Reload(next)
		}
		if err == nil {
			log.Info("reloaded", "file", path)
		}
		return err
	})
	return s.Run(ctx, ln)
}
