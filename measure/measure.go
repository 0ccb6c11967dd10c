// Package measure runs experiments on the core packages in virtual time and
// reports their figures. Each package of experiments below it has a function
// Experiments, which cmd/measure calls.
package measure

// Compare is the comparison that a figure has to satisfy with its target.
type Compare string

// Comparisons of a figure with its target.
const (
	AtMost  Compare = "<="
	Below   Compare = "<"
	AtLeast Compare = ">="
)

// Figure is one measured value.
type Figure struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Figure     string  `json:"figure"`
	Unit       string  `json:"unit"`
	Value      float64 `json:"value"`
	// Target is the bound that docs/design.md sets; nil if it sets none.
	Target *float64 `json:"target,omitempty"`
	// Compare is AtLeast in a figure without a target if a higher value is better.
	Compare Compare `json:"compare,omitempty"`
	// Met is nil if there is no target.
	Met *bool `json:"met,omitempty"`
	// Baseline is the value of the baseline in the same run.
	Baseline *float64 `json:"baseline,omitempty"`
	// BaselineName distinguishes the baselines of a figure that has several.
	BaselineName string `json:"baseline_name,omitempty"`
}

// Experiment is a run that depends on a seed only: the same seed gives the same
// figures.
type Experiment struct {
	Name  string
	Seeds []uint64
	Run   func(seed uint64) []Figure
}

// Value returns a figure without a target.
func Value(figure, unit string, value float64) Figure {
	return Figure{Figure: figure, Unit: unit, Value: value}
}

// WithTarget returns the figure with a target.
func (f Figure) WithTarget(c Compare, target float64) Figure {
	met := f.Value <= target
	switch c {
	case Below:
		met = f.Value < target
	case AtLeast:
		met = f.Value >= target
	}
	f.Compare, f.Target, f.Met = c, &target, &met
	return f
}

// HigherIsBetter returns a figure without a target for which the lowest value is
// the worst one.
func (f Figure) HigherIsBetter() Figure {
	f.Compare = AtLeast
	return f
}

// WithBaseline returns the figure with the baseline's value.
func (f Figure) WithBaseline(value float64) Figure {
	f.Baseline = &value
	return f
}

// maxParallel bounds the number of concurrent runs, because the machine is shared.
const maxParallel = 4

// RunAll runs every experiment with each of its seeds and returns the figures
// in the order of the experiments and seeds.
func RunAll(experiments []Experiment) []Figure {
	type job struct{ figures []Figure }
	var jobs []*job
	slots := make(chan struct{}, maxParallel)
	done := make(chan struct{})
	for _, e := range experiments {
		for _, seed := range e.Seeds {
			j := &job{}
			jobs = append(jobs, j)
			go func() {
				slots <- struct{}{}
				j.figures = e.Run(seed)
				for i := range j.figures {
					j.figures[i].Experiment, j.figures[i].Seed = e.Name, seed
				}
				<-slots
				done <- struct{}{}
			}()
		}
	}
	for range jobs {
		<-done
	}
	var out []Figure
	for _, j := range jobs {
		out = append(out, j.figures...)
	}
	return out
}
