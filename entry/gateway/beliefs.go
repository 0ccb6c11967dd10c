package gateway

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
)

// operatorAge is how long ago the operator's rows were confirmed: by the store,
// or by a hub that was answered by it.
func (n *Node) operatorAge(now time.Duration) time.Duration {
	heard := time.Duration(n.storeHeard.Load())
	if at, ok := n.peers.SourceHeard(now); ok {
		heard = max(heard, at)
	}
	return now - max(heard, 0)
}

// gaugeBeliefs sets the gauges of what this VM believes and how old it is; the
// caller holds mu.
func (n *Node) gaugeBeliefs(now time.Duration, view *catalog.View) {
	n.metrics.Gauge(n.operatorAge(now).Seconds(), "belief_age_s", "operator")
	n.metrics.Gauge(n.peers.DigestAge(now).Seconds(), "belief_age_s", "digest")
	n.metrics.Gauge(float64(n.peers.Size()), "vms")
	n.metrics.Gauge(boolGauge(n.peers.IsHub(now)), "hub")
	n.metrics.Gauge(boolGauge(view.Ready && !n.stopping.Load()), "ready")
	if view.Config == nil {
		return
	}
	n.metrics.Gauge(float64(view.Config.Version), "config_version")
	for service := range view.Config.Services {
		n.gaugeService(now, service)
	}
	for account, b := range n.buckets {
		if n.counters[account] == n.settings.VM {
			n.metrics.Gauge(b.Rate(), "rate_granted", account)
			n.metrics.Gauge(b.Tokens(now), "rate_tokens", account)
		}
	}
}

func (n *Node) gaugeService(now time.Duration, service string) {
	capacity := n.picker.Capacity(now, service)
	digest, _ := n.peers.Digest(now)
	for _, region := range n.regions {
		n.metrics.Gauge(capacity[region], "slots", service, region)
		n.metrics.Gauge(capacity[region]-digest.Work[region][service]-digest.Pinned[region][service], "headroom_slots", service, region)
		if flow := n.flows[service]; flow != nil {
			n.metrics.Gauge(flow.Shares()[region], "region_share", service, region)
		}
	}
	if b := n.budgets[service]; b != nil {
		n.metrics.Gauge(math.Max(0, b.Left(now, n.peers.Size())), "retries_left", service)
	}
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
