package trafficsim

import (
	"fmt"
	"strconv"
)

// Target is a bound from docs/design.md.
type Target struct {
	// Min and Max are the bounds. Nil means that there is no bound.
	Min, Max *float64
}

func atLeast(v float64) Target { return Target{Min: &v} }
func atMost(v float64) Target  { return Target{Max: &v} }

// Met reports whether the value is within the target.
func (t Target) Met(v float64) bool {
	return (t.Min == nil || v >= *t.Min) && (t.Max == nil || v <= *t.Max)
}

// None reports whether the design page gives no target.
func (t Target) None() bool { return t.Min == nil && t.Max == nil }

const (
	noTarget     = "-"
	minTarget    = ">= "
	maxTarget    = "<= "
	figureFormat = "%s seed=%d %s=%.4g %s target %s met=%s baseline %s=%s"
)

// String returns the target in the form that tables show.
func (t Target) String() string {
	switch {
	case t.Min != nil:
		return minTarget + strconv.FormatFloat(*t.Min, 'g', -1, 64)
	case t.Max != nil:
		return maxTarget + strconv.FormatFloat(*t.Max, 'g', -1, 64)
	}
	return noTarget
}

// Figure is one measured value.
type Figure struct {
	Experiment string
	Seed       uint64
	Name       string
	Unit       string
	Value      float64
	Target     Target
	// Baseline is the value of the alternative that BaselineName names. If the
	// name is empty, there is no baseline.
	BaselineName string
	Baseline     float64
}

// Met reports whether the figure is within its target.
func (f Figure) Met() bool { return f.Target.Met(f.Value) }

// String returns the figure as one line.
func (f Figure) String() string {
	met, baseline := noTarget, noTarget
	if !f.Target.None() {
		met = strconv.FormatBool(f.Met())
	}
	if f.BaselineName != "" {
		baseline = strconv.FormatFloat(f.Baseline, 'g', 4, 64)
	}
	return fmt.Sprintf(figureFormat, f.Experiment, f.Seed, f.Name, f.Value, f.Unit, f.Target, met, f.BaselineName, baseline)
}
