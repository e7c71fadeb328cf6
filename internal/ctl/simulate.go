package ctl

import (
	"fmt"
	"io"

	"indigotack/internal/cli"
	"indigotack/internal/fleetsim"
)

type simulateCommand struct {
	Plan     string   `arg:"" help:"The plan to play."`
	Policy   []string `help:"Play these policies alone: ${policies}."`
	HTML     string   `name:"html" help:"Write a picture to this file."`
	Refusals bool     `help:"Also tell why the module refused: what it believed, and what was true."`
	Seed     uint64   `help:"Another seed than the plan's."`
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
		if plan.Policies, err = policies(c.Policy); err != nil {
			return err
		}
	}
	var results []*fleetsim.Result
	for _, p := range plan.Policies {
		results = append(results, fleetsim.Run(plan, p))
	}
	fleetsim.WriteTable(o.Out, plan, results)
	for _, r := range results {
		if c.Refusals && r.Policy == fleetsim.Module {
			fleetsim.WriteRefusals(o.Out, plan, r)
		}
	}
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
