package ctl

import (
	"fmt"
	"io"
	"slices"

	"indigotack/internal/cli"
	"indigotack/internal/fleetsim"
)

type simulateCommand struct {
	Plan   string   `arg:"" help:"The plan to play."`
	Policy []string `help:"Play these policies alone: module, random, round-robin, least-in-flight."`
	HTML   string   `name:"html" help:"Write a picture to this file."`
	Seed   uint64   `help:"Another seed than the plan's."`
}

func (c *simulateCommand) Run(o *cli.Output) error {
	plan, err := fleetsim.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	if len(c.Policy) > 0 {
		plan.Policies = nil
		for _, name := range c.Policy {
			if !slices.Contains(fleetsim.Policies, fleetsim.Policy(name)) {
				return cli.Usage("--policy %q, want module, random, round-robin or least-in-flight", name)
			}
			plan.Policies = append(plan.Policies, fleetsim.Policy(name))
		}
	}
	var results []*fleetsim.Result
	for _, p := range plan.Policies {
		results = append(results, fleetsim.Run(plan, p))
	}
	fleetsim.WriteTable(o.Out, plan, results)
	if err := cli.WriteTo(c.HTML, func(w io.Writer) error { return fleetsim.WriteHTML(w, plan, results) }); err != nil {
		return err
	}
	if c.HTML != "" {
		fmt.Fprintln(o.Out, "wrote", c.HTML)
	}
	for _, r := range results {
		for _, n := range r.Broken {
			if n > 0 && r.Policy == fleetsim.Module {
				return errMistaken
			}
		}
	}
	return nil
}
