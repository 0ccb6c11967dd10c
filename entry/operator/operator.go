// Package operator serves the operator address of an entry process: status,
// metrics, probes and explanations.
package operator

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/cassiawind/cassiawind/entry/telemetry"
)

// Status is the body of GET /status.
type Status struct {
	VM            string    `json:"vm"`
	Build         string    `json:"build"`
	Incarnation   uint64    `json:"incarnation"`
	Epoch         uint64    `json:"epoch"`
	ConfigVersion uint64    `json:"config_version"`
	Ready         bool      `json:"ready"`
	LeaseValid    bool      `json:"lease_valid"`
	Phase         string    `json:"phase"`
	InFlight      int64     `json:"in_flight"`
	Fleet         []Member  `json:"fleet"`
	Limits        []Limit   `json:"limits"`
	Regions       []Region  `json:"regions"`
	Services      []Service `json:"services"`
	// Accounts are the client accounts seen by this VM, ordered from the lowest
	// share of answered requests.
	Accounts []telemetry.Account `json:"accounts"`
	Drains   []Drain             `json:"drains"`
}

// Member is the state of an entry VM as seen by this VM.
type Member struct {
	VM            string `json:"vm"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Alive         bool   `json:"alive"`
	Leaving       bool   `json:"leaving"`
	ConfigVersion uint64 `json:"config_version"`
}

// Limit is the state of a divisible limit at this VM.
type Limit struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Tokens        float64 `json:"tokens"`
	// Fraction is the fraction of the limit that this VM holds, from 0 to 1.
	Fraction        float64 `json:"part"`
	DemandPerSecond float64 `json:"demand_per_second"`
	// Holders are the fractions that the members last reported, by VM.
	Holders map[string]float64 `json:"holders"`
}

// Region is the state of a region's cap.
type Region struct {
	Name string `json:"name"`
	// Headroom is 1 - demand / cap over all VMs, as far as this VM knows.
	Headroom float64 `json:"headroom"`
	Drained  bool    `json:"drained"`
}

// Service is the state of a service's backend servers.
type Service struct {
	Name     string `json:"name"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Servers  int    `json:"servers"`
	Leaving  int    `json:"leaving"`
	Ejected  int    `json:"ejected"`
}

// Drain is the progress of a declared drain at this VM.
type Drain struct {
	Name string `json:"name"`
	// InFlight is the number of this VM's requests in flight at the drained
	// backend servers. The drain is complete at this VM when it is 0.
	InFlight int `json:"in_flight"`
}

// ExplainQuery describes the request to explain.
type ExplainQuery struct {
	Client    string
	KeySHA256 string
	Method    string
	Path      string
}

// Explanation describes how a request would be handled.
type Explanation struct {
	ClientRegion  string   `json:"client_region"`
	Account       string   `json:"account,omitempty"`
	Route         string   `json:"route,omitempty"`
	Service       string   `json:"service,omitempty"`
	Idempotent    bool     `json:"idempotent"`
	DeadlineMS    int64    `json:"deadline_ms"`
	Limit         *Limit   `json:"limit,omitempty"`
	Regions       []string `json:"regions,omitempty"`
	BackendServer string   `json:"backend_server,omitempty"`
	Rejection     string   `json:"rejection,omitempty"`
	Reasons       []string `json:"reasons"`
}

// StatusSource provides the data that the operator address serves.
type StatusSource interface {
	Status() Status
	Explain(ExplainQuery) Explanation
}

// Handler returns the HTTP handler of the operator address.
func Handler(source StatusSource, metrics *telemetry.Metrics) (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed))
	app.Logger().SetLevel("disable")
	app.Get("/status", func(ctx iris.Context) { writeJSON(ctx, source.Status()) })
	app.Get("/explain", func(ctx iris.Context) {
		writeJSON(ctx, source.Explain(ExplainQuery{
			Client: ctx.URLParam("client"), KeySHA256: ctx.URLParam("key_sha256"),
			Method: ctx.URLParam("method"), Path: ctx.URLParam("path"),
		}))
	})
	app.Get("/live", func(ctx iris.Context) { writeJSON(ctx, map[string]bool{"live": true}) })
	app.Get("/ready", func(ctx iris.Context) {
		ready := source.Status().Ready
		if !ready {
			ctx.StatusCode(http.StatusServiceUnavailable)
		}
		writeJSON(ctx, map[string]bool{"ready": ready})
	})
	app.Get("/metrics.json", iris.FromStd(metrics.WriteJSON))
	app.Get("/metrics", iris.FromStd(metrics.Prometheus()))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func writeJSON(ctx iris.Context, v any) {
	// An error means that the operator has disconnected.
	_ = ctx.JSON(v)
}
