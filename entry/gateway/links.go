package gateway

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

const (
	// linkCheckTimeout bounds opening a connection in a check of the links, in addition to
	// a round trip.
	linkCheckTimeout = 300 * time.Millisecond
	// abortNoticeTime is how long a connection has to stay open after a round trip.
	// Something between the two ends may accept connections that it cannot forward, and
	// abort them.
	abortNoticeTime = 20 * time.Millisecond
)

// observeLinks passes the outcome of an attempt to the monitor of the links to the backend
// servers. The caller holds mu.
func (n *Node) observeLinks(now time.Duration, server string, response *upstream.Response, trace upstream.Trace, err error) {
	if response != nil {
		n.links.Answered(now)
	}
	if trace.ConnectTime > 0 {
		n.links.Connected()
	}
	if err != nil && attemptErrorResult(err) == placement.Unreachable {
		n.links.ConnectFailed(server)
		n.checkLinks(now)
	}
}

// checkLinks checks the links to the backend servers if that is due. The caller holds mu.
func (n *Node) checkLinks(now time.Duration) {
	if n.links.Silenced(now, n.picker.Servers()) {
		n.log.Info("open connections to backend servers do not answer")
		n.linksCancel()
		go n.pool.CloseAllIdle()
	}
	if !n.links.BeginCheck(now, n.picker.Servers()) {
		return
	}
	n.linkChecks++
	targets := n.picker.CheckTargets(n.settings.FailureDomain, n.linkChecks)
	var longestRTT time.Duration
	for _, s := range targets {
		longestRTT = max(longestRTT, n.picker.RTT(s.Region))
	}
	n.metrics.Count(1, "link_checks")
	go func() {
		connected := n.connectToAll(targets, linkCheckTimeout+longestRTT, abortNoticeTime+longestRTT)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.linkCheckFinished(n.now(), len(targets), connected)
	}()
}

// connectToAll opens a connection to each server and returns the number of those that were
// opened within the timeout and were not aborted for stayOpen.
func (n *Node) connectToAll(servers []*steering.Server, timeout, stayOpen time.Duration) (connected int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results := make(chan bool, len(servers))
	for _, s := range servers {
		go func() {
			c, err := n.backendDialer.DialContext(ctx, "tcp", s.Address)
			if err != nil {
				results <- false
				return
			}
			defer c.Close()
			results <- staysOpen(c, stayOpen)
		}()
	}
	for range servers {
		if <-results {
			connected++
		}
	}
	return connected
}

// staysOpen reports whether a new connection is not aborted within a time.
func staysOpen(c net.Conn, d time.Duration) bool {
	if c.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// linkCheckFinished handles the result of a check of the links. The caller holds mu.
func (n *Node) linkCheckFinished(now time.Duration, tried, connected int) {
	if !n.links.CheckFinished(now, tried, connected, n.picker.Servers()) {
		return
	}
	if !n.links.Lost() {
		n.log.Info("links to backend servers restored", "afterMS", (now - n.linksLostAt).Milliseconds())
		n.picker.LinksRestored(now, n.linksLostAt)
		n.newLinksContext()
		return
	}
	n.linksLostAt = now
	n.log.Info("links to backend servers lost", "tried", tried, "openConnectionsWork", n.links.OpenConnsWork())
	if n.links.OpenConnsWork() {
		// The servers to which connections were refused are used over open ones.
		n.picker.LinksRestored(now, now)
		return
	}
	n.linksCancel()
	go n.pool.CloseAllIdle()
}

// newLinksContext makes a context that ends when the links are lost and no response is
// expected on the open connections.
func (n *Node) newLinksContext() {
	ctx, cancel := context.WithCancel(context.Background())
	n.linksCtx.Store(&ctx)
	n.linksCancel = cancel
}

// interruptible returns a context that ends with ctx, and when no response is expected any
// more because the links to the backend servers are lost.
func (n *Node) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(*n.linksCtx.Load(), cancel)
	return ctx, func() { stop(); cancel() }
}
