package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"time"

	"indigotack/internal/appconfig"
	"indigotack/internal/cli"
	"indigotack/internal/lifecycle"
	"indigotack/internal/node"
)

const (
	orderTime    = 5 * time.Second // for a node's answer to one call
	drainedEvery = 50 * time.Millisecond
)

var errResumed = errors.New("it was resumed meanwhile")

// nodeAddresses are the nodes that a command is for.
type nodeAddresses struct {
	Address []string `arg:"" help:"Addresses of nodes, host:port: a sidecar's in [admin]; a platform's node's where clients connect, or its admin_listen."`
}

type drainCommand struct {
	nodeAddresses
	Wait    bool          `help:"Wait until the nodes hold no request and no connection."`
	Timeout time.Duration `help:"The longest time to wait, with --wait." default:"30s"`
}

type resumeCommand struct{ nodeAddresses }

type statusCommand struct{ nodeAddresses }

func (c *drainCommand) Run(o *cli.Output) error {
	if c.Timeout <= 0 {
		return cli.Usage("--timeout %v, want more than 0s", c.Timeout)
	}
	return c.each(o, "drain", func(ctx context.Context, address string) (node.Status, error) {
		s, err := callNode(ctx, address, http.MethodPost, appconfig.QuiescePath)
		if err != nil || !c.Wait {
			return s, err
		}
		return awaitDrained(ctx, address, s, c.Timeout)
	})
}

func (c *resumeCommand) Run(o *cli.Output) error {
	return c.each(o, "resume", func(ctx context.Context, address string) (node.Status, error) {
		return callNode(ctx, address, http.MethodPost, appconfig.ResumePath)
	})
}

func (c *statusCommand) Run(o *cli.Output) error {
	return c.each(o, "status", func(ctx context.Context, address string) (node.Status, error) {
		return callNode(ctx, address, http.MethodGet, appconfig.StatusPath)
	})
}

// each carries out a command at all nodes at the same time and prints a line
// for each, in the order of their addresses.
func (a nodeAddresses) each(o *cli.Output, command string, do func(ctx context.Context, address string) (node.Status, error)) error {
	for _, address := range a.Address {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return cli.Usage("%s %q, want host:port", command, address)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	states, errs := make([]node.Status, len(a.Address)), make([]error, len(a.Address))
	var all sync.WaitGroup
	for i, address := range a.Address {
		all.Go(func() { states[i], errs[i] = do(ctx, address) })
	}
	all.Wait()
	failed := false
	for i, address := range a.Address {
		if errs[i] != nil {
			failed = true
			fmt.Fprintf(o.Err, "%s %s: %v\n", command, address, errs[i])
			continue
		}
		fmt.Fprintf(o.Out, "%s: %s\n", address, stateLine(states[i]))
	}
	if failed {
		return errMistaken
	}
	return nil
}

// stateLine is a node's state in words.
func stateLine(s node.Status) string {
	reason := ""
	if s.Reason != "" {
		reason = " (" + s.Reason + ")"
	}
	return fmt.Sprintf("%s%s, %d open requests, %d connections", s.State, reason, s.OpenRequests, s.Connections)
}

// awaitDrained waits until a node that was told to drain holds nothing more.
func awaitDrained(ctx context.Context, address string, s node.Status, timeout time.Duration) (node.Status, error) {
	for until := time.Now().Add(timeout); s.OpenRequests > 0 || s.Connections > 0; {
		if s.State == lifecycle.Ready.String() || s.State == lifecycle.Starting.String() {
			return s, errResumed
		}
		if time.Now().After(until) {
			return s, fmt.Errorf("after %v it still is %s; want no open requests and no connections", timeout, stateLine(s))
		}
		select {
		case <-time.After(drainedEvery):
		case <-ctx.Done():
			return s, ctx.Err()
		}
		var err error
		if s, err = callNode(ctx, address, http.MethodGet, appconfig.StatusPath); err != nil {
			return s, err
		}
	}
	return s, nil
}
