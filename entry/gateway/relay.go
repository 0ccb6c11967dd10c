package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/relay"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

const (
	// relayIdleConns is the number of connections to one relay that are kept idle.
	relayIdleConns = 8
	// relayMargin is how long the response of a relay is awaited after that of a backend
	// server would have been.
	relayMargin = 50 * time.Millisecond
	// relayConnectTimeout bounds connecting to a relay, in addition to a round trip. A
	// request may have to try several.
	relayConnectTimeout = 250 * time.Millisecond
	// unservedRelays is the number of relays without a server for a request from which on no
	// other one is tried: one alone may have lost its links as well, or just regained them.
	unservedRelays = 2
	// unservedTime is how long requests for a service are not relayed after relays had no
	// server for it either.
	unservedTime = 500 * time.Millisecond
)

func (n *Node) relayPort() int { return n.settings.PeerPort + 1 }

// mayRelay reports whether another VM may serve a request for which this VM has no server.
// A relayed request is not relayed again.
func (r *request) mayRelay(rejection placement.Choice) bool {
	if r.isRelayed || r.attempts > 0 && r.attempts >= r.route.MaxAttempts {
		return false
	}
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now() < n.unservedUntil[r.placement.Service] {
		return false
	}
	switch rejection.Reason {
	case placement.LinksLost:
		return true
	case placement.NoServer, placement.NoServerInTime, placement.Overloaded:
		return r.connectFailures > maxConnectFailures || n.picker.OthersMayServe(&r.placement)
	default:
		return false
	}
}

// relay sends the request to other VMs until one of them has a response for the caller.
func (r *request) relay(ctx context.Context, rejection placement.Choice) *ingress.Response {
	var tried []string
	for ctx.Err() == nil {
		vm, retryAfter := r.selectRelay(tried)
		if vm == nil {
			if r.unservedRelays > 0 {
				r.stopRelaying()
			}
			rejection.RetryAfter = retryAfter
			if len(tried) > 0 {
				rejection.Reason += placement.Reason("; " + r.reason)
			}
			return r.giveUp(rejection)
		}
		tried = append(tried, vm.Name)
		response, outcome := r.relayThrough(ctx, vm)
		r.node.relayFinished(vm.Name, outcome)
		if response != nil {
			return response
		}
	}
	return r.reject(statusCallerLeft, 0, "caller left")
}

// selectRelay selects the next relay for the request. Without one, retryAfter is the time
// after which there may be one.
func (r *request) selectRelay(tried []string) (vm *steering.VM, retryAfter time.Duration) {
	n := r.node
	view := n.view.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	candidates := n.relayCandidates(now, r.placement.Allowed)
	name := n.relays.Select(now, candidates, tried)
	if name == "" || view.VMs[name] == nil {
		retryAfter = n.links.RetryAfter(now)
		if wait := n.relays.RetryAfter(now, candidates); wait > 0 {
			retryAfter = min(retryAfter, wait)
		}
		return nil, max(retryAfter, shedRetryAfter)
	}
	n.relays.Started(name)
	return view.VMs[name], 0
}

// relayCandidates returns the VMs of each allowed region that may relay requests, the
// nearest region first. The caller holds mu.
func (n *Node) relayCandidates(now time.Duration, allowed func(region string) bool) [][]relay.Candidate {
	regions := slices.DeleteFunc(slices.Clone(n.regions), func(region string) bool { return !allowed(region) || len(n.relaysByRegion[region]) == 0 })
	slices.SortStableFunc(regions, func(a, b string) int { return cmp.Compare(n.picker.RTT(a), n.picker.RTT(b)) })
	alive, known := n.peers.AcceptsCallers(now)
	var candidates [][]relay.Candidate
	for _, region := range regions[:min(len(regions), relay.MaxRegions)] {
		inRegion := n.relaysByRegion[region]
		if known {
			inRegion = slices.DeleteFunc(slices.Clone(inRegion), func(c relay.Candidate) bool { return !alive(c.VM) })
		}
		candidates = append(candidates, inRegion)
	}
	return candidates
}

// setRelays sets the VMs that may relay requests of this VM. The caller holds mu.
func (n *Node) setRelays(vms map[string]*steering.VM) {
	n.relays.Forget(func(vm string) bool { return vms[vm] != nil })
	n.relaysByRegion = make(map[string][]relay.Candidate)
	for _, name := range sortedKeys(vms) {
		if vm := vms[name]; name != n.settings.VM && !vm.Leaving {
			n.relaysByRegion[vm.Region] = append(n.relaysByRegion[vm.Region], relay.Candidate{VM: name, Weight: vm.Weight})
		}
	}
}

func (n *Node) relayFinished(vm string, outcome relay.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays.Finished(n.now(), vm, outcome)
}

// relayThrough sends the request to one relay. Without a response, another relay may get
// the request.
func (r *request) relayThrough(ctx context.Context, vm *steering.VM) (*ingress.Response, relay.Outcome) {
	n := r.node
	call, err := r.newRelayCall(vm)
	if err != nil {
		n.log.Info("request cannot be relayed", "id", r.callerHeaders.AttemptID, "relay", vm.Name, "error", err.Error())
		return nil, relay.Unreachable
	}
	r.relayVM = vm.Name
	callCtx := ctx
	if !r.route.Idempotent {
		callCtx = context.WithoutCancel(ctx)
	}
	serverResponse, _, err := n.relayPool.Do(callCtx, call)
	if err != nil {
		return r.afterRelayFailure(ctx, err)
	}
	r.received = append(r.received, serverResponse)
	var result relayResult
	if err := json.Unmarshal([]byte(serverResponse.Header.Get(relayResponseHeader)), &result); err != nil {
		return r.afterRelayFailure(ctx, &upstream.CallError{Kind: upstream.ErrMalformed, Cause: err})
	}
	n.metrics.Count(1, "relayed", string(result.Refusal))
	r.attempts, r.server = max(r.attempts, result.Attempts), result.Server
	if result.Refusal != "" {
		return r.afterRefusal(result)
	}
	if result.Failed {
		r.mayHaveRun = true
		return r.reject(serverResponse.Status, 0, "relay: "+result.Reason), relay.Answered
	}
	serverResponse.Header.Del(relayResponseHeader)
	r.recordRelayedNotice(serverResponse, result.Server)
	return r.relayResponse(serverResponse), relay.Answered
}

// recordRelayedNotice records that a server to which a relay has sent the request leaves. A
// pause concerns the relay alone.
func (r *request) recordRelayedNotice(response *upstream.Response, serverID string) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.view.Load().Servers[r.placement.Service] {
		if s.ID == serverID && response.ServerHeaders.Leaving {
			n.picker.ServerLeaves(n.now(), s)
		}
	}
}

// afterRelayFailure decides what follows a call to a relay that brought no response.
func (r *request) afterRelayFailure(ctx context.Context, err error) (*ingress.Response, relay.Outcome) {
	r.reason = "relay: " + err.Error()
	switch {
	case ctx.Err() != nil:
		return r.reject(statusCallerLeft, 0, "caller left"), relay.Answered
	case isNotSent(err):
		r.node.metrics.Count(1, "relayed", "not_sent")
		return nil, relay.Unreachable
	}
	r.node.metrics.Count(1, "relayed", "lost")
	r.mayHaveRun = true
	r.attempts++
	switch {
	case isTimeout(err):
		return r.reject(http.StatusGatewayTimeout, 0, r.reason), relay.Lost
	case !r.route.Idempotent || r.attempts >= r.route.MaxAttempts:
		return r.reject(http.StatusBadGateway, 0, r.reason), relay.Lost
	default:
		return nil, relay.Lost
	}
}

// afterRefusal decides what follows the refusal of a relay, which states that the request
// was not run.
func (r *request) afterRefusal(result relayResult) (*ingress.Response, relay.Outcome) {
	r.reason = "relay: " + result.Reason
	switch result.Refusal {
	case refusedWithoutLinks:
		return nil, relay.WithoutLinks
	case refusedBusy:
		return nil, relay.Busy
	case refusedNoServer:
		if r.unservedRelays++; r.unservedRelays < unservedRelays {
			return nil, relay.Answered
		}
		r.stopRelaying()
	}
	retryAfter := time.Duration(result.RetryAfterMS) * time.Millisecond
	return r.giveUp(placement.Choice{Reason: placement.Reason(result.Reason), RetryAfter: retryAfter}), relay.Answered
}

// stopRelaying makes this VM relay no requests for the service for unservedTime.
func (r *request) stopRelaying() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unservedUntil[r.placement.Service] = n.now() + unservedTime
}

// newRelayCall returns the call that sends the request to a relay.
func (r *request) newRelayCall(vm *steering.VM) (*upstream.Call, error) {
	host, _, err := net.SplitHostPort(vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	state := relayRequest{
		Service: r.placement.Service, Route: r.route.Name, Idempotent: r.route.Idempotent, Object: r.placement.Object, Priority: r.placement.Priority,
		ObjectiveMS: r.route.Objective.Milliseconds(), MaxAttempts: r.route.MaxAttempts, Attempts: r.attempts, Tried: r.placement.Tried, Regions: r.allowedRegions(),
	}
	if r.account != nil {
		state.Account = r.account.Name
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	call := r.newCallTo(vm.Name, joinHostPort(host, r.node.relayPort()))
	call.Header[relayRequestHeader] = []string{string(encoded)}
	call.MaxIdleConns = relayIdleConns
	call.Deadline = call.Deadline.Add(relayMargin)
	r.node.mu.Lock()
	call.ConnectTimeout = relayConnectTimeout + r.node.picker.RTT(vm.Region)
	r.node.mu.Unlock()
	return call, nil
}

// allowedRegions returns the regions that may serve the request, or nil if all may.
func (r *request) allowedRegions() []string {
	var allowed []string
	for _, region := range r.node.regions {
		if r.placement.Allowed(region) {
			allowed = append(allowed, region)
		}
	}
	if len(allowed) == len(r.node.regions) {
		return nil
	}
	return allowed
}
