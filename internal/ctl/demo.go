package ctl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"indigotack/internal/cli"
	"indigotack/internal/demo"
)

type demoCommand struct {
	Duration time.Duration `help:"How long clients send requests, 2s to 1h." default:"20s"`
	Rate     float64       `help:"Requests a second; 0 for none, so that a load generator of yours can send." default:"240"`
	Listen   string        `help:"Where the sidecar listens; any port if empty."`
	Seed     uint64        `help:"Seed of all that is random; 0 draws one."`
	Log      bool          `help:"Print the sidecar's log as well."`
}

func (c *demoCommand) Run(o *cli.Output) error {
	if c.Duration < 2*time.Second || c.Duration > time.Hour {
		return cli.Usage("--duration %v, want 2s to 1h", c.Duration)
	}
	if c.Rate != 0 && !(c.Rate >= 1 && c.Rate <= 5000) {
		return cli.Usage("--rate %v, want 0, or 1 to 5000", c.Rate)
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()>>33 + 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	fmt.Fprintf(o.Out, "15 web servers, their discovery, a sidecar and its clients, all on loopback: %v at %v requests a second, seed %d\n", c.Duration, c.Rate, c.Seed)
	progress := &cli.Progress{To: o.Out, Every: 2 * time.Second}
	options := demo.Options{Duration: c.Duration, Rate: c.Rate, Seed: c.Seed, Listen: c.Listen, Ready: func(address string) {
		fmt.Fprintf(o.Out, "the sidecar serves at http://%s\n", address)
	}, Progress: func(p demo.Progress) {
		progress.Line(p.At, "%4.1f of %v: %d asked, %d in aim, %d refused, %d failed, %d open; %s", p.At.Seconds(), p.Of, p.Asked, p.InAim, p.Refused, p.Failed, p.Open, orNothing(p.Doing))
	}}
	if c.Log {
		options.Log = o.Err
	}
	report, err := demo.Run(ctx, options)
	progress.End()
	if report != nil {
		report.Write(o.Out)
	}
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(o.Out, "ended early")
		err = nil
	}
	if err == nil && !report.Sound() {
		err = errMistaken
	}
	return err
}

func orNothing(s string) string {
	if s == "" {
		return "all well"
	}
	return s
}
