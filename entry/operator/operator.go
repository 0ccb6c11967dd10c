// Package operator serves the operators' address of an entry process: status,
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
	// Accounts are the client accounts seen by this VM, worst served first.
	Accounts []telemetry.Account `json:"accounts"`
	Drains   []Drain             `json:"drains"`
}

// Member is an entry VM as this VM sees it.
type Member struct {
	VM            string `json:"vm"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Alive         bool   `json:"alive"`
	Leaving       bool   `json:"leaving"`
	ConfigVersion uint64 `json:"config_version"`
}

// Limit is a divisible limit as this VM holds it.
type Limit struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Tokens        float64 `json:"tokens"`
	// Part is the part of the limit that this VM holds, 0 to 1.
	Fraction        float64 `json:"part"`
	DemandPerSecond float64 `json:"demand_per_second"`
	// Holders are the parts that members last told, by VM.
	Holders map[string]float64 `json:"holders"`
}

// Region tells the headroom of a region's cap.
type Region struct {
	Name string `json:"name"`
	// Headroom is 1 - demand / cap over all VMs, as known here.
	Headroom float64 `json:"headroom"`
	Drained  bool    `json:"drained"`
}

// Service tells the state of a service's backend servers.
type Service struct {
	Name     string `json:"name"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Servers  int    `json:"servers"`
	Leaving  int    `json:"leaving"`
	Ejected  int    `json:"ejected"`
}

// Drain tells the progress of a declared drain at this VM.
type Drain struct {
	Name string `json:"name"`
	// InFlight is the number of this VM's requests at the drained backend
	// servers; 0 means that the drain is complete here.
	InFlight int `json:"in_flight"`
}

// Question is the input of an explanation.
type ExplainQuery struct {
	Client    string
	KeySHA256 string
	Method    string
	Path      string
}

// Explanation tells how a request would be decided.
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

// Source gives the figures that the operator address shows.
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
	// The operator's connection may be gone; there is nobody to tell then.
	_ = ctx.JSON(v)
}
