// Package loadctl is the load generator's command line.
package loadctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"indigotack/internal/cli"
	"indigotack/internal/load"
)

// errInvalid: the run says nothing of its target. It has been told why.
var errInvalid = cli.Status(4)

type commands struct {
	Run     runCommand     `cmd:"" help:"Send load and report."`
	Import  importCommand  `cmd:"" help:"Make a trace of an access log or HAR file."`
	Merge   mergeCommand   `cmd:"" help:"Add the reports of several processes."`
	Compare compareCommand `cmd:"" help:"Compare two sets of reports, with the noise over repeated runs."`
}

// Main carries out one call and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands
	return cli.Run(&c, args, stdout, stderr, "indigoload",
		kong.Description("An open-loop load generator. Exit status: 0 valid, 1 error, 2 usage, 4 the generator could not keep up."))
}

type runCommand struct {
	Target   string        `required:"" help:"Where to send: http://host:port, host:port or unix:PATH."`
	Rate     float64       `help:"Requests a second, without a plan."`
	Duration time.Duration `help:"How long, without a plan."`
	Path     string        `help:"The path to ask for, without a plan." default:"/"`
	Plan     string        `help:"A plan's file."`
	Trace    string        `help:"A trace that import has made."`
	Speed    float64       `help:"Play the trace, or the plan, so many times as fast." default:"1"`
	Loop     int           `help:"Play the trace so many times over." default:"1"`
	Cut      time.Duration `help:"Cut gaps of the trace to so long; 0 keeps them."`
	Unsafe   bool          `help:"Send the trace's POST and other unsafe requests too."`
	Seed     uint64        `help:"Another seed than the plan's."`
	JSON     string        `name:"json" help:"Write the report to this file."`
	HTML     string        `name:"html" help:"Write a page to this file."`
}

func (c *runCommand) Run(o *cli.Output) error {
	if !(c.Speed > 0 && c.Speed <= 1e4) {
		return cli.Usage("--speed %v, want over 0 and up to 10,000", c.Speed)
	}
	plan, err := c.plan()
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	target := c.Target
	if u, err := url.Parse(target); err == nil && u.Scheme == "http" {
		if target = u.Host; u.Port() == "" {
			target += ":80"
		}
	} else if err == nil && u.Scheme == "https" {
		return cli.Usage("--target %s: TLS is not spoken", target)
	}
	var trace *load.Trace
	if c.Trace != "" {
		f, err := os.Open(c.Trace)
		if err != nil {
			return err
		}
		trace, err = load.Import(f, load.Own, false)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", c.Trace, err)
		}
		if err := trace.Play(c.Speed, c.Loop, c.Cut, c.Unsafe); err != nil {
			return cli.Usage("%w", err)
		}
		if n := trace.Withheld(); n > 0 {
			fmt.Fprintf(o.Out, "%d requests of the trace are not safe and are not sent: --unsafe sends them\n", n)
		}
	} else if c.Speed != 1 {
		plan.Faster(c.Speed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := &cli.Progress{To: o.Out, Every: 5 * time.Second}
	report, err := load.Run(ctx, plan, trace, load.Options{Target: target, Progress: func(p load.Progress) {
		progress.Line(p.At, "%5.1f of %v: %d sent, %d answered, %d errors, %d open, %.0f a second, p99 %.1f ms", p.At.Seconds(), p.Of, p.Sent, p.Answered, p.Errors, p.Open, p.Rate, float64(p.P99)/1e6)
	}})
	progress.End()
	if err != nil {
		return err
	}
	report.Table(o.Out)
	if err := errors.Join(cli.WriteTo(c.JSON, report.Write), cli.WriteTo(c.HTML, report.WriteHTML)); err != nil {
		return err
	}
	if !report.Valid {
		return errInvalid
	}
	return nil
}

func (c *runCommand) plan() (*load.Plan, error) {
	switch {
	case c.Plan != "":
		if c.Rate != 0 || c.Duration != 0 {
			return nil, cli.Usage("either --plan or --rate and --duration")
		}
		return load.LoadPlan(c.Plan)
	case c.Trace != "":
		return load.ParsePlan("trace", []byte("version = 1\nname = \"trace\"\n[[phase]]\nrate = 0\nfor = \"1ms\"\n"))
	case !(c.Rate > 0) || c.Duration < time.Millisecond:
		return nil, cli.Usage("want --plan, --trace, or --rate and --duration")
	}
	return load.ParsePlan("command line", fmt.Appendf(nil, "version = 1\n[[phase]]\nrate = %f\nfor = %q\n[[class]]\nname = \"default\"\npath = %q\n", c.Rate, c.Duration.String(), c.Path))
}

type importCommand struct {
	File   string `arg:"" help:"The record; - for standard input."`
	Format string `help:"clf (Common or Combined Log Format), har or lines." enum:"clf,har,lines" default:"clf"`
	Hash   bool   `help:"Replace query values and path segments with digits by hashes."`
	Out    string `help:"The trace." required:""`
}

func (c *importCommand) Run(o *cli.Output) error {
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	t, err := load.Import(in, c.Format, c.Hash)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	for _, n := range t.Notes {
		fmt.Fprintln(o.Out, n)
	}
	fmt.Fprintf(o.Out, "%d requests over %v\n", len(t.Lines), t.Length().Round(time.Millisecond))
	return cli.WriteTo(c.Out, t.Write)
}

type mergeCommand struct {
	Reports []string `arg:"" help:"Reports of processes that ran at the same time."`
	JSON    string   `name:"json" help:"Write the sum to this file."`
	HTML    string   `name:"html" help:"Write a page to this file."`
}

func (c *mergeCommand) Run(o *cli.Output) error {
	var all []*load.Report
	for _, path := range c.Reports {
		r, err := load.ReadReport(path)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	r, err := load.Merge(all)
	if err != nil {
		return err
	}
	r.Table(o.Out)
	return errors.Join(cli.WriteTo(c.JSON, r.Write), cli.WriteTo(c.HTML, r.WriteHTML))
}

type compareCommand struct {
	A []string `required:"" help:"Reports of repeated runs of one side."`
	B []string `required:"" help:"Reports of repeated runs of the other."`
}

func (c *compareCommand) Run(o *cli.Output) error {
	read := func(paths []string) ([]*load.Report, error) {
		var out []*load.Report
		for _, p := range paths {
			r, err := load.ReadReport(p)
			if err != nil {
				return nil, err
			}
			out = append(out, r)
		}
		return out, nil
	}
	a, err := read(c.A)
	if err != nil {
		return err
	}
	b, err := read(c.B)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "%-14s %12s %12s %12s %12s   B against A\n", "", "A", "noise", "B", "noise")
	for _, row := range []struct {
		name string
		of   func(*load.Report) float64
	}{
		{"p50 ms", func(r *load.Report) float64 { return r.Latency.P50 }}, {"p90 ms", func(r *load.Report) float64 { return r.Latency.P90 }},
		{"p99 ms", func(r *load.Report) float64 { return r.Latency.P99 }}, {"p99.9 ms", func(r *load.Report) float64 { return r.Latency.P999 }},
		{"errors %", func(r *load.Report) float64 { return 100 * float64(r.Errors) / math.Max(1, float64(r.Intended)) }},
		{"refused %", func(r *load.Report) float64 {
			return 100 * float64(r.Outcomes["refused"]) / math.Max(1, float64(r.Intended))
		}},
	} {
		ma, na := spread(a, row.of)
		mb, nb := spread(b, row.of)
		verdict := "within the noise"
		switch {
		case len(a) < 2 || len(b) < 2:
			verdict = "no noise known: repeat the runs"
		case math.Abs(mb-ma) > na+nb && ma != 0:
			verdict = fmt.Sprintf("x%.3f", mb/ma)
		case math.Abs(mb-ma) > na+nb:
			verdict = fmt.Sprintf("%+.3f", mb-ma)
		}
		fmt.Fprintf(o.Out, "%-14s %12.3f %12.3f %12.3f %12.3f   %s\n", row.name, ma, na, mb, nb, verdict)
	}
	for _, r := range append(a, b...) {
		if !r.Valid {
			return errInvalid
		}
	}
	return nil
}

// spread is the mean over runs and half of what they differ by.
func spread(runs []*load.Report, of func(*load.Report) float64) (mean, noise float64) {
	low, high := math.Inf(1), math.Inf(-1)
	for _, r := range runs {
		v := of(r)
		mean += v / float64(len(runs))
		low, high = math.Min(low, v), math.Max(high, v)
	}
	return mean, (high - low) / 2
}
