package gateway

import (
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/directory"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// directoryTTL is how long callers may keep a response of the directory. Some
// keep it three times as long.
const directoryTTL = 3 * time.Second

// serveResolve answers a caller's query for the addresses of the VMs to use.
func (n *Node) serveResolve(w http.ResponseWriter, r *http.Request) {
	query := adapter.ReadResolveQuery(r)
	view := n.view.Load()
	n.mu.Lock()
	alive, _ := n.peers.AcceptsCallers(n.now())
	n.mu.Unlock()
	addresses := directory.Addresses(view.VMs, alive, query.Region)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := adapter.WriteResolveResponse(w, addresses, min(directoryTTL, n.bounds.Load().DirectoryTTL)); err != nil {
		n.metrics.Count(1, "directory", "not_written")
	}
}

// serveReadiness reports to the platform whether this VM accepts callers.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || !n.view.Load().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
