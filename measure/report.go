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
	plotWidth    = 24 * vg.Centimeter
	plotHeight   = 14 * vg.Centimeter
	barWidth     = vg.Length(10)
	plotSuffix   = ".svg"
	plotTitle    = "%s: value / target"
	noTargetName = "%s: values"
	ownName      = "measured"
	baselineName = "baseline"
	tableHeader  = "experiment\tfigure\tseeds\tworst\tunit\ttarget\tmet\tbaseline"
	targetFormat = "%s %g"
	baselineCell = "%.5g %s"
	rowFormat    = "%s\t%s\t%d\t%.5g\t%s\t%s\t%s\t%s\n"
	absent       = "-"
	missed       = "MISSED"
	kept         = "met"
)

// ErrPlot is the cause of a failure to write a plot.
var ErrPlot = errors.New("write plot")

// WriteJSON writes one figure a line.
func WriteJSON(w io.Writer, figures []Figure) error {
	enc := json.NewEncoder(w)
	for _, f := range figures {
		if err := enc.Encode(f); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// group is one figure of an experiment over all seeds.
type group struct {
	figures []Figure
	worst   Figure
}

func groups(figures []Figure) []group {
	type key struct{ experiment, figure, baseline string }
	at := map[key]int{}
	var out []group
	for _, f := range figures {
		k := key{f.Experiment, f.Figure, f.BaselineName}
		i, ok := at[k]
		if !ok {
			at[k] = len(out)
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

// WriteTable writes one line for each figure with the worst of its seeds.
func WriteTable(w io.Writer, figures []Figure) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, tableHeader)
	for _, g := range groups(figures) {
		f := g.worst
		target, met, baseline := absent, absent, absent
		if f.Target != nil {
			target, met = fmt.Sprintf(targetFormat, f.Compare, *f.Target), missed
			if *f.Met {
				met = kept
			}
		}
		if f.Baseline != nil {
			baseline = strings.TrimSpace(fmt.Sprintf(baselineCell, *f.Baseline, f.BaselineName))
		}
		fmt.Fprintf(t, rowFormat, f.Experiment, f.Figure, len(g.figures), f.Value, f.Unit, target, met, baseline)
	}
	return errors.WithStack(t.Flush())
}

// WritePlots writes one bar chart for each experiment into the folder. A figure
// with a target other than 0 is shown relative to it.
func WritePlots(dir string, figures []Figure) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	byExperiment := map[string][]group{}
	for _, g := range groups(figures) {
		byExperiment[g.worst.Experiment] = append(byExperiment[g.worst.Experiment], g)
	}
	for name, gs := range byExperiment {
		if err := writePlot(filepath.Join(dir, name+plotSuffix), name, gs); err != nil {
			return errors.Wrap(ErrPlot, err.Error())
		}
	}
	return nil
}

func writePlot(path, name string, gs []group) error {
	var own, base plotter.Values
	var labels []string
	for _, g := range gs {
		f := g.worst
		if f.Target == nil || *f.Target == 0 {
			continue
		}
		labels = append(labels, f.Figure)
		own = append(own, f.Value / *f.Target)
		b := 0.0
		if f.Baseline != nil {
			b = *f.Baseline / *f.Target
		}
		base = append(base, b)
	}
	title := plotTitle
	if len(own) == 0 {
		title = noTargetName
		for _, g := range gs {
			labels, own, base = append(labels, g.worst.Figure), append(own, g.worst.Value), append(base, 0)
		}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf(title, name)
	for i, values := range []plotter.Values{own, base} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.WithStack(err)
		}
		bars.Color, bars.Offset = plotutil.Color(i), barWidth*vg.Length(2*i-1)/2
		p.Add(bars)
		p.Legend.Add([]string{ownName, baselineName}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(labels...)
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}
