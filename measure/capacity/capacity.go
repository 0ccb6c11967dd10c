// Package capacity measures how the cost of the control plane grows with the number
// of VMs, limits, files, client blocks and backend servers. It runs the core
// packages in virtual time with in-process stand-ins, and the transports over
// loopback. docs/CAPACITY.md extrapolates from its slopes.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Series identifies a figure that is measured as a function of one size.
type Series struct {
	Role   string `json:"role"`
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// Parameter is the size that varies.
	Parameter string `json:"by"`
	// Conditions describes the sizes and conditions that do not vary.
	Conditions string `json:"at,omitempty"`
}

// Point is one measured value of a Series.
type Point struct {
	Series
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is the least-squares line through the points of a Series.
type Slope struct {
	Series
	Points  int     `json:"points"`
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per_unit"`
	// WorstResidual is the largest vertical distance of a point from the line,
	// relative to the largest value. A value above 0.1 means that the figure does
	// not grow linearly.
	WorstResidual float64 `json:"worst_residual"`
}

// Extrapolate returns the value of the line at a size.
func (s Slope) Extrapolate(size float64) float64 { return s.Base + s.PerUnit*size }

// Recorder collects points and writes each one when it is added.
type Recorder struct {
	encoder *json.Encoder
	points  []Point
	err     error
}

// NewRecorder returns a Recorder that writes JSON lines to w.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{encoder: json.NewEncoder(w)} }

// Add records a value. The conditions replace those of the series unless they are
// empty.
func (r *Recorder) Add(s Series, conditions string, size, value float64) {
	if conditions != "" {
		s.Conditions = conditions
	}
	p := Point{Series: s, Size: size, Value: value}
	r.points = append(r.points, p)
	if err := r.encoder.Encode(p); err != nil && r.err == nil {
		r.err = errors.WithStack(err)
	}
}

// Points returns all recorded points.
func (r *Recorder) Points() []Point { return r.points }

// Slopes returns the slopes of all series that have at least two different sizes,
// in the order of their first points.
func Slopes(points []Point) []Slope {
	index := map[Series]int{}
	var order []Series
	var values [][]Point
	for _, p := range points {
		i, found := index[p.Series]
		if !found {
			i = len(order)
			index[p.Series] = i
			order, values = append(order, p.Series), append(values, nil)
		}
		values[i] = append(values[i], p)
	}
	var out []Slope
	for i, s := range order {
		if slope, ok := fitLine(s, values[i]); ok {
			out = append(out, slope)
		}
	}
	return out
}

// fitLine returns the least-squares line through points; false if all have the same
// size.
func fitLine(s Series, points []Point) (Slope, bool) {
	var x, y float64
	n := float64(len(points))
	for _, p := range points {
		x, y = x+p.Size/n, y+p.Value/n
	}
	var xx, xy, largest float64
	for _, p := range points {
		xx += (p.Size - x) * (p.Size - x)
		xy += (p.Size - x) * (p.Value - y)
		largest = max(largest, math.Abs(p.Value))
	}
	if xx == 0 {
		return Slope{}, false
	}
	out := Slope{Series: s, Points: len(points), PerUnit: xy / xx}
	out.Base = y - out.PerUnit*x
	for _, p := range points {
		if largest > 0 {
			out.WorstResidual = max(out.WorstResidual, math.Abs(p.Value-out.Extrapolate(p.Size))/largest)
		}
	}
	return out, true
}

const (
	tableHeader      = "role\tfigure\tunit\tby\tconditions\tbase\tper unit\tresidual\tmeasured"
	tableRowFormat   = "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2f\t%s\n"
	tableValueFormat = "%g: %.4g  "
	tablePadding     = 2
	tablePadChar     = ' '
)

// Write writes the slopes as JSON lines and then as a table.
func (r *Recorder) Write(w io.Writer) error {
	slopes := Slopes(r.points)
	for _, s := range slopes {
		if err := r.encoder.Encode(s); err != nil {
			return errors.WithStack(err)
		}
	}
	if r.err != nil {
		return r.err
	}
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, tablePadChar, 0)
	fmt.Fprintln(t, tableHeader)
	for _, s := range slopes {
		var measured string
		for _, p := range r.points {
			if p.Series == s.Series {
				measured += fmt.Sprintf(tableValueFormat, p.Size, p.Value)
			}
		}
		fmt.Fprintf(t, tableRowFormat, s.Role, s.Figure, s.Unit, s.Parameter, s.Conditions, s.Base, s.PerUnit, s.WorstResidual, measured)
	}
	return errors.WithStack(t.Flush())
}
