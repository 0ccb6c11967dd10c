// Command soak runs the fault soak with fresh or given seeds.
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
	flag.Parse()
	if *seed == 0 {
		*seed = rand.Uint64N(1 << 30)
	}
	failed := 0
	for i := range *count {
		if !one(*binary, *folder, *seed+uint64(i), *length) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *count-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// one runs a seed; a run that breaks a promise prints its plan and its logs'
// folder.
func one(binary, folder string, seed uint64, length time.Duration) bool {
	logs := filepath.Join(folder, fmt.Sprint(seed))
	if err := os.MkdirAll(logs, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	found, err := soak.Run(context.Background(), soak.Options{Binary: binary, Folder: logs, Seed: seed, FaultPeriod: length})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	if len(found) == 0 {
		fmt.Printf("seed %d: ok\n", seed)
		return true
	}
	fmt.Printf("seed %d: broken, logs in %s\n", seed, logs)
	for _, f := range found {
		fmt.Println("  " + f)
	}
	for _, e := range soak.Describe(seed, length) {
		fmt.Println("  plan:", e)
	}
	return false
}
