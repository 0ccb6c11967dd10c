package gateway

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
)

// operatorTableAge returns the time since the operator's rows were last
// confirmed, either by the store or by a hub that the store had answered. The
// caller holds mu.
func (n *Node) operatorTableAge(now time.Duration) time.Duration {
	confirmedAt := time.Duration(n.storeLastSeenAt.Load())
	if hubConfirmedAt, ok := n.peers.UpstreamLastSeenAt(now); ok {
		confirmedAt = max(confirmedAt, hubConfirmedAt)
	}
	return now - max(confirmedAt, 0)
}

// updateGauges sets the gauges of the state that this VM knows and of the age
// of that state. The caller holds mu.
func (n *Node) updateGauges(now time.Duration, view *catalog.View) {
	n.metrics.Gauge(n.operatorTableAge(now).Seconds(), "belief_age_s", "operator")
	n.metrics.Gauge(n.peers.DigestAge(now).Seconds(), "belief_age_s", "digest")
	n.metrics.Gauge(float64(n.peers.RosterSize()), "vms")
	n.metrics.Gauge(float64(n.store.Era()), "store_era")
	missing, outdated := n.catalog.Kept()
	n.metrics.Gauge(float64(missing), "rows_kept", "missing")
	n.metrics.Gauge(float64(outdated), "rows_kept", "outdated")
	n.metrics.Gauge(float64(n.picker.LimitedServers()), "limited_servers")
	n.metrics.Gauge(float64(n.peers.Suspects().Len()), "suspects")
	n.metrics.Gauge(float64(len(n.quarantined)), "quarantined")
	n.metrics.Gauge(gaugeValue(n.peers.IsHub(now)), "hub")
	n.metrics.Gauge(gaugeValue(n.links.Lost()), "links_lost")
	n.metrics.Gauge(gaugeValue(view.Ready && !n.stopping.Load()), "ready")
	if view.Config == nil {
		return
	}
	n.metrics.Gauge(float64(view.Config.Version), "config_version")
	for service := range view.Config.Services {
		n.updateServiceGauges(now, service)
	}
	for account, b := range n.buckets {
		if n.rateOwners[account] == n.settings.VM {
			n.metrics.Gauge(b.Rate(), "rate_granted", account)
			n.metrics.Gauge(b.Tokens(now), "rate_tokens", account)
		}
	}
}

func (n *Node) updateServiceGauges(now time.Duration, service string) {
	capacity := n.picker.Capacity(now, service)
	digest, _ := n.peers.Digest(now)
	for _, region := range n.regions {
		n.metrics.Gauge(capacity[region], "slots", service, region)
		n.metrics.Gauge(capacity[region]-digest.Work[region][service]-digest.Pinned[region][service], "headroom_slots", service, region)
		if flow := n.regionFlows[service]; flow != nil {
			n.metrics.Gauge(flow.Shares()[region], "region_share", service, region)
		}
	}
	suspended, _ := n.picker.SuspendedServers(service)
	n.metrics.Gauge(float64(suspended), "suspended_servers", service)
	if b := n.retryBudgets[service]; b != nil {
		n.metrics.Gauge(math.Max(0, b.Remaining(now, n.peers.RosterSize())), "retries_left", service)
	}
}

func gaugeValue(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
