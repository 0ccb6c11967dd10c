package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// maxRelayedRequests bounds the requests of other VMs that this VM serves at the same
	// time.
	maxRelayedRequests = 256
	// relayHeaderBytes is the size of the header that a relay gets in addition to the
	// caller's.
	relayHeaderBytes = 8 << 10
	// relayIdleTimeout is how long unused connections of other VMs are kept.
	relayIdleTimeout = 30 * time.Second
)

// relayHandler serves the requests of VMs that have lost their links to the backend
// servers. It implements ingress.Handler.
type relayHandler struct{ handler }

// Limits implements ingress.Handler.
func (h *relayHandler) Limits() ingress.Limits {
	limits := h.handler.Limits()
	limits.MaxHeaderBytes += relayHeaderBytes
	limits.IdleTimeout = relayIdleTimeout
	return limits
}

// Concurrent implements ingress.Handler.
func (h *relayHandler) Concurrent(*ingress.Request) bool { return false }

// Reject implements ingress.Handler.
func (h *relayHandler) Reject(int) *ingress.Response {
	return h.node.newRefusal("", relayResult{Refusal: refusedRequest, Reason: "relayed request cannot be read"})
}

// Serve implements ingress.Handler.
func (h *relayHandler) Serve(ctx context.Context, in *ingress.Request) *ingress.Response {
	n := h.node
	r, err := n.readRelayedRequest(in)
	if err != nil {
		n.log.Info("relayed request cannot be read", "error", err.Error())
		return n.newRefusal(r.callerHeaders.AttemptID, relayResult{Refusal: refusedRequest, Reason: "relayed request cannot be read"})
	}
	if result := n.refuseRelayed(r); result != nil {
		return n.newRefusal(r.callerHeaders.AttemptID, *result)
	}
	response := r.forward(ctx)
	result := relayResult{Reason: r.reason, RetryAfterMS: r.retryAfter.Milliseconds(), Attempts: r.attempts, Server: r.server}
	switch {
	case r.answered:
	case r.mayHaveRun || ctx.Err() != nil || response.Status != http.StatusServiceUnavailable:
		result.Failed = true
	case r.rejectedFor == placement.LinksLost:
		result.Refusal = refusedWithoutLinks
	case r.rejectedFor == placement.NoServer:
		result.Refusal = refusedNoServer
	default:
		result.Refusal = refusedRequest
	}
	n.metrics.Count(1, "relay_served", string(result.Refusal))
	n.setRelayResult(response, result)
	response.Done = r.releaseBodies
	return response
}

// readRelayedRequest returns the state of a relayed request.
func (n *Node) readRelayedRequest(in *ingress.Request) (*request, error) {
	r := &request{node: n, view: n.view.Load(), incoming: in, isRelayed: true}
	var err error
	if r.callerHeaders, err = adapter.ReadCallerHeaders(in.Header); err != nil {
		return r, err
	}
	var state relayRequest
	if err := json.Unmarshal([]byte(in.Header.Get(relayRequestHeader)), &state); err != nil {
		return r, err
	}
	in.Header.Del(relayRequestHeader)
	r.route = &steering.Route{
		Name: state.Route, Idempotent: state.Idempotent, MaxAttempts: state.MaxAttempts, Objective: time.Duration(state.ObjectiveMS) * time.Millisecond,
	}
	if state.Account != "" {
		r.account = &steering.Account{Name: state.Account}
	}
	r.attempts = state.Attempts
	r.deadline = in.Arrived.Add(r.callerHeaders.Timeout)
	r.placement = placement.Request{
		Service: state.Service, Route: state.Route, Object: state.Object, Priority: state.Priority, Objective: r.route.Objective, Tried: state.Tried,
		Allowed: func(region string) bool { return len(state.Regions) == 0 || slices.Contains(state.Regions, region) },
	}
	return r, nil
}

// refuseRelayed returns why this VM does not serve a relayed request, or nil.
func (n *Node) refuseRelayed(r *request) *relayResult {
	_, inFlight, _ := n.relayServer.Activity()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.links.Lost():
		return &relayResult{Refusal: refusedWithoutLinks, Reason: string(placement.LinksLost)}
	case !r.view.Ready || inFlight > maxRelayedRequests || n.mayStopBefore(r.deadline):
		return &relayResult{Refusal: refusedBusy, Reason: "relay takes no more requests"}
	}
	r.placement.PreferredRegion = n.chooseRegion(r, r.placement.Service)
	return nil
}

// newRefusal returns the response to a relayed request that was not run.
func (n *Node) newRefusal(attemptID string, result relayResult) *ingress.Response {
	response := newRejection(http.StatusServiceUnavailable, attemptID, 0)
	n.setRelayResult(response, result)
	return response
}

// setRelayResult adds the result to the response. Without it, the outcome of the request
// counts as unknown.
func (n *Node) setRelayResult(response *ingress.Response, result relayResult) {
	encoded, err := json.Marshal(result)
	if err != nil {
		n.log.Info("result of a relayed request could not be encoded", "error", err.Error())
		return
	}
	response.Header[relayResponseHeader] = []string{string(encoded)}
}
