package load

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	chartLeft, chartWidth, chartHeight = 64.0, 836.0, 180.0
	shownQuantile                      = 99.999
)

type chart struct {
	Title string
	Y     []label
	X     []label
	Lines []path
}

type label struct {
	At   float64
	Text string
}

type path struct{ Name, Color, Points string }

// WriteHTML writes the report as one file without outside references.
func (r *Report) WriteHTML(w io.Writer) error {
	n := len(r.Seconds)
	xs := func(i int) float64 { return chartLeft + chartWidth*(float64(i)+0.5)/math.Max(1, float64(n)) }
	var seconds []label
	for i := 0; i <= 5; i++ {
		seconds = append(seconds, label{chartLeft + chartWidth*float64(i)/5, fmt.Sprintf("%.0f s", float64(n)*float64(i)/5)})
	}
	series := func(title string, names, colors []string, of ...func(Second) float64) chart {
		c := chart{Title: title, X: seconds}
		top := 1e-9
		for _, f := range of {
			for _, s := range r.Seconds {
				top = math.Max(top, f(s))
			}
		}
		top = round(top)
		for i, f := range of {
			var b strings.Builder
			for j, s := range r.Seconds {
				fmt.Fprintf(&b, "%.1f,%.1f ", xs(j), chartHeight*(1-f(s)/top))
			}
			c.Lines = append(c.Lines, path{names[i], colors[i], b.String()})
		}
		for i := 0; i <= 2; i++ {
			c.Y = append(c.Y, label{chartHeight * (1 - float64(i)/2), fmt.Sprintf("%g", top*float64(i)/2)})
		}
		return c
	}
	charts := []chart{
		series("Requests a second", []string{"intended", "answered", "errors"}, []string{"#9aa5b1", "#0b5fa5", "#c0392b"},
			func(s Second) float64 { return float64(s.Intended) }, func(s Second) float64 { return float64(s.Answered) }, func(s Second) float64 { return float64(s.Errors) }),
		series("Most requests open in each second", []string{"open"}, []string{"#0b5fa5"}, func(s Second) float64 { return float64(s.Open) }),
		series("99th hundredth of latency in each second, ms", []string{"p99"}, []string{"#0b5fa5"}, func(s Second) float64 { return s.P99 }),
		r.percentiles(),
	}
	var table strings.Builder
	r.Table(&table)
	return page.Execute(w, map[string]any{"R": r, "Charts": charts, "Table": table.String(), "Outcomes": outcomeNames[:]})
}

// percentiles draws latency and service by percentile, nines evenly spaced.
func (r *Report) percentiles() chart {
	c := chart{Title: "Latency and service by percentile, ms, nines evenly spaced"}
	top := round(math.Max(r.Latency.Max, 1e-3))
	x := func(q float64) float64 { return chartLeft + chartWidth*-math.Log10(1-q/100)/5 }
	curve := func(h *hdrhistogram.Histogram) string {
		var b strings.Builder
		for i := 0; i <= 200; i++ {
			q := 100 * (1 - math.Pow(10, -5*float64(i)/200))
			v := float64(h.ValueAtQuantile(math.Min(q, shownQuantile))) / 1000
			fmt.Fprintf(&b, "%.1f,%.1f ", x(q), chartHeight*(1-v/top))
		}
		return b.String()
	}
	c.Lines = []path{{"latency, from the intended sending", "#0b5fa5", curve(r.latency)}, {"service, from the real sending", "#6b7a1f", curve(r.service)}}
	for _, q := range []float64{0, 90, 99, 99.9, 99.99, 99.999} {
		c.X = append(c.X, label{x(q), fmt.Sprintf("%g%%", q)})
	}
	for i := 0; i <= 2; i++ {
		c.Y = append(c.Y, label{chartHeight * (1 - float64(i)/2), fmt.Sprintf("%g", top*float64(i)/2)})
	}
	return c
}

// round gives a round number that is not below v.
func round(v float64) float64 {
	scale := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 5, 10} {
		if v <= m*scale*(1+1e-9) {
			return m * scale
		}
	}
	return v
}

var page = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Name}}</title><style>
body{font:15px/1.5 system-ui,sans-serif;color:#1d2530;background:#fff;max-width:960px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0}h2{font-size:16px;margin:26px 0 4px}p{margin:4px 0}.bad{color:#a61b1b;font-weight:600}
svg{display:block;width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#4a5462}
.key span{margin-right:18px}.key i{display:inline-block;width:12px;height:12px;margin-right:6px;border-radius:2px}
.wide{overflow-x:auto}table{border-collapse:collapse;font-size:12px}td,th{padding:3px 7px;text-align:right;border-bottom:1px solid #e3e7ec}td:first-child,th:first-child{text-align:left}
pre{background:#f4f6f8;padding:12px;overflow:auto;font-size:12px}
</style></head><body><h1>{{.R.Name}}</h1>
<p>{{.R.Intended}} requests intended, {{.R.Sent}} sent, {{.R.Answered}} answered, {{.R.Errors}} errors in {{printf "%.1f" .R.DurationS}} s against {{.R.Target}}.</p>
{{range .R.Invalid}}<p class="bad">Invalid: {{.}}</p>{{end}}
{{range .Charts}}<h2>{{.Title}}</h2><p class="key">{{range .Lines}}<span><i style="background:{{.Color}}"></i>{{.Name}}</span>{{end}}</p>
<svg viewBox="0 0 920 208" role="img"><g transform="translate(0 6)">{{range .Y}}<line x1="64" x2="900" y1="{{.At}}" y2="{{.At}}" stroke="#d5dbe1"/><text x="56" y="{{.At}}" dy="4" text-anchor="end">{{.Text}}</text>{{end}}
{{range .X}}<text x="{{.At}}" y="198" text-anchor="middle">{{.Text}}</text>{{end}}
{{range .Lines}}<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}" stroke-width="1.8"/>{{end}}</g></svg>{{end}}
<h2>By class and answer</h2><div class="wide"><table><tr><th>class</th><th>intended</th><th>in aim</th>{{range .Outcomes}}<th>{{.}}</th>{{end}}<th>unsent</th><th>p50 ms</th><th>p99 ms</th><th>max ms</th></tr>
{{range .R.Classes}}{{$k := .}}<tr><td>{{.Name}}</td><td>{{.Intended}}</td><td>{{.InAim}}</td>{{range $.Outcomes}}<td>{{index $k.Outcomes .}}</td>{{end}}<td>{{index .Outcomes "unsent"}}</td>{{if .Latency.Count}}<td>{{printf "%.1f" .Latency.P50}}</td><td>{{printf "%.1f" .Latency.P99}}</td><td>{{printf "%.1f" .Latency.Max}}</td>{{else}}<td>-</td><td>-</td><td>-</td>{{end}}</tr>{{end}}</table></div>
<h2>Figures</h2><pre>{{.Table}}</pre></body></html>
`))
