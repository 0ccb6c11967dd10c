package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/upstream"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// unconfiguredRetryAfter is the Retry-After of a VM that has no
	// configuration yet. Reading it takes some round trips to the store.
	unconfiguredRetryAfter = 400 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a leaving VM. It is short,
	// because the caller can use another VM at once.
	leavingRetryAfter = 50 * time.Millisecond
	// responseMargin is how long a response is awaited after the deadline that
	// the backend server was given.
	responseMargin = 100 * time.Millisecond
	// maxConnectFailures is the number of failed connections to backend
	// servers above which a request is rejected.
	maxConnectFailures = 3
	// defaultCallerTimeout is assumed for callers that do not state a timeout.
	defaultCallerTimeout = 30 * time.Second
)

// defaultLimits apply until a configuration is known.
var defaultLimits = ingress.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// handler implements ingress.Handler.
type handler struct{ node *Node }

// Limits implements ingress.Handler.
func (h *handler) Limits() ingress.Limits {
	c := h.node.view.Load().Config
	if c == nil {
		return defaultLimits
	}
	return ingress.Limits{
		MaxHeaderBytes: c.Limits.MaxHeaderBytes, MaxBodyBytes: c.Limits.MaxBodyBytes,
		HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
	}
}

// Reject implements ingress.Handler.
func (h *handler) Reject(status int) *ingress.Response {
	h.node.log.Info("request rejected", "status", status, "reason", "request breaks the limits or the protocol")
	return newRejection(status, "", 0)
}

// Concurrent implements ingress.Handler. Only idempotent requests are served at
// the same time as others of their connection.
func (h *handler) Concurrent(r *ingress.Request) bool {
	c := h.node.view.Load().Config
	if c == nil {
		return false
	}
	route := c.Match(requestHost(r), r.Path)
	return route != nil && route.Idempotent
}

func requestHost(r *ingress.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// newRejection returns a rejection by the gateway itself.
func newRejection(status int, attemptID string, retryAfter time.Duration) *ingress.Response {
	response := &ingress.Response{Status: status, Header: make(http.Header)}
	adapter.SetResponseHeaders(response.Header, attemptID, retryAfter)
	return response
}

// request is the state of one caller's request.
type request struct {
	node          *Node
	view          *catalog.View
	incoming      *ingress.Request
	callerHeaders adapter.CallerHeaders
	route         *steering.Route
	account       *steering.Account
	// deadline is when the caller's or the route's timeout ends, whichever is
	// first.
	deadline  time.Time
	placement placement.Request
	// attempts counts the attempts that may have reached a server,
	// connectFailures those that did not.
	attempts        int
	connectFailures int
	// mayHaveRun is set once the outcome of an attempt is unknown.
	mayHaveRun bool
	// lastFailure is the newest failure response of a backend server.
	lastFailure *upstream.Response
	// reason is the cause of a failure as it is logged; server is the server
	// of the newest attempt, serverRegion its region, and departure why that is not the
	// preferred one.
	reason       string
	server       string
	serverRegion string
	departure    placement.Departure
	// expectedTime is the expected time until the response, as of the last
	// choice of a server.
	expectedTime time.Duration
	// retryAfter is when the caller was told to come back; 0 if it was not.
	retryAfter time.Duration
	// cachedFingerprints are those of the request once hasFingerprints is set.
	cachedFingerprints poison.Fingerprints
	hasFingerprints    bool
	// suspect is set if the request was in progress when a server crashed, trial if it is
	// quarantined and sent to one server nevertheless.
	suspect, trial bool
	// isRelayed is set for requests that this VM serves on behalf of another one, relayVM is
	// the VM that this VM relayed the request to.
	isRelayed bool
	relayVM   string
	// unservedRelays counts the relays that had no server for the request.
	unservedRelays int
	// answered is set if the response is that of a backend server; otherwise rejectedFor
	// is why no server got the request.
	answered    bool
	rejectedFor placement.Reason
	// received are the responses whose bodies are released once the caller has been
	// answered.
	received []*upstream.Response
}

// Serve implements ingress.Handler.
func (h *handler) Serve(ctx context.Context, in *ingress.Request) *ingress.Response {
	n := h.node
	r := &request{node: n, view: n.view.Load(), incoming: in}
	response := r.serve(ctx)
	n.recordRequest(r, response)
	response.Done = r.releaseBodies
	return response
}

// releaseBodies releases the bodies of the responses to the request.
func (r *request) releaseBodies() {
	for _, response := range r.received {
		response.Release()
	}
	r.received = nil
}

func (r *request) serve(ctx context.Context) *ingress.Response {
	var err error
	if r.callerHeaders, err = adapter.ReadCallerHeaders(r.incoming.Header); err != nil {
		return r.reject(http.StatusBadRequest, 0, "header cannot be read")
	}
	if !r.view.Ready {
		return r.reject(http.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration yet")
	}
	if rejection := r.authorize(); rejection != nil {
		return rejection
	}
	timeout := r.callerHeaders.Timeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	r.deadline = r.incoming.Arrived.Add(timeout)
	if r.node.mayStopBefore(r.deadline) {
		return r.giveUp(placement.Choice{Reason: vmLeaving, RetryAfter: leavingRetryAfter})
	}
	if retryAfter, quarantined := r.checkQuarantine(); quarantined {
		return r.giveUp(placement.Choice{Reason: placement.Quarantined, RetryAfter: retryAfter})
	}
	if rejection := r.checkRate(ctx); rejection != nil {
		return rejection
	}
	response := r.forward(ctx)
	if r.attempts == 0 {
		r.node.returnToken(r.account)
	}
	return response
}

// authorize finds the route and the client account. It returns a rejection if
// there is no route or the caller is not authorized.
func (r *request) authorize() *ingress.Response {
	c := r.view.Config
	if r.route = c.Match(requestHost(r.incoming), r.incoming.Path); r.route == nil {
		return r.deny(http.StatusNotFound, "no route")
	}
	if !c.RequireKeys {
		return nil
	}
	if r.callerHeaders.APIKey != "" {
		r.account = c.AccountByKey(r.callerHeaders.APIKey)
	}
	if r.account == nil && !r.route.AllowAnonymous {
		return r.deny(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// deny rejects a request permanently. While the operator's rows cannot be read,
// an unknown route or key may exist, so that the rejection is temporary.
func (r *request) deny(status int, reason string) *ingress.Response {
	if r.node.operatorUnavailable.Load() {
		return r.reject(http.StatusServiceUnavailable, unconfiguredRetryAfter, reason+", configuration may be old")
	}
	return r.reject(status, 0, reason)
}

func (r *request) reject(status int, retryAfter time.Duration, reason string) *ingress.Response {
	r.reason, r.retryAfter = reason, retryAfter
	return newRejection(status, r.callerHeaders.AttemptID, retryAfter)
}

// checkRate selects service and region and takes a token from the rate of the
// client account. It returns a rejection if there is none.
func (r *request) checkRate(ctx context.Context) *ingress.Response {
	r.selectServiceAndRegion()
	if r.account == nil || r.account.RatePerSecond <= 0 {
		return nil
	}
	if ok, wait := r.node.takeToken(ctx, r.account); !ok {
		return r.reject(http.StatusTooManyRequests, wait, "account exceeds its rate")
	}
	return nil
}

// selectServiceAndRegion selects the service and region of the request and
// counts it as demand.
func (r *request) selectServiceAndRegion() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	service := n.nextService(r.route)
	r.placement = placement.Request{
		Service: service, Route: r.route.Name, Priority: steering.PriorityOf(r.route, r.account), Objective: r.route.Objective,
		Allowed: func(region string) bool { return steering.RegionAllowed(r.route, r.account, region) },
	}
	if r.route.Affinity && r.callerHeaders.AffinityKey != "" {
		r.placement.Object = placement.HashObject(r.route.Name, r.callerHeaders.AffinityKey)
	}
	n.demandMeter.AddWork(service, steering.OnlyHomeRegion(r.route, r.account, n.regions), n.picker.WorkMS(&r.placement))
	r.placement.PreferredRegion = n.chooseRegion(r, service)
}

// nextService selects the service of a route's next request. The caller holds
// mu.
func (n *Node) nextService(route *steering.Route) string {
	if len(route.TrafficSplit) == 1 {
		return route.TrafficSplit[0].Service
	}
	if len(route.TrafficSplit) == 0 {
		return ""
	}
	s := n.routeSplits[route.Name]
	if s == nil || !s.Matches(route.TrafficSplit) {
		s = placement.NewTrafficSplitter(route.TrafficSplit, placement.SplitPhase(n.settings.VM, route.Name))
		n.routeSplits[route.Name] = s
	}
	return s.Next()
}

// chooseRegion selects the region that serves a request. The caller holds mu.
func (n *Node) chooseRegion(r *request, service string) string {
	ownRegion := n.settings.Region
	flow := n.regionFlows[service]
	if flow == nil {
		return ownRegion
	}
	return flow.ChooseRegion(ownRegion, placement.ObjectFraction(r.placement.Object))
}

// forward sends the request to one backend server after another until it has a
// response for the caller.
func (r *request) forward(ctx context.Context) *ingress.Response {
	defer func() {
		if r.trial && r.attempts == 0 {
			r.returnTrial()
		}
	}()
	if retryAfter, ok := r.claimTrial(ctx); !ok {
		return r.giveUp(placement.Choice{Reason: placement.Quarantined, RetryAfter: retryAfter})
	}
	for {
		if ctx.Err() != nil {
			return r.reject(statusCallerLeft, 0, "caller left")
		}
		if retryAfter, quarantined := r.checkQuarantine(); quarantined {
			return r.giveUp(placement.Choice{Reason: placement.Quarantined, RetryAfter: retryAfter})
		}
		if r.node.mayStopBefore(r.deadline) {
			return r.giveUp(placement.Choice{Reason: vmLeaving, RetryAfter: leavingRetryAfter})
		}
		choice, ok := r.chooseServer(ctx)
		if !ok && r.mayRelay(choice) {
			return r.relay(ctx, choice)
		}
		if !ok {
			return r.giveUp(choice)
		}
		response, retry := r.attempt(ctx, choice)
		if !retry {
			return response
		}
	}
}

// statusCallerLeft is the status of requests whose caller has left. It is
// recorded but not sent, because no caller reads the response.
const statusCallerLeft = http.StatusServiceUnavailable

// chooseServer selects a server for the next attempt, if one more is allowed, and gets
// the grant that the server's limit requires.
func (r *request) chooseServer(ctx context.Context) (choice placement.Choice, ok bool) {
	for limitRequests := 0; ; limitRequests++ {
		r.placement.OwnLimitsOnly = limitRequests >= maxLimitRequests
		choice, needsGrant := r.pickServer()
		switch {
		case !needsGrant:
			return choice, choice.Server != nil
		case r.node.requestLimitGrant(ctx, choice):
			r.node.mu.Lock()
			defer r.node.mu.Unlock()
			choice = r.startAttempt(choice)
			return choice, choice.Server != nil
		case ctx.Err() != nil:
			return placement.Choice{Reason: placement.ServerLimit}, false
		}
	}
}

// pickServer selects a server for the next attempt and starts the attempt, unless the
// owner of the server's limit has to grant it first.
func (r *request) pickServer() (choice placement.Choice, needsGrant bool) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.attempts > 0 && r.attempts >= r.route.MaxAttempts {
		return placement.Choice{Reason: "all attempts used"}, false
	}
	if n.links.Lost() && !n.links.OpenConnsWork() {
		return placement.Choice{Reason: placement.LinksLost, RetryAfter: n.links.RetryAfter(n.now())}, false
	}
	r.placement.Reachable = nil
	if n.links.OpenConnsWork() {
		r.placement.Reachable = func(server string) bool { return n.pool.HasIdle(server, r.route.Idempotent) }
	}
	if r.connectFailures > maxConnectFailures {
		return placement.Choice{Reason: placement.NoServer, RetryAfter: unconfiguredRetryAfter}, false
	}
	r.placement.Remaining = time.Until(r.deadline)
	r.placement.Waited = time.Since(r.incoming.Arrived)
	choice = r.pickIsolated()
	if choice.Server == nil && n.links.Lost() {
		choice.Reason = placement.LinksLost
	}
	r.expectedTime = choice.ExpectedLatency
	if choice.Server == nil || choice.LimitOwner != "" {
		return choice, choice.Server != nil
	}
	return r.startAttempt(choice), false
}

// vmLeaving is the reason of rejections by a VM that stops before the deadline.
const vmLeaving placement.Reason = "VM is leaving"

// startAttempt starts an attempt with a choice if the retry budget allows it. The caller
// holds mu.
func (r *request) startAttempt(choice placement.Choice) placement.Choice {
	n := r.node
	now := n.now()
	if r.attempts > 0 && !n.retryBudget(r.placement.Service).Take(now, n.peers.RosterSize()) {
		return placement.Choice{Reason: "retry budget used", RetryAfter: shedRetryAfter, ExpectedLatency: choice.ExpectedLatency}
	}
	n.picker.RequestStarted(now, &r.placement, choice)
	n.links.RequestSent(choice.Server.ID)
	if r.suspect {
		n.suspectsInProgress[choice.Server.ID]++
	}
	return choice
}

// shedRetryAfter is the Retry-After of requests that servers shed. Queues
// advance within the time that some requests take.
const shedRetryAfter = 300 * time.Millisecond

// retryBudget returns the retry budget of a service. The caller holds mu.
func (n *Node) retryBudget(service string) *retrybudget.Budget {
	b := n.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(retrybudget.Limits{
			Ratio: n.bounds.Load().RetryBudgetRatio, Margin: n.bounds.Load().RetryBudgetMargin, Window: n.bounds.Load().RetryBudgetWindow,
		})
		n.retryBudgets[service] = b
	}
	return b
}

// attempt sends the request once. If retry is set, another server may get the
// request.
func (r *request) attempt(ctx context.Context, choice placement.Choice) (response *ingress.Response, retry bool) {
	n := r.node
	r.server, r.serverRegion, r.departure = choice.Server.ID, choice.Server.Region, choice.Departure
	r.placement.Tried = append(r.placement.Tried, choice.Server.ID)
	begin := time.Now()
	if !r.route.Idempotent {
		// A non-idempotent request continues when the caller leaves: what has
		// begun cannot be undone.
		ctx = context.WithoutCancel(ctx)
	}
	serverResponse, trace, err := r.call(ctx, choice)
	elapsed := time.Since(begin)
	if trace.Sent {
		r.attempts++
	} else {
		r.connectFailures++
	}
	result := attemptResult(serverResponse, err)
	r.reportResult(choice, serverResponse, trace, result, elapsed, err)
	cause := ""
	if err != nil {
		cause = err.Error()
	} else if result != placement.Succeeded {
		cause = "status " + strconv.Itoa(serverResponse.Status)
	}
	n.recordAttempt(r, choice, result, cause, elapsed)
	if err != nil {
		return r.afterFailure(ctx, err)
	}
	return r.afterResponse(serverResponse)
}

// call sends the request to the chosen server. An idempotent request ends once no response
// is expected any more, because the links to the backend servers are lost.
func (r *request) call(ctx context.Context, choice placement.Choice) (*upstream.Response, upstream.Trace, error) {
	if r.route.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = r.node.interruptible(ctx)
		defer cancel()
	}
	response, trace, err := r.node.pool.Do(ctx, r.newCall(choice))
	if response != nil {
		r.received = append(r.received, response)
	}
	return response, trace, err
}

// reportResult passes the result of an attempt to the picker, the retry budget and the
// monitor of the links.
func (r *request) reportResult(choice placement.Choice, response *upstream.Response, trace upstream.Trace, result placement.Result, elapsed time.Duration, err error) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.observeLinks(now, choice.Server.ID, response, trace, err)
	if response != nil && result != placement.Misdirected {
		n.recordServerLimit(now, now-elapsed, choice.Server, response)
	}
	if response != nil && result != placement.Misdirected {
		n.recordNotice(now, choice.Server, response)
	}
	r.finishSuspect(now, choice.Server, response, now-elapsed, trace, err)
	if trace.Sent && r.attempts == 1 {
		n.retryBudget(r.placement.Service).AddRequest(now)
	}
	if n.picker.RequestFinished(now, &r.placement, choice, result, elapsed) {
		n.logSuspension(now, choice, result)
	}
	if trace.ConnectTime > 0 {
		n.picker.ConnectionOpened(choice.Server.Region, trace.ConnectTime)
	}
	if response != nil && response.ServerHeaders.HasLoad {
		n.picker.LoadReported(now, choice.Server.ID, response.ServerHeaders.Load.Running, response.ServerHeaders.Load.Waiting)
	}
}

// newCall returns the call that sends the request to the chosen server.
func (r *request) newCall(choice placement.Choice) *upstream.Call {
	call := r.newCallTo(choice.Server.ID, choice.Server.Address)
	call.MaxIdleConns, call.IdleConnOnly = r.maxIdleConns(), r.placement.Reachable != nil
	return call
}

// newCallTo returns a call that sends the request to a backend server or a relay.
func (r *request) newCallTo(id, address string) *upstream.Call {
	header := make(http.Header, len(r.incoming.Header)+4)
	maps.Copy(header, r.incoming.Header)
	hop.Remove(header)
	account := ""
	if r.account != nil {
		account = r.account.Name
	}
	adapter.SetRequestHeaders(header, id, account, time.Until(r.deadline))
	return &upstream.Call{
		ServerID: id, Address: address, Method: r.incoming.Method, Target: r.incoming.RequestURI, Host: r.incoming.Host, Header: header,
		Body: r.incoming.Body, HasBody: r.incoming.ContentLength != 0 || methodHasBody(r.incoming.Method), AttemptID: r.callerHeaders.AttemptID,
		Idempotent: r.route.Idempotent, Deadline: r.deadline.Add(responseMargin),
	}
}

// fingerprints identify the request across callers' attempts and VMs.
func (r *request) fingerprints() poison.Fingerprints {
	if r.hasFingerprints {
		return r.cachedFingerprints
	}
	content := poison.Content{
		Method: r.incoming.Method, Host: r.incoming.Host, Target: r.incoming.RequestURI, Route: r.route.Name, Body: r.incoming.Body,
	}
	if r.account != nil {
		content.Account = r.account.Name
	}
	r.cachedFingerprints, r.hasFingerprints = content.Fingerprints(), true
	return r.cachedFingerprints
}

// maxIdleConns returns the number of idle connections that this VM keeps to a server of
// the request's service.
func (r *request) maxIdleConns() int {
	service := r.view.Config.Services[r.placement.Service]
	if service == nil {
		return 0
	}
	return upstream.MaxIdleConns(service.MaxConns, len(r.view.VMs))
}

// methodHasBody reports whether requests of a method state a length even if
// they have no body.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// afterFailure decides what follows an attempt without a response. It returns a
// rejection for the caller, or true if the request may be sent to another
// server.
func (r *request) afterFailure(ctx context.Context, err error) (*ingress.Response, bool) {
	r.reason = err.Error()
	if ctx.Err() != nil {
		return r.reject(statusCallerLeft, 0, "caller left"), false
	}
	if isNotSent(err) {
		return nil, true
	}
	r.mayHaveRun = true
	if isTimeout(err) && !isCancelled(err) {
		return r.reject(http.StatusGatewayTimeout, 0, r.reason), false
	}
	if !r.route.Idempotent {
		return r.reject(http.StatusBadGateway, 0, r.reason), false
	}
	return nil, true
}

// afterResponse decides what follows a response of a backend server. Its
// results are like those of afterFailure.
func (r *request) afterResponse(response *upstream.Response) (*ingress.Response, bool) {
	switch {
	case response.ServerHeaders.NotRun && response.Status != http.StatusBadRequest:
		r.reason = "shed by backend server"
		return nil, true
	case response.Status < http.StatusInternalServerError:
		return r.relayResponse(response), false
	}
	r.reason = "failure answer of backend server"
	r.lastFailure = response
	if r.route.Idempotent && response.Status != http.StatusGatewayTimeout {
		return nil, true
	}
	return r.relayResponse(response), false
}

// relayResponse passes a backend server's response on unchanged, apart from
// hop-by-hop headers and the Content-Length.
func (r *request) relayResponse(response *upstream.Response) *ingress.Response {
	r.answered = true
	hop.Remove(response.Header)
	// The length is set again from the body that was read.
	response.Header.Del("Content-Length")
	return &ingress.Response{Status: response.Status, Header: response.Header, Body: response.Body}
}

// giveUp returns the response to a request that is not sent to another server:
// the newest failure response of a backend server, or a rejection.
func (r *request) giveUp(choice placement.Choice) *ingress.Response {
	r.rejectedFor = choice.Reason
	switch {
	case r.lastFailure != nil:
		r.reason += "; " + string(choice.Reason)
		return r.relayResponse(r.lastFailure)
	case r.mayHaveRun:
		return r.reject(http.StatusBadGateway, 0, r.reason+"; "+string(choice.Reason))
	default:
		retryAfter := choice.RetryAfter
		if retryAfter == 0 {
			retryAfter = shedRetryAfter
		}
		return r.reject(http.StatusServiceUnavailable, retryAfter, string(choice.Reason))
	}
}
