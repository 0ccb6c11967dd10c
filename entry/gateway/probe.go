package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

// probeTimeout bounds a probe.
const probeTimeout = time.Second

// probe asks a suspended server whether it is well.
func (n *Node) probe(ctx context.Context, s *steering.Server) {
	config := n.view.Load().Config
	if config == nil || config.Services[s.Service] == nil {
		return
	}
	got, _, err := n.pool.Do(ctx, &upstream.Call{
		ServerID: s.ID, Address: s.Address, Method: http.MethodGet, Target: config.Services[s.Service].HealthPath,
		Host: s.Address, Header: http.Header{}, Idempotent: true, Deadline: time.Now().Add(probeTimeout),
	})
	n.metrics.Count(1, "probes")
	if err != nil || got.Status != http.StatusOK || got.ServerHeaders.InstanceID != s.ID {
		n.verbose("probe failed", "server", s.ID, "service", s.Service)
		return
	}
	n.mu.Lock()
	n.picker.Probed(n.now(), s.ID, got.ServerHeaders.ColdLeft)
	if got.ServerHeaders.HasLoad {
		n.picker.Reported(n.now(), s.ID, got.ServerHeaders.Load.Running, got.ServerHeaders.Load.Waiting)
	}
	n.mu.Unlock()
	n.log.Info("backend server answers again", "server", s.ID, "service", s.Service, "cold", got.ServerHeaders.ColdLeft.String())
}
