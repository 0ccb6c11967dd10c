package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

// probeTimeout bounds the health check of a suspended backend server.
const probeTimeout = time.Second

// probe checks the health of a suspended backend server.
func (n *Node) probe(ctx context.Context, server *steering.Server) {
	config := n.view.Load().Config
	if config == nil || config.Services[server.Service] == nil {
		return
	}
	response, _, err := n.pool.Do(ctx, &upstream.Call{
		ServerID: server.ID, Address: server.Address, Method: http.MethodGet, Target: config.Services[server.Service].HealthPath,
		Host: server.Address, Header: http.Header{}, Idempotent: true, Deadline: time.Now().Add(probeTimeout),
	})
	n.metrics.Count(1, "probes")
	if err == nil {
		defer response.Release()
	}
	if err == nil && (response.ServerHeaders.InstanceID == server.ID || response.ServerHeaders.InstanceID == "") {
		n.mu.Lock()
		n.recordNotice(n.now(), server, response)
		n.mu.Unlock()
	}
	if err != nil || response.Status != http.StatusOK || response.ServerHeaders.InstanceID != server.ID {
		n.logVerbose("probe failed", "server", server.ID, "service", server.Service)
		return
	}
	n.mu.Lock()
	n.picker.ProbeSucceeded(n.now(), server.ID, response.ServerHeaders.ColdLeft)
	if response.ServerHeaders.HasLoad {
		n.picker.LoadReported(n.now(), server.ID, response.ServerHeaders.Load.Running, response.ServerHeaders.Load.Waiting)
	}
	n.mu.Unlock()
	n.log.Info("backend server answers again", "server", server.ID, "service", server.Service, "cold", response.ServerHeaders.ColdLeft.String())
}
