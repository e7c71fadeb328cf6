package fleetsim

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"
)

// parts of the time for which the table tells what was served: what decays shows there.
const parts = 8

// WriteTable prints results as tables.
func WriteTable(w io.Writer, p *Plan, results []*Result) {
	capacity, load := p.Capacity()
	fmt.Fprintf(w, "%s: %d nodes, %d servers in %d zones, %v at %v requests a second: %.0f%% of a capacity of %.0f s of work a second\n",
		p.Name, p.Nodes, p.Servers, len(p.Zones), p.Duration, p.Rate, 100*load, capacity)
	for _, e := range p.Events {
		fmt.Fprintln(w, " ", e)
	}
	fmt.Fprintf(w, "\n%-18s %7s %7s %9s %9s %8s %7s %7s   rules checked/broken\n", "policy", "served", "worst", "least", "most", "tries", "waste", "took")
	for _, r := range results {
		asked := 0
		for _, c := range r.Classes {
			asked += c.Asked
		}
		rulesText := ""
		for i := range r.Checked {
			rulesText += fmt.Sprintf(" %d/%d", r.Checked[i], r.Broken[i])
		}
		fmt.Fprintf(w, "%-18s %6.1f%% %6.1f%% %9.2f %9.2f %8.3f %6.1f%% %6.1fs  %s\n", r.Policy, 100*r.Served, 100*r.Worst, r.Least, r.Most,
			float64(r.Attempts)/math.Max(1, float64(asked)), 100*r.Waste, r.Took.Seconds(), rulesText)
	}
	fmt.Fprintf(w, "\n%-18s", "served over time")
	for i := range parts {
		fmt.Fprintf(w, " %6.0f s", float64(i)*p.Duration.Seconds()/parts)
	}
	fmt.Fprintln(w, "   choked")
	for _, r := range results {
		fmt.Fprintf(w, "%-18s", r.Policy)
		for i := range parts {
			fmt.Fprintf(w, " %7.1f%%", 100*r.ServedIn(i*windows/parts, (i+1)*windows/parts))
		}
		fmt.Fprintf(w, " %7.1f%%\n", 100*r.Choked(p.Servers))
	}
	fmt.Fprintf(w, "\n%-18s %-12s %8s %8s %7s %8s %9s %7s %9s %9s\n", "policy", "class", "asked", "in aim", "late", "refused", "needless", "failed", "p50", "p99")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(w, "%-18s %-12s %8d %7.1f%% %7d %8d %9d %7d %9s %9s\n", r.Policy, c.Name, c.Asked, 100*float64(c.InAim)/math.Max(1, float64(c.Asked)),
				c.Late, c.Refused, c.Needless, c.Failed, ms(c.P50), ms(c.P99))
		}
	}
	for _, r := range results {
		for _, t := range r.Told {
			fmt.Fprintf(w, "%s: %s\n", r.Policy, t)
		}
	}
	fmt.Fprintln(w, "\nserved: worth answered within its aim, of the worth asked for; worst: in the worst 40th of the time. least, most:\nwork against capacity at the 5th and 95th hundredth of the servers that nothing happened to, over their mean. needless: refused\nwhile some warm server could still have answered within the aim, by the work that it had in hand, which no node sees.")
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

type picture struct {
	Title   string
	Lead    string
	Events  []string
	Marks   []mark
	Legend  []item
	Lines   []line
	Modes   []line
	ModeKey []item
	Shares  []row
	Table   string
	Seconds []tickMark
}

type mark struct {
	X    float64
	Text string
}

type item struct{ Name, Color string }

type line struct {
	Color, Points string
}

type row struct {
	Y     float64
	Name  string
	Cells []cell
}

type cell struct {
	X     float64
	Color string
	Text  string
}

type tickMark struct {
	X    float64
	Text string
}

const (
	left, width  = 60.0, 840.0
	chartHeight  = 200.0
	shareRow     = 14.0
	maxShareHeat = 1.2
)

var colors = map[Policy]string{Module: "#0b5fa5", Random: "#b3541e", RoundRobin: "#6b7a1f", LeastInFlight: "#7a3b8f", Central: "#1d2530"}

// WriteHTML writes one file without outside references: service over time by
// policy, and for the module the servers' modes and shares.
func WriteHTML(w io.Writer, p *Plan, results []*Result) error {
	_, load := p.Capacity()
	pic := picture{Title: p.Name, Lead: fmt.Sprintf("%d nodes, %d servers in %d zones, %v requests a second for %v, %.0f%% of capacity",
		p.Nodes, p.Servers, len(p.Zones), p.Rate, p.Duration, 100*load)}
	x := func(part float64) float64 { return left + width*part }
	for _, e := range p.Events {
		pic.Events = append(pic.Events, e.String())
		pic.Marks = append(pic.Marks, mark{x(e.At.Seconds() / p.Duration.Seconds()), e.String()})
	}
	for i := 0; i <= 5; i++ {
		pic.Seconds = append(pic.Seconds, tickMark{x(float64(i) / 5), fmt.Sprintf("%.0f s", p.Duration.Seconds()*float64(i)/5)})
	}
	for _, r := range results {
		var b strings.Builder
		for i := range r.Windows {
			win := &r.Windows[i]
			part := 1.0
			if win.Worth > 0 {
				part = win.Served / win.Worth
			}
			fmt.Fprintf(&b, "%.1f,%.1f ", x((float64(i)+0.5)/windows), chartHeight*(1-part))
		}
		pic.Lines = append(pic.Lines, line{colors[r.Policy], b.String()})
		pic.Legend = append(pic.Legend, item{fmt.Sprintf("%s %.1f%%", r.Policy, 100*r.Served), colors[r.Policy]})
		if r.Policy != Module {
			continue
		}
		pic.modes(r, x)
		pic.shares(r, x)
	}
	var table strings.Builder
	WriteTable(&table, p, results)
	pic.Table = table.String()
	return page.Execute(w, pic)
}

// modes stacks the parts of servers by mode.
func (pic *picture) modes(r *Result, x func(float64) float64) {
	kinds := []struct {
		name, color string
		of          func(*Window) int
	}{
		{"normal", "#8fc1a3", func(w *Window) int { return w.Normal }}, {"overloaded", "#f0c75e", func(w *Window) int { return w.Overloaded }},
		{"blocking", "#d9643a", func(w *Window) int { return w.Blocking }}, {"suspect", "#5b5b66", func(w *Window) int { return w.Suspect }},
	}
	below := make([]float64, windows)
	for _, k := range kinds {
		var up, down strings.Builder
		for i := range r.Windows {
			w := &r.Windows[i]
			total := math.Max(1, float64(w.Normal+w.Overloaded+w.Blocking+w.Suspect))
			at := x((float64(i) + 0.5) / windows)
			fmt.Fprintf(&down, "%.1f,%.1f ", at, chartHeight*(1-below[i]))
			below[i] += float64(k.of(w)) / total
		}
		for i := windows - 1; i >= 0; i-- {
			fmt.Fprintf(&up, "%.1f,%.1f ", x((float64(i)+0.5)/windows), chartHeight*(1-below[i]))
		}
		pic.Modes = append(pic.Modes, line{k.color, down.String() + up.String()})
		pic.ModeKey = append(pic.ModeKey, item{k.name, k.color})
	}
}

func (pic *picture) shares(r *Result, x func(float64) float64) {
	for i, s := range r.Shares {
		one := row{Y: float64(i) * shareRow, Name: s.Name}
		for w, part := range s.Part {
			heat := math.Min(1, part/maxShareHeat)
			one.Cells = append(one.Cells, cell{X: x(float64(w) / windows), Color: fmt.Sprintf("hsl(%.0f 70%% %.0f%%)", 210-190*heat, 96-46*heat),
				Text: fmt.Sprintf("%s: %.0f%% of its capacity", s.Name, 100*part)})
		}
		pic.Shares = append(pic.Shares, one)
	}
}

var page = template.Must(template.New("").Funcs(template.FuncMap{
	"add":  func(a, b float64) float64 { return a + b },
	"rows": func(rows []row) float64 { return float64(len(rows))*shareRow + 4 },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;color:#1d2530;background:#fff;max-width:960px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0}h2{font-size:16px;margin:28px 0 6px}p{margin:4px 0}
svg{display:block;width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#4a5462}
.key span{display:inline-block;margin-right:18px}.key i{display:inline-block;width:12px;height:12px;margin-right:6px;border-radius:2px}
pre{background:#f4f6f8;padding:12px;overflow:auto;font-size:12px;line-height:1.35}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.Lead}}</p>
{{if .Events}}<p>{{range $i, $e := .Events}}{{if $i}}; {{end}}{{$e}}{{end}}. Dashed lines mark them.</p>{{end}}
<h2>Worth answered within its aim</h2>
<p class="key">{{range .Legend}}<span><i style="background:{{.Color}}"></i>{{.Name}}</span>{{end}}</p>
<svg viewBox="0 0 920 230" role="img" aria-label="service over time">
{{template "grid" .}}
{{range .Lines}}<polyline points="{{.Points}}" transform="translate(0 4)" fill="none" stroke="{{.Color}}" stroke-width="2"/>{{end}}
</svg>
{{if .Modes}}<h2>Servers as the module's nodes see them</h2>
<p class="key">{{range .ModeKey}}<span><i style="background:{{.Color}}"></i>{{.Name}}</span>{{end}}</p>
<svg viewBox="0 0 920 230" role="img" aria-label="modes over time">
{{range .Modes}}<polygon points="{{.Points}}" transform="translate(0 4)" fill="{{.Color}}"/>{{end}}
{{template "grid" .}}
</svg>
<h2>Work done against capacity, by server</h2>
<p>Pale: idle. Red: all that it can do. At most 40 servers, evenly chosen.</p>
<svg viewBox="0 0 920 {{rows .Shares}}" role="img" aria-label="shares over time">
{{range .Shares}}{{$y := .Y}}<text x="0" y="{{add $y 11}}" textLength="56" lengthAdjust="spacingAndGlyphs">{{.Name}}</text>{{range .Cells}}<rect x="{{.X}}" y="{{$y}}" width="20.5" height="13" fill="{{.Color}}"><title>{{.Text}}</title></rect>{{end}}
{{end}}{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{rows $.Shares}}" stroke="#1d2530" stroke-dasharray="3 3" stroke-width="1"/>{{end}}
</svg>{{end}}
<h2>Figures</h2><pre>{{.Table}}</pre>
</body></html>
{{define "grid"}}<g stroke="#c9d0d8" stroke-width="1"><line x1="60" x2="900" y1="4" y2="4"/><line x1="60" x2="900" y1="104" y2="104"/><line x1="60" x2="900" y1="204" y2="204"/></g>
<text x="52" y="10" text-anchor="end">100%</text><text x="52" y="108" text-anchor="end">50%</text><text x="52" y="206" text-anchor="end">0</text>
{{range .Seconds}}<text x="{{.X}}" y="222" text-anchor="middle">{{.Text}}</text>{{end}}
{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="4" y2="204" stroke="#1d2530" stroke-dasharray="3 3" stroke-width="1"><title>{{.Text}}</title></line>{{end}}{{end}}
`))
