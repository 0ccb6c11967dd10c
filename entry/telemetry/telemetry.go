// Package telemetry holds the metrics of a process that serves callers:
// counters of responses and rejections, and latency histograms for each client
// account and route.
package telemetry

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	metrics "github.com/rcrowley/go-metrics"
)

// reservoirSize is the number of samples of a histogram. With it, the p99 of a
// uniform sample has a relative rank error of about 1%.
const reservoirSize = 1028

// decayAlpha gives samples of the last five minutes the most weight, as in UNIX
// load averages.
const decayAlpha = 0.015

// separator joins the parts of a metric's name. Declared names may contain
// dots, but not the separator.
const separator = "/"

// Metrics is a set of metrics. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
	started  time.Time
}

// New returns an empty set of metrics.
func New(now time.Time) *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), started: now}
}

// Count adds n to a counter. The parts of its name are joined with separator.
func (m *Metrics) Count(n int64, parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, separator), m.registry).Inc(n)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(v float64, parts ...string) {
	metrics.GetOrRegisterGaugeFloat64(strings.Join(parts, separator), m.registry).Update(v)
}

// Observe adds a latency to a histogram, in microseconds.
func (m *Metrics) Observe(d time.Duration, parts ...string) {
	name := strings.Join(parts, separator)
	h, ok := m.registry.Get(name).(metrics.Histogram)
	if !ok {
		h = metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}
	h.Update(d.Microseconds())
}

// RecordResponse counts a complete response to a client account and records its
// latency.
func (m *Metrics) RecordResponse(account, route string, d time.Duration) {
	m.Count(1, "answered", account)
	m.Observe(d, "latency_us", "account", account)
	m.Observe(d, "latency_us", "class", route)
}

// RecordRejection counts a rejection.
func (m *Metrics) RecordRejection(account, code string) {
	m.Count(1, "rejected", account, code)
	m.Count(1, "rejected_code", code)
}

// Account holds the figures of one client account for the operator.
type Account struct {
	Name     string  `json:"name"`
	Answered int64   `json:"answered"`
	Rejected int64   `json:"rejected"`
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	// Served is answered / (answered + rejected).
	Served float64 `json:"served"`
}

// Accounts returns the figures of every client account seen, starting with the
// one with the lowest share of answered requests.
func (m *Metrics) Accounts() []Account {
	byName := map[string]*Account{}
	accountOf := func(name string) *Account {
		if byName[name] == nil {
			byName[name] = &Account{Name: name}
		}
		return byName[name]
	}
	m.registry.Each(func(name string, metric any) {
		parts := strings.Split(name, separator)
		switch v := metric.(type) {
		case metrics.Counter:
			if parts[0] == "answered" {
				accountOf(parts[1]).Answered += v.Count()
			} else if parts[0] == "rejected" {
				accountOf(parts[1]).Rejected += v.Count()
			}
		case metrics.Histogram:
			if len(parts) == 3 && parts[1] == "account" {
				s := v.Snapshot()
				accountOf(parts[2]).P50MS = s.Percentile(0.5) / 1000
				accountOf(parts[2]).P99MS = s.Percentile(0.99) / 1000
			}
		}
	})
	out := make([]Account, 0, len(byName))
	for _, a := range byName {
		if total := a.Answered + a.Rejected; total > 0 {
			a.Served = float64(a.Answered) / float64(total)
		}
		out = append(out, *a)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Served != out[j].Served {
			return out[i].Served < out[j].Served
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// WriteJSON serves all metrics as one JSON object.
func (m *Metrics) WriteJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(m.registry, w)
}

// Prometheus serves all metrics in the Prometheus text format.
func (m *Metrics) Prometheus() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(&collector{m.registry})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
