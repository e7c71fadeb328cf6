package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"indigotack/internal/cli"
	"indigotack/internal/rig"
)

type rehearseCommand struct {
	Plan    string `arg:"" optional:"" help:"The plan; docs/rehearse.md has every key."`
	Seed    uint64 `help:"Seed of all that is drawn, instead of the plan's; of the first plan with --random."`
	Random  int    `help:"Play so many plans drawn by seed instead, and shrink each that fails."`
	Soak    int    `help:"Play so many plans of a platform's fleet with overlapping faults, drawn by seed; shrink none."`
	Repeat  int    `help:"Play the plan so many times, with one seed after another, and tell how it went each time."`
	Tries   int    `help:"How often a failing plan is played to find a smaller one, with --random." default:"30"`
	Program string `help:"The node's program; by default the indigotack beside this one."`
	JSON    string `name:"json" help:"Write the verdict to this file." placeholder:"FILE"`
	HTML    string `name:"html" help:"Draw the run into this file." placeholder:"FILE"`
	Keep    string `help:"Keep the history and every process's files and log in this folder; with --random, the plans that fail." placeholder:"DIR"`
	Steps   bool   `help:"Print the timetable and play nothing."`
}

func (c *rehearseCommand) Run(o *cli.Output) error {
	if (c.Plan == "") == (c.Random == 0 && c.Soak == 0) || c.Random != 0 && c.Soak != 0 {
		return cli.Usage("want a plan, or --random or --soak with a number")
	}
	if c.Soak < 0 || c.Soak > 10_000 {
		return cli.Usage("--soak %d, want up to 10000 plans", c.Soak)
	}
	if c.Repeat < 0 || c.Repeat > 10_000 || c.Repeat > 0 && c.Random > 0 {
		return cli.Usage("--repeat %d, want up to 10000 plays of a plan", c.Repeat)
	}
	if c.Random < 0 || c.Random > 10_000 || c.Tries < 0 || c.Tries > 1000 {
		return cli.Usage("--random %d --tries %d, want up to 10000 plans and 1000 tries", c.Random, c.Tries)
	}
	program := c.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "indigotack")
	}
	if _, err := os.Stat(program); err != nil && !c.Steps {
		return fmt.Errorf("the node's program (name one with --program): %w", err)
	}
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, 0o755); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Random > 0 {
		return c.random(ctx, o, program)
	}
	if c.Soak > 0 {
		return c.soak(ctx, o, program)
	}
	plan, err := rig.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	if c.Steps {
		for _, s := range plan.Timetable() {
			fmt.Fprintf(o.Out, "%8.2f s  %v\n", s.At.Seconds(), s)
		}
		return nil
	}
	if c.Repeat > 0 {
		return c.repeat(ctx, o, program, plan)
	}
	fmt.Fprintf(o.Out, "%s: %d nodes, %d servers, %v requests a second for %v, seed %d\n", plan.Name, plan.Nodes, plan.Servers.Count, plan.Rate, plan.Length, plan.Seed)
	progress := &cli.Progress{To: o.Out, Every: 2 * time.Second}
	report, err := rig.Run(ctx, plan, rig.Options{Program: program, Dir: c.Keep, Progress: func(p rig.Progress) {
		progress.Line(p.At, "%4.1f of %v: %d asked, %d in aim, %d not; %s", p.At.Seconds(), p.Of, p.Asked, p.InAim, p.Other, orNothing(p.Doing))
	}})
	progress.End()
	if errors.Is(err, context.Canceled) {
		return errors.New("ended early: all that was started has been ended, and nothing is judged")
	}
	if err != nil {
		return err
	}
	report.Write(o.Out)
	if err := errors.Join(cli.WriteTo(c.JSON, report.WriteJSON), cli.WriteTo(c.HTML, report.WriteHTML)); err != nil {
		return err
	}
	if !report.Sound() {
		return errMistaken
	}
	return nil
}

// repeat plays one plan over and over.
func (c *rehearseCommand) repeat(ctx context.Context, o *cli.Output, program string, plan *rig.Plan) error {
	fmt.Fprintf(o.Out, "%s, %d plays\n%8s %8s %8s %9s  %s\n", plan.Name, c.Repeat, "seed", "asked", "in aim", "settled", "found")
	failed := 0
	var settled []time.Duration
	for range c.Repeat {
		report, err := rig.Run(ctx, plan, rig.Options{Program: program})
		if errors.Is(err, context.Canceled) {
			return errors.New("ended early")
		}
		if err != nil {
			return err
		}
		asked, good := 0, 0
		for _, k := range report.Classes {
			asked, good = asked+k.Asked, good+k.InAim
		}
		found := "nothing"
		if report.Untimed {
			found = "nothing, and was not judged by time"
		}
		if !report.Sound() {
			failed++
			found = fmt.Sprintf("%d, first %s: %s", len(report.Violations), report.Violations[0].Checker, report.Violations[0].Text)
		}
		when := "-"
		if report.Settled > 0 {
			settled = append(settled, report.Settled)
			when = fmt.Sprintf("%.2f s", report.Settled.Seconds())
		}
		fmt.Fprintf(o.Out, "%8d %8d %7.1f%% %9s  %s\n", plan.Seed, asked, 100*float64(good)/float64(max(1, asked)), when, found)
		plan.Seed++
	}
	fmt.Fprintf(o.Out, "sound %d of %d", c.Repeat-failed, c.Repeat)
	if slices.Sort(settled); len(settled) > 0 {
		fmt.Fprintf(o.Out, "; settled after the last fault: median %.2f s, worst %.2f s", settled[len(settled)/2].Seconds(), settled[len(settled)-1].Seconds())
	}
	fmt.Fprintln(o.Out)
	if failed > 0 {
		return errMistaken
	}
	return nil
}

// seedsPlayed is plans that are drawn from one seed after another.
type seedsPlayed struct {
	what  string // they are, in the plural
	count int
	draw  func(seed uint64) *rig.Plan
	dir   func(*rig.Plan) (string, error) // where a play keeps what happens; "": nowhere
	told  func(*rig.Plan, *rig.Report) error
}

// playSeeds plays plans one after another, and tells how many were not sound.
func (c *rehearseCommand) playSeeds(ctx context.Context, o *cli.Output, program string, s seedsPlayed) error {
	began, played, failed, untimed := time.Now(), 0, 0, 0
	for i := range s.count {
		plan := s.draw(max(1, c.Seed) + uint64(i))
		dir, err := s.dir(plan)
		if err != nil {
			return err
		}
		report, err := rig.Run(ctx, plan, rig.Options{Program: program, Dir: dir})
		if errors.Is(err, context.Canceled) {
			fmt.Fprintf(o.Out, "ended early, after %d of %d %s\n", i, s.count, s.what)
			break
		}
		if err != nil {
			return fmt.Errorf("%s: %w", plan.Name, err)
		}
		played++
		if report.Untimed {
			untimed++
		}
		if !report.Sound() {
			failed++
		}
		if err := s.told(plan, report); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "%d %s, %d failed, %d not judged by time, %.1f minutes\n", played, s.what, failed, untimed, time.Since(began).Minutes())
	if failed > 0 {
		return errMistaken
	}
	return nil
}

// soak plays soaks, and tells all that each broke. What happened in those that
// are not sound is kept.
func (c *rehearseCommand) soak(ctx context.Context, o *cli.Output, program string) error {
	dir := func(plan *rig.Plan) (string, error) {
		if c.Keep == "" {
			return "", nil
		}
		path := filepath.Join(c.Keep, plan.Name)
		return path, os.MkdirAll(path, 0o755)
	}
	told := func(plan *rig.Plan, report *rig.Report) error {
		asked, good := report.Total()
		fmt.Fprintf(o.Out, "%s: %d nodes, %d servers, %d faults, %d asked, %.1f%% in aim, %d violations\n", plan.Name, plan.Nodes, plan.Servers.Count,
			len(plan.Faults), asked, 100*float64(good)/float64(max(1, asked)), len(report.Violations))
		for _, v := range report.Violations[:min(len(report.Violations), violationsTold)] {
			fmt.Fprintf(o.Out, "  %6.2f s %s: %s\n", v.At.Seconds(), v.Checker, v.Text)
		}
		if c.Keep == "" || !report.Sound() {
			return nil
		}
		return os.RemoveAll(filepath.Join(c.Keep, plan.Name))
	}
	return c.playSeeds(ctx, o, program, seedsPlayed{what: "soaks", count: c.Soak, draw: rig.Soak, dir: dir, told: told})
}

// violationsTold is how many violations of a soak are told one by one.
const violationsTold = 5

// random plays random plans. One that is not sound is shrunk, and kept as a plan.
func (c *rehearseCommand) random(ctx context.Context, o *cli.Output, program string) error {
	nowhere := func(*rig.Plan) (string, error) { return "", nil }
	told := func(plan *rig.Plan, report *rig.Report) error {
		if report.Sound() {
			return nil
		}
		v := report.Violations[0]
		fmt.Fprintf(o.Out, "%s: %s: %s\n", plan.Name, v.Checker, v.Text)
		small, played := rig.Shrink(ctx, plan, c.Tries, func(p *rig.Plan) bool {
			r, err := rig.Run(ctx, p, rig.Options{Program: program})
			return err == nil && r.Broke(v.Checker)
		})
		fmt.Fprintf(o.Out, "  %d faults of %d left after %d plays\n", len(small.Faults), len(plan.Faults), played)
		if c.Keep == "" {
			return nil
		}
		path := filepath.Join(c.Keep, plan.Name+".toml")
		if err := cli.WriteTo(path, func(w io.Writer) error { _, err := io.WriteString(w, small.Format()); return err }); err != nil {
			return err
		}
		fmt.Fprintln(o.Out, "  kept as", path)
		return nil
	}
	return c.playSeeds(ctx, o, program, seedsPlayed{what: "plans", count: c.Random, draw: rig.Random, dir: nowhere, told: told})
}
