package ctl

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"indigotack/internal/cli"
	"indigotack/internal/fleetsim"
)

type gridCommand struct {
	Plan   string    `arg:"" help:"The plan whose classes, kinds and events are played; its size and rate are replaced."`
	Sizes  []string  `help:"Fleets, as nodes x servers." default:"1x3,5x15,2x300,20x300,100x300"`
	Loads  []float64 `help:"Parts of the capacity that are asked for, in %." default:"63,80,88,95"`
	Seeds  int       `help:"Seeds from the plan's on." default:"5"`
	Policy []string  `help:"Play these policies: ${policies}. random and central always are." default:"module,least-in-flight"`
}

func (c *gridCommand) Run(o *cli.Output) error {
	plan, err := fleetsim.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	g := &fleetsim.Grid{Plan: plan, Seeds: c.Seeds}
	for _, text := range c.Sizes {
		size, err := fleetsim.ParseSize(text)
		if err != nil {
			return cli.Usage("--sizes: %w", err)
		}
		g.Sizes = append(g.Sizes, size)
	}
	for _, load := range c.Loads {
		if load <= 0 || load > 1000 {
			return cli.Usage("--loads %v, want percentages up to 1000", load)
		}
		g.Loads = append(g.Loads, load/100)
	}
	if g.Policies, err = policies(c.Policy); err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 1000 {
		return cli.Usage("--seeds %d, want 1 to 1000", c.Seeds)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	spots, err := g.Run(ctx)
	if err != nil {
		return err
	}
	fleetsim.WriteGrid(o.Out, g, spots)
	if slices.ContainsFunc(spots, func(s fleetsim.Spot) bool { return s.Policy == fleetsim.Module && s.Broken > 0 }) {
		return errMistaken
	}
	return nil
}

// policies reads names given on a command line.
func policies(names []string) (list []fleetsim.Policy, err error) {
	for _, name := range names {
		if !slices.Contains(fleetsim.Policies, fleetsim.Policy(name)) {
			return nil, cli.Usage("--policy %q, want some of %s", name, fleetsim.PolicyNames())
		}
		list = append(list, fleetsim.Policy(name))
	}
	return list, nil
}
