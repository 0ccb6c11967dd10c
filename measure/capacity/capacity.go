// Package capacity measures how the cost of control grows with the number of
// VMs, limits, files, client blocks and backend servers. It runs the core
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

// Series is one figure as a function of one size.
type Series struct {
	Role   string `json:"role"`
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// By is the size that varies.
	Parameter string `json:"by"`
	// At tells the sizes and conditions that do not vary.
	Conditions string `json:"at,omitempty"`
}

// Point is one measured value.
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
	// WorstResidual is the largest distance of a point from the line, as a part
	// of the largest value. A value above 0.1 says that the figure does not grow
	// in a straight line.
	WorstResidual float64 `json:"worst_residual"`
}

// Extrapolate returns the value of the line at a size.
func (s Slope) Extrapolate(size float64) float64 { return s.Base + s.PerUnit*size }

// Recorder collects points. Each point is written when it is added.
type Recorder struct {
	out    *json.Encoder
	points []Point
	err    error
}

// NewRecorder returns a Recorder that writes JSON lines.
func NewRecorder(w io.Writer) *Recorder { return &Recorder{out: json.NewEncoder(w)} }

// Add records a value. The condition replaces Series.At if it is not empty.
func (r *Recorder) Add(s Series, at string, size, value float64) {
	if at != "" {
		s.Conditions = at
	}
	p := Point{Series: s, Size: size, Value: value}
	r.points = append(r.points, p)
	if err := r.out.Encode(p); err != nil && r.err == nil {
		r.err = errors.WithStack(err)
	}
}

// Points returns what was recorded.
func (r *Recorder) Points() []Point { return r.points }

// Slopes returns the lines of all series with at least two different sizes, in
// the order of their first points.
func Slopes(points []Point) []Slope {
	at := map[Series]int{}
	var order []Series
	var values [][]Point
	for _, p := range points {
		i, found := at[p.Series]
		if !found {
			i = len(order)
			at[p.Series] = i
			order, values = append(order, p.Series), append(values, nil)
		}
		values[i] = append(values[i], p)
	}
	var out []Slope
	for i, s := range order {
		if slope, ok := fit(s, values[i]); ok {
			out = append(out, slope)
		}
	}
	return out
}

func fit(s Series, points []Point) (Slope, bool) {
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
	tableHeader = "role\tfigure\tunit\tby\tconditions\tbase\tper unit\tresidual\tmeasured"
	tableRow    = "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2f\t%s\n"
	tableValue  = "%g: %.4g  "
	tableGap    = 2
	tablePad    = ' '
)

// Write writes the slopes as JSON lines and then as a table.
func (r *Recorder) Write(w io.Writer) error {
	slopes := Slopes(r.points)
	for _, s := range slopes {
		if err := r.out.Encode(s); err != nil {
			return errors.WithStack(err)
		}
	}
	if r.err != nil {
		return r.err
	}
	t := tabwriter.NewWriter(w, 0, 0, tableGap, tablePad, 0)
	fmt.Fprintln(t, tableHeader)
	for _, s := range slopes {
		var measured string
		for _, p := range r.points {
			if p.Series == s.Series {
				measured += fmt.Sprintf(tableValue, p.Size, p.Value)
			}
		}
		fmt.Fprintf(t, tableRow, s.Role, s.Figure, s.Unit, s.Parameter, s.Conditions, s.Base, s.PerUnit, s.WorstResidual, measured)
	}
	return errors.WithStack(t.Flush())
}
