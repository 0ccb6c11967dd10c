// Command measure runs all experiments, prints their figures as JSON lines and
// as a table, and writes one plot for each experiment to the folder out. With
// arguments it runs only the experiments whose names begin with one of them.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/bookingsim"
	"github.com/cassiawind/cassiawind/measure/configsim"
	"github.com/cassiawind/cassiawind/measure/fleetsim"
	"github.com/cassiawind/cassiawind/measure/quotasim"
	"github.com/cassiawind/cassiawind/measure/steersim"
	"github.com/cassiawind/cassiawind/measure/trafficsim"
)

const outDir = "out"

// experiments returns the experiments of all packages.
func experiments() []measure.Experiment {
	return slices.Concat(
		quotasim.Experiments(),
		trafficsim.Experiments(),
		fleetsim.Experiments(),
		bookingsim.Experiments(),
		configsim.Experiments(),
		steersim.Experiments(),
	)
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(prefixes []string) error {
	chosen := slices.DeleteFunc(experiments(), func(e measure.Experiment) bool {
		return len(prefixes) > 0 && !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(e.Name, p) })
	})
	figures := measure.RunAll(chosen)
	if err := measure.WriteJSON(os.Stdout, figures); err != nil {
		return err
	}
	if err := measure.WriteTable(os.Stdout, figures); err != nil {
		return err
	}
	return measure.WritePlots(outDir, figures)
}
