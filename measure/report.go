package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth         = 24 * vg.Centimeter
	plotHeight        = 14 * vg.Centimeter
	barWidth          = vg.Length(10)
	plotSuffix        = ".svg"
	plotTitle         = "%s: value / target"
	plotTitleNoTarget = "%s: values"
	measuredLegend    = "measured"
	baselineLegend    = "baseline"
	tableHeader       = "experiment\tfigure\tseeds\tworst\tunit\ttarget\tmet\tbaseline"
	targetFormat      = "%s %g"
	baselineFormat    = "%.5g %s"
	rowFormat         = "%s\t%s\t%d\t%.5g\t%s\t%s\t%s\t%s\n"
	noValue           = "-"
	missedLabel       = "MISSED"
	metLabel          = "met"
)

// ErrPlot means that a plot could not be written.
var ErrPlot = errors.New("write plot")

// WriteJSON writes the figures as JSON, one a line.
func WriteJSON(w io.Writer, figures []Figure) error {
	enc := json.NewEncoder(w)
	for _, f := range figures {
		if err := enc.Encode(f); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// group holds the values of one figure for all seeds, and the worst of them.
type group struct {
	figures []Figure
	worst   Figure
}

func groupFigures(figures []Figure) []group {
	type key struct{ experiment, figure, baseline string }
	index := map[key]int{}
	var out []group
	for _, f := range figures {
		k := key{f.Experiment, f.Figure, f.BaselineName}
		i, ok := index[k]
		if !ok {
			index[k] = len(out)
			out = append(out, group{figures: []Figure{f}, worst: f})
			continue
		}
		g := &out[i]
		g.figures = append(g.figures, f)
		if f.Compare == AtLeast && f.Value < g.worst.Value || f.Compare != AtLeast && f.Value > g.worst.Value {
			g.worst = f
		}
	}
	return out
}

// WriteTable writes a table with one line for each figure, with the worst value
// over all seeds.
func WriteTable(w io.Writer, figures []Figure) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, tableHeader)
	for _, g := range groupFigures(figures) {
		f := g.worst
		target, met, baseline := noValue, noValue, noValue
		if f.Target != nil {
			target, met = fmt.Sprintf(targetFormat, f.Compare, *f.Target), missedLabel
			if *f.Met {
				met = metLabel
			}
		}
		if f.Baseline != nil {
			baseline = strings.TrimSpace(fmt.Sprintf(baselineFormat, *f.Baseline, f.BaselineName))
		}
		fmt.Fprintf(t, rowFormat, f.Experiment, f.Figure, len(g.figures), f.Value, f.Unit, target, met, baseline)
	}
	return errors.WithStack(t.Flush())
}

// WritePlots writes one bar chart for each experiment into a folder. It shows the
// figures that have a target other than 0, relative to it; if there are none, it
// shows the plain values of all figures.
func WritePlots(dir string, figures []Figure) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	byExperiment := map[string][]group{}
	for _, g := range groupFigures(figures) {
		byExperiment[g.worst.Experiment] = append(byExperiment[g.worst.Experiment], g)
	}
	for name, group := range byExperiment {
		if err := writePlot(filepath.Join(dir, name+plotSuffix), name, group); err != nil {
			return errors.Wrap(ErrPlot, err.Error())
		}
	}
	return nil
}

func writePlot(path, name string, groups []group) error {
	var measured, baselines plotter.Values
	var labels []string
	for _, g := range groups {
		f := g.worst
		if f.Target == nil || *f.Target == 0 {
			continue
		}
		labels = append(labels, f.Figure)
		measured = append(measured, f.Value / *f.Target)
		baseline := 0.0
		if f.Baseline != nil {
			baseline = *f.Baseline / *f.Target
		}
		baselines = append(baselines, baseline)
	}
	title := plotTitle
	if len(measured) == 0 {
		title = plotTitleNoTarget
		for _, g := range groups {
			labels, measured, baselines = append(labels, g.worst.Figure), append(measured, g.worst.Value), append(baselines, 0)
		}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf(title, name)
	for i, values := range []plotter.Values{measured, baselines} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.WithStack(err)
		}
		bars.Color, bars.Offset = plotutil.Color(i), barWidth*vg.Length(2*i-1)/2
		p.Add(bars)
		p.Legend.Add([]string{measuredLegend, baselineLegend}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(labels...)
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}
