package experiment

import (
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Report writes report.md, in Markdown, and its charts to a folder, and returns the path of report.md.
func (s *Summary) Report(dir string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n", s.Title)
	if s.About != "" {
		fmt.Fprintf(&b, "%s\n\n", strings.TrimSpace(s.About))
	}
	form := "full form"
	if s.Quick {
		form = "quick form"
	}
	engine := "real scheduler processes on loopback sockets"
	if s.Engine == "model" {
		engine = "the decision module in virtual time"
	}
	fmt.Fprintf(&b, "Run with %s, %s, seeds %v. Shares are of all requests: those with a response within their latency target.\n\n", engine, form, s.Seeds)
	b.WriteString("| check | value | bound | |\n| --- | --- | --- | --- |\n")
	for _, c := range s.Checks {
		verdict := "passes"
		if !c.OK {
			verdict = "**fails**"
		}
		fmt.Fprintf(&b, "| %s | %.4g | %.4g | %s |\n", c.Name, c.Value, c.Bound, verdict)
	}
	cells := s.cells()
	b.WriteString("\n| site | variant | large in time | small in time | large p50, p99 ms | small p50, p99 ms | reservations | backfilled (ended late) | released unused |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range cells {
		for _, v := range s.Variants {
			r := s.aggregate(v, c)
			lost := 0
			for why, n := range r.Reservations.Released {
				if why != "placed" && why != "unheard" {
					lost += n
				}
			}
			fmt.Fprintf(&b, "| %v | %s | %.1f%% | %.1f%% | %.0f, %.0f | %.0f, %.0f | %d | %d (%d) | %d |\n", c, v,
				100*s.mean(v, c, "large_in_time"), 100*s.mean(v, c, "small_in_time"), r.Large.P50, r.Large.P99, r.Small.P50, r.Small.P99,
				r.Reservations.Reserved, r.Reservations.Backfilled, r.Reservations.BackfilledLate, lost)
		}
	}
	if err := s.fleetTable(dir, &b); err != nil {
		return "", err
	}
	if err := s.rulesTable(dir, &b); err != nil {
		return "", err
	}
	names, err := s.charts(dir, cells)
	if err != nil {
		return "", err
	}
	for _, n := range names {
		fmt.Fprintf(&b, "\n![%s](%s)\n", strings.TrimSuffix(n, ".svg"), n)
	}
	path := filepath.Join(dir, "report.md")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

// aggregate adds up the counts of a variant's runs in a cell and averages the latency quantiles.
func (s *Summary) aggregate(variant string, c Cell) (out Run) {
	out.Reservations.Released = map[string]int{}
	n := 0.0
	for i := range s.Runs {
		r := &s.Runs[i]
		if r.Variant != variant || r.Cell != c {
			continue
		}
		n++
		out.Large.P50, out.Large.P99 = out.Large.P50+r.Large.P50, out.Large.P99+r.Large.P99
		out.Small.P50, out.Small.P99 = out.Small.P50+r.Small.P50, out.Small.P99+r.Small.P99
		out.Reservations.Reserved, out.Reservations.Backfilled, out.Reservations.BackfilledLate = out.Reservations.Reserved+r.Reservations.Reserved, out.Reservations.Backfilled+r.Reservations.Backfilled, out.Reservations.BackfilledLate+r.Reservations.BackfilledLate
		for why, k := range r.Reservations.Released {
			out.Reservations.Released[why] += k
		}
	}
	for _, x := range []*float64{&out.Large.P50, &out.Large.P99, &out.Small.P50, &out.Small.P99} {
		*x /= max(n, 1)
	}
	return out
}

var palette = []color.RGBA{{0x33, 0x33, 0x33, 255}, {0xd5, 0x5e, 0, 255}, {0, 0x72, 0xb2, 255}, {0, 0x9e, 0x73, 255}, {0xcc, 0x79, 0xa7, 255}}

// charts draws a bar chart for one cell. For a sweep it draws the gain of the last variant over the first by load,
// with one line for each share of the work that comes in wide jobs, those of the most slots. It returns the file
// names.
func (s *Summary) charts(dir string, cells []Cell) ([]string, error) {
	if len(cells) == 1 {
		return s.barChart(dir, cells[0])
	}
	var names []string
	first, last := s.Variants[0], s.Variants[len(s.Variants)-1]
	var groups []Cell
	for _, c := range cells {
		g := Cell{Schedulers: c.Schedulers, Loss: c.Loss}
		if !slices.Contains(groups, g) {
			groups = append(groups, g)
		}
	}
	for _, g := range groups {
		for _, figure := range []string{"large_in_time", "small_in_time"} {
			p := plot.New()
			p.Title.Text = fmt.Sprintf("%s: %s minus %s\n%d schedulers, %.0f%% datagram loss", strings.ReplaceAll(figure, "_", " "), last, first, g.Schedulers, 100*g.Loss)
			p.X.Label.Text, p.Y.Label.Text = "load, %", "percentage points"
			p.Legend.Top = true
			p.Add(plotter.NewGrid())
			var wides []float64
			for _, c := range cells {
				if !slices.Contains(wides, c.Wide) {
					wides = append(wides, c.Wide)
				}
			}
			for i, wide := range wides {
				var pts plotter.XYs
				for _, c := range cells {
					if c.Schedulers == g.Schedulers && c.Loss == g.Loss && c.Wide == wide {
						pts = append(pts, plotter.XY{X: 100 * c.Level, Y: 100 * (s.mean(last, c, figure) - s.mean(first, c, figure))})
					}
				}
				line, dots, err := plotter.NewLinePoints(pts)
				if err != nil {
					return nil, err
				}
				line.Color, dots.Color = palette[i%len(palette)], palette[i%len(palette)]
				p.Add(line, dots)
				p.Legend.Add(fmt.Sprintf("%.0f%% wide", 100*wide), line)
			}
			name := fmt.Sprintf("%s-s%d-loss%.0f.svg", strings.ReplaceAll(figure, "_", "-"), g.Schedulers, 100*g.Loss)
			if err := p.Save(5*vg.Inch, 3.6*vg.Inch, filepath.Join(dir, name)); err != nil {
				return nil, err
			}
			names = append(names, name)
		}
	}
	return names, nil
}

// barChart draws the shares of large and of small jobs that were served within their latency targets, by variant, and returns the file name.
func (s *Summary) barChart(dir string, c Cell) ([]string, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "responses within the latency target", "%"
	p.Y.Min, p.Y.Max = 0, 100
	p.Legend.Top = true
	for i, figure := range []string{"large_in_time", "small_in_time"} {
		var v plotter.Values
		for _, name := range s.Variants {
			v = append(v, 100*s.mean(name, c, figure))
		}
		b, err := plotter.NewBarChart(v, vg.Points(18))
		if err != nil {
			return nil, err
		}
		b.Color, b.LineStyle.Width, b.Offset = palette[2-i], 0, vg.Points(float64(20*i-10))
		p.Add(b)
		p.Legend.Add(strings.ReplaceAll(figure, "_", " "), b)
	}
	p.NominalX(s.Variants...)
	if err := p.Save(5.5*vg.Inch, 3.6*vg.Inch, filepath.Join(dir, "in-time.svg")); err != nil {
		return nil, err
	}
	return []string{"in-time.svg"}, nil
}

// Diff returns a table of the changes between two summaries. It pairs runs of the same variant, site and seed,
// and prints the mean of their differences with its 95% confidence interval if there are at least 3 pairs.
func Diff(before, after *Summary) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-28s %-46s %-14s %8s %8s  %s\n", "variant", "site", "figure", "before", "after", "change")
	pairs := 0
	for _, c := range before.cells() {
		for _, v := range before.Variants {
			for _, figure := range []string{"large_in_time", "small_in_time", "broken"} {
				var differences []float64
				for i := range before.Runs {
					x := &before.Runs[i]
					for k := range after.Runs {
						y := &after.Runs[k]
						if x.Variant == v && x.Cell == c && y.Variant == v && y.Cell == c && x.Seed == y.Seed {
							differences = append(differences, figures[figure](y)-figures[figure](x))
						}
					}
				}
				if len(differences) == 0 {
					continue
				}
				pairs++
				mean, halfWidth := confidenceInterval(differences)
				verdict := "within the noise"
				switch {
				case len(differences) < 3:
					verdict = fmt.Sprintf("%+.4f (%d pairs: too few for an interval)", mean, len(differences))
				case math.Abs(mean) > halfWidth:
					verdict = fmt.Sprintf("%+.4f ± %.4f", mean, halfWidth)
				}
				fmt.Fprintf(&out, "%-28s %-46s %-14s %8.4f %8.4f  %s\n", v, c, figure, before.mean(v, c, figure), after.mean(v, c, figure), verdict)
			}
		}
	}
	if pairs == 0 {
		return "the summaries have no run in common: variants, sites or seeds differ\n"
	}
	return out.String()
}

// confidenceInterval returns the mean of values and half the width of its 95% interval by Student's t
// distribution.
func confidenceInterval(values []float64) (mean, halfWidth float64) {
	n := float64(len(values))
	for _, x := range values {
		mean += x / n
	}
	if n < 2 {
		return mean, math.Inf(1)
	}
	squares := 0.0
	for _, x := range values {
		squares += (x - mean) * (x - mean)
	}
	quantiles := []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}
	quantile := 2.0
	if int(n)-2 < len(quantiles) {
		quantile = quantiles[int(n)-2]
	}
	return mean, quantile * math.Sqrt(squares/(n-1)/n)
}
