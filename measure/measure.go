// Package measure runs experiments on the core packages in virtual time and
// reports their figures. A package below it returns a list of Experiments;
// cmd/measure names it in one line.
package measure

// Compare tells on which side of its target a figure has to be.
type Compare string

// The sides of a target.
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
	// Target is the bound from the design page; nil if it sets none.
	Target *float64 `json:"target,omitempty"`
	// Compare is set without a target if a higher value is better.
	Compare Compare `json:"compare,omitempty"`
	// Met is nil if there is no target.
	Met *bool `json:"met,omitempty"`
	// Baseline is the value of the baseline in the same run.
	Baseline *float64 `json:"baseline,omitempty"`
	// BaselineName tells apart the baselines of a figure that has several.
	BaselineName string `json:"baseline_name,omitempty"`
}

// Experiment is a function of a seed. The same seed gives the same figures.
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

// HigherIsBetter returns a figure without a target whose worst value is the
// lowest one.
func (f Figure) HigherIsBetter() Figure {
	f.Compare = AtLeast
	return f
}

// WithBaseline returns the figure with the baseline's value.
func (f Figure) WithBaseline(value float64) Figure {
	f.Baseline = &value
	return f
}

// maxParallel bounds the runs at the same time; the machine is shared.
const maxParallel = 4

// RunAll runs every experiment with each of its seeds and returns the figures
// in the order of the experiments and seeds.
func RunAll(experiments []Experiment) []Figure {
	type job struct{ figures []Figure }
	var jobs []*job
	free := make(chan struct{}, maxParallel)
	done := make(chan struct{})
	for _, e := range experiments {
		for _, seed := range e.Seeds {
			j := &job{}
			jobs = append(jobs, j)
			go func() {
				free <- struct{}{}
				j.figures = e.Run(seed)
				for i := range j.figures {
					j.figures[i].Experiment, j.figures[i].Seed = e.Name, seed
				}
				<-free
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
