// Command capacity measures how the cost of the control plane grows with its sizes.
// It prints the points and slopes behind docs/CAPACITY.md as JSON lines, and then
// the slopes as a table.
package main

import (
	"fmt"
	"os"

	"github.com/cassiawind/cassiawind/measure/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	r := capacity.NewRecorder(os.Stdout)
	if err := capacity.Run(r, capacity.DefaultSizes()); err != nil {
		return err
	}
	return r.Write(os.Stdout)
}
