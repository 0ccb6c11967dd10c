// Command soak runs the soak test with faults for a random or given seed and the
// seeds that follow it.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cassiawind/cassiawind/standin/soak"
)

func main() {
	binary := flag.String("binary", "bin/cassiawind", "the cassiawind program")
	seed := flag.Uint64("seed", 0, "the first seed; 0 draws one")
	count := flag.Int("count", 1, "number of seeds")
	length := flag.Duration("length", 15*time.Second, "time in which faults begin")
	folder := flag.String("folder", "out/soak", "folder for settings and logs")
	other := flag.String("upgrade", "", "another build, which the gateways are replaced by in series")
	restoration := flag.Bool("restoration", false, "restore the store from an older copy, and inject no other fault")
	flag.Parse()
	var plan []soak.Event
	if *restoration {
		plan = soak.RestorationPlan()
	}
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 30)
	}
	failed := 0
	for i := range *count {
		options := soak.Options{Binary: *binary, OtherBinary: *other, Seed: *seed + uint64(i), FaultPeriod: *length, Plan: plan}
		if *other != "" {
			options.Plan = soak.UpgradePlan(options.Seed, *length)
		}
		if !runSeed(*folder, options) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *count-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed, with its own plan unless there is another one, and reports whether
// it passed. If there are violations, it prints them, the plan and the folder of the logs.
func runSeed(folder string, options soak.Options) bool {
	options.Folder = filepath.Join(folder, fmt.Sprint(options.Seed))
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	violations, err := soak.Run(context.Background(), options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	if len(violations) == 0 {
		fmt.Printf("seed %d: ok\n", options.Seed)
		return true
	}
	fmt.Printf("seed %d: broken, logs in %s\n", options.Seed, options.Folder)
	for _, violation := range violations {
		fmt.Println("  " + violation)
	}
	plan := options.Plan
	if plan == nil {
		plan = soak.SeedPlan(options.Seed, options.FaultPeriod)
	}
	for _, e := range plan {
		fmt.Println("  plan:", e)
	}
	return false
}
