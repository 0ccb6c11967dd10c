package gateway

import (
	"time"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

// recordNotice records what a backend server says of itself in a response: that it leaves,
// or that it wants no requests for a time. The caller holds mu.
func (n *Node) recordNotice(now time.Duration, server *steering.Server, response *upstream.Response) {
	headers := response.ServerHeaders
	if headers.Leaving && n.picker.ServerLeaves(now, server) {
		n.metrics.Count(1, "server_notices", "leaving")
		n.log.Info("backend server leaves", "server", server.ID, "service", server.Service)
		go n.pool.CloseIdle(server.ID)
	}
	if headers.Pause > 0 {
		n.metrics.Count(1, "server_notices", "pause")
		n.picker.ServerPauses(now, server, headers.Pause)
		if ok, omitted := n.logLimiter.Allow(now, "server pause"); ok {
			n.log.Info("backend server wants no requests", "server", server.ID, "service", server.Service, "pauseMS", headers.Pause.Milliseconds(), "omitted", omitted)
		}
	}
}
