// Command overhead measures the latency and processor time that the entry process
// and the gateway add to a forwarded request. It prints the results as JSON lines,
// and then the ratios to a reverse proxy.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cassiawind/cassiawind/measure/overhead"
)

func main() {
	results, err := overhead.Run(context.Background(), overhead.Config{})
	if err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
	out := json.NewEncoder(os.Stdout)
	for _, r := range results {
		if err := out.Encode(r); err != nil {
			os.Exit(1)
		}
	}
	proxy := results[1]
	for _, r := range []overhead.Result{results[2], results[4]} {
		fmt.Printf("%s against reverse proxy: p50 %.2f, p99 %.2f, CPU %.2f times (target 1.15 for p50 and CPU)\n",
			r.Target, ratio(r.P50, proxy.P50), ratio(r.P99, proxy.P99), r.CPU/proxy.CPU)
	}
}

func ratio(a, b int64) float64 { return float64(a) / float64(b) }
