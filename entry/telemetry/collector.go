package telemetry

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	metrics "github.com/rcrowley/go-metrics"
)

// collector exports a go-metrics registry to Prometheus. The first part of a
// metric's name becomes the Prometheus name, and the rest the value of the
// label "key".
type collector struct {
	registry metrics.Registry
}

// Describe sends nothing, because the set of metrics grows at run time.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, metric any) {
		family, key, _ := strings.Cut(name, separator)
		desc := prometheus.NewDesc("cassiawind_"+family, "See docs/OPERATIONS.md.", []string{"key"}, nil)
		switch v := metric.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v.Count()), key)
		case metrics.GaugeFloat64:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v.Value(), key)
		case metrics.Histogram:
			s := v.Snapshot()
			quantiles := map[float64]float64{}
			for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
				quantiles[q] = s.Percentile(q)
			}
			out <- prometheus.MustNewConstSummary(desc, uint64(s.Count()), float64(s.Sum()), quantiles, key)
		}
	})
}
