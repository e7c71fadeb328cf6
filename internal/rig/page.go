package rig

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"time"
)

// Measures of the picture, in its own units.
const (
	pageLeft, pageWidth = 90.0, 800.0
	rowHeight           = 16.0
	bandHeight          = 14.0
	curveHeight         = 130.0
)

type box struct {
	X, Y, W, H  float64
	Class, Text string
}

type mark struct {
	X    float64
	Text string
}

// WriteHTML draws the run as one file without outside references: nodes and
// servers as rows, faults as bands, what became of the requests and where
// checkers found something.
func (r *Report) WriteHTML(w io.Writer) error {
	h := r.history
	length := max(1.0, r.Plan.Length.Seconds())
	x := func(at int64) float64 {
		s := math.Min(math.Max(0, float64(at-h.zero)/1e9), length)
		return pageLeft + pageWidth*s/length
	}
	between := func(s span, y, height float64, class, text string) box {
		from, to := x(s.from), x(s.to)
		return box{X: from, Y: y, W: math.Max(1.5, to-from), H: height, Class: class, Text: text}
	}
	var rows []box
	var names []mark
	y := 0.0
	row := func(name string) {
		names = append(names, mark{y + rowHeight/2, name})
		rows = append(rows, box{X: pageLeft, Y: y + 2, W: pageWidth, H: rowHeight - 4, Class: "up", Text: name})
		for _, s := range h.away[name] {
			if s.from > h.zero+int64(r.Plan.Length) {
				continue // all end after the load
			}
			rows = append(rows, between(s, y+2, rowHeight-4, "away", name+" did not run"))
		}
		for _, s := range h.stands[name] {
			rows = append(rows, between(s, y+2, rowHeight-4, "still", name+" stood still"))
		}
		for _, s := range h.starved[name] {
			rows = append(rows, between(s, y+2, rowHeight-4, "starved", name+" was short of CPU"))
		}
		y += rowHeight
	}
	for i := range r.Plan.Nodes {
		row(nodeName(i))
	}
	y += rowHeight / 2
	for j := range r.Plan.Servers.Count {
		row(serverName(j))
	}
	rowsHeight := y
	var bands []box
	y = 0
	steps := r.Plan.Timetable()
	for _, s := range steps {
		if s.Over {
			continue
		}
		to := r.Plan.Length
		for _, o := range steps {
			if o.Over && o.Number == s.Number {
				to = o.At
			}
		}
		if s.Fault.For == 0 && to == r.Plan.Length && s.Fault.What != FaultLink && s.Fault.What != FaultPartition {
			to = s.At + 200*time.Millisecond
		}
		bands = append(bands, between(span{from: h.zero + int64(s.At), to: h.zero + int64(to)}, y, bandHeight-3, "fault", s.String()))
		y += bandHeight
	}
	bandsHeight := y
	seconds := h.seconds()
	most := 1
	for _, s := range seconds {
		most = max(most, s.Asked)
	}
	var stacks []box
	step := pageWidth / float64(len(seconds))
	for i, s := range seconds {
		at := curveHeight
		for _, part := range []struct {
			n     int
			class string
		}{{s.InAim, "inaim"}, {s.Late, "late"}, {s.Refused, "refused"}, {s.Failed, "failed"}, {s.Lost + s.Wrong, "lost"}} {
			height := curveHeight * float64(part.n) / float64(most)
			at -= height
			if part.n > 0 {
				stacks = append(stacks, box{X: pageLeft + step*float64(i), Y: at, W: math.Max(1, step-1), H: height, Class: part.class,
					Text: fmt.Sprintf("second %d: %d %s of %d", i, part.n, part.class, s.Asked)})
			}
		}
	}
	var marks, ticks []mark
	for _, v := range r.Violations {
		marks = append(marks, mark{x(h.zero + int64(v.At)), fmt.Sprintf("%.3f s %s: %s", v.At.Seconds(), v.Checker, v.Text)})
	}
	for i := range 6 {
		at := length * float64(i) / 5
		ticks = append(ticks, mark{pageLeft + pageWidth*at/length, fmt.Sprintf("%.1f s", at)})
	}
	shown := slices.Clone(r.Violations)
	slices.SortStableFunc(shown, func(a, b Violation) int { return cmp.Compare(a.Checker, b.Checker) })
	return page.Execute(w, map[string]any{"R": r, "Rows": rows, "Names": names, "RowsHeight": rowsHeight, "Bands": bands, "BandsHeight": bandsHeight,
		"Stacks": stacks, "Most": most, "Marks": marks, "Ticks": ticks, "Violations": shown, "Plan": r.Plan.Format(),
		"Worst": r.WorstLate.Round(time.Millisecond)})
}

var page = template.Must(template.New("").Funcs(template.FuncMap{"ms": ms}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>{{.R.Name}}</title><style>
body{font:15px/1.5 system-ui,sans-serif;color:#1d2530;background:#fff;max-width:980px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0}h2{font-size:16px;margin:24px 0 4px}p{margin:4px 0}.sound{color:#1c6b33;font-weight:600}.bad{color:#a61b1b;font-weight:600}
svg{display:block;width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#4a5462}
.up{fill:#e3eaf1}.away{fill:#5a6472}.still{fill:#8e44ad}.starved{fill:#c98b12}.fault{fill:#f0c9a4}
.inaim{fill:#0b5fa5}.late{fill:#79aede}.refused{fill:#d9b13b}.failed{fill:#d5723a}.lost{fill:#a61b1b}.mark{stroke:#a61b1b;stroke-width:1.5}
.key span{margin-right:16px;white-space:nowrap}.key i{display:inline-block;width:12px;height:12px;margin-right:6px;border-radius:2px}
.wide{overflow-x:auto}table{border-collapse:collapse;font-size:13px}td,th{padding:3px 8px;text-align:right;border-bottom:1px solid #e3e7ec}td:first-child,th:first-child,td.t{text-align:left}
pre{background:#f4f6f8;padding:12px;overflow:auto;font-size:12px}
</style></head><body><h1>{{.R.Name}}</h1>
<p>{{.R.Plan.Nodes}} nodes, {{.R.Plan.Servers.Count}} servers, {{.R.Plan.Rate}} requests a second for {{.R.Plan.Length}}, seed {{.R.Seed}}.
{{if .R.Sound}}<span class="sound">Sound: no checker found anything.</span>{{else}}<span class="bad">Not sound: {{len .R.Violations}} findings.</span>{{end}}
{{if .R.Untimed}}<span class="bad">The rig ran up to {{.Worst}} late, and nothing was judged by time.</span>{{end}}</p>
<h2>What became of the requests asked in each second</h2>
<p class="key"><span><i style="background:#0b5fa5"></i>in aim</span><span><i style="background:#79aede"></i>late</span><span><i style="background:#d9b13b"></i>refused</span><span><i style="background:#d5723a"></i>failed</span><span><i style="background:#a61b1b"></i>no answer, or a finding (line)</span></p>
<svg viewBox="0 0 920 160" role="img" aria-label="requests by second"><g transform="translate(0 8)">
<text x="82" y="4" dy="4" text-anchor="end">{{.Most}}</text><text x="82" y="130" text-anchor="end">0</text>
{{range .Stacks}}<rect class="{{.Class}}" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .W}}" height="{{printf "%.1f" .H}}"><title>{{.Text}}</title></rect>{{end}}
{{range .Marks}}<line class="mark" x1="{{printf "%.1f" .X}}" x2="{{printf "%.1f" .X}}" y1="0" y2="130"><title>{{.Text}}</title></line>{{end}}
{{range .Ticks}}<text x="{{printf "%.1f" .X}}" y="146" text-anchor="middle">{{.Text}}</text>{{end}}</g></svg>
<h2>Faults</h2><svg viewBox="0 0 920 {{.BandsHeight}}" role="img" aria-label="faults">{{range .Bands}}<rect class="{{.Class}}" x="{{printf "%.1f" .X}}" y="{{.Y}}" width="{{printf "%.1f" .W}}" height="{{.H}}"/><text x="92" y="{{.Y}}" dy="10">{{.Text}}</text>{{end}}</svg>
<h2>Processes</h2><p class="key"><span><i style="background:#e3eaf1"></i>runs</span><span><i style="background:#5a6472"></i>does not run</span><span><i style="background:#8e44ad"></i>stands still</span><span><i style="background:#c98b12"></i>short of CPU</span></p>
<svg viewBox="0 0 920 {{.RowsHeight}}" role="img" aria-label="processes">{{range .Rows}}<rect class="{{.Class}}" x="{{printf "%.1f" .X}}" y="{{.Y}}" width="{{printf "%.1f" .W}}" height="{{.H}}"><title>{{.Text}}</title></rect>{{end}}
{{range .Names}}<text x="82" y="{{.X}}" dy="4" text-anchor="end">{{.Text}}</text>{{end}}</svg>
<h2>Checkers</h2><div class="wide"><table><tr><th>checker</th><th>looked</th><th>found</th><th></th></tr>{{range .R.Checks}}<tr><td>{{.Name}}</td><td>{{.Looked}}</td><td>{{.Found}}</td><td class="t">{{.About}}</td></tr>{{end}}</table></div>
{{if .Violations}}<h2>Findings</h2><div class="wide"><table><tr><th>at</th><th>checker</th><th></th></tr>{{range .Violations}}<tr><td>{{printf "%.3f s" .At.Seconds}}</td><td class="t">{{.Checker}}</td><td class="t">{{.Text}}</td></tr>{{end}}</table></div>{{end}}
<h2>Classes</h2><div class="wide"><table><tr><th>class</th><th>asked</th><th>in aim</th><th>late</th><th>refused</th><th>failed</th><th>lost</th><th>crossed</th><th>wrong</th><th>p50</th><th>p99</th></tr>
{{range .R.Classes}}<tr><td>{{.Class}}</td><td>{{.Asked}}</td><td>{{.InAim}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Lost}}</td><td>{{.Crossed}}</td><td>{{.Wrong}}</td><td>{{ms .P50}}</td><td>{{ms .P99}}</td></tr>{{end}}</table></div>
<h2>Plan</h2><pre>{{.Plan}}</pre></body></html>
`))
