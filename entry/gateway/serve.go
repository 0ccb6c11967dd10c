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
	"github.com/cassiawind/cassiawind/core/retrybudget"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/upstream"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// unconfiguredRetry is when a caller may come back to a VM that has no
	// configuration yet: reading it takes some round trips to the store.
	unconfiguredRetry = 400 * time.Millisecond
	// leavingRetry is when a caller of a leaving VM may come back: at once, on
	// another VM.
	leavingRetry = 50 * time.Millisecond
	// answerSlack is how long after the deadline that a backend server was
	// given its answer is awaited.
	answerSlack = 100 * time.Millisecond
	// maxConnectFailures bounds the servers that a request tries in vain.
	maxConnectFailures = 3
	// defaultWait is assumed for callers that do not say how long they wait.
	defaultWait = 30 * time.Second
)

// defaultLimits hold until a configuration is known.
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

// Refuse implements ingress.Handler.
func (h *handler) Reject(status int) *ingress.Answer {
	h.node.log.Info("request refused", "status", status, "reason", "request breaks the limits or the protocol")
	return answer(status, "", 0)
}

// Concurrent implements ingress.Handler: only idempotent requests are served
// beside others of their connection.
func (h *handler) Concurrent(r *ingress.Request) bool {
	c := h.node.view.Load().Config
	if c == nil {
		return false
	}
	route := c.Match(hostOf(r), r.Path)
	return route != nil && route.Idempotent
}

func hostOf(r *ingress.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func answer(status int, attempt string, retryAfter time.Duration) *ingress.Answer {
	a := &ingress.Answer{Status: status, Header: make(http.Header)}
	adapter.SetAnswerHeaders(a.Header, attempt, retryAfter)
	return a
}

// request is one caller's request on its way.
type request struct {
	node    *Node
	view    *catalog.View
	in      *ingress.Request
	caller  adapter.CallerHeaders
	route   *steering.Route
	account *steering.Account
	// deadline is when the caller or the operator's patience ends.
	deadline time.Time
	place    placement.Request
	sent     int
	failed   int
	// mayHaveRun is set once the outcome of a send is unknown.
	mayHaveRun bool
	// last is the newest failure answer of a backend server.
	last   *upstream.Answer
	reason string
	server string
	// expected is the time to the answer that the last choice expected.
	expected time.Duration
}

// Serve implements ingress.Handler.
func (h *handler) Serve(ctx context.Context, in *ingress.Request) *ingress.Answer {
	n := h.node
	r := &request{node: n, view: n.view.Load(), in: in}
	a := r.serve(ctx)
	n.record(r, a)
	return a
}

func (r *request) serve(ctx context.Context) *ingress.Answer {
	var err error
	if r.caller, err = adapter.ReadCallerHeaders(r.in.Header); err != nil {
		return r.reject(http.StatusBadRequest, 0, "header cannot be read")
	}
	if !r.view.Ready {
		return r.reject(http.StatusServiceUnavailable, unconfiguredRetry, "no configuration yet")
	}
	if a := r.admit(); a != nil {
		return a
	}
	wait := r.caller.Timeout
	if wait == 0 {
		wait = defaultWait
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	r.deadline = r.in.Arrived.Add(wait)
	if r.node.endsBefore(r.deadline) {
		return r.reject(http.StatusServiceUnavailable, leavingRetry, "VM is leaving")
	}
	if a := r.limit(ctx); a != nil {
		return a
	}
	a := r.forward(ctx)
	if r.sent == 0 {
		r.node.returnToken(r.account)
	}
	return a
}

// admit finds route and client account.
func (r *request) admit() *ingress.Answer {
	c := r.view.Config
	if r.route = c.Match(hostOf(r.in), r.in.Path); r.route == nil {
		return r.deny(http.StatusNotFound, "no route")
	}
	if !c.Authenticated {
		return nil
	}
	if r.caller.APIKey != "" {
		r.account = c.AccountOfKey(r.caller.APIKey)
	}
	if r.account == nil && !r.route.Open {
		return r.deny(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// deny refuses a request for good. While the operator's rows cannot be read, a
// route or key that is not known here may exist.
func (r *request) deny(status int, reason string) *ingress.Answer {
	if r.node.operatorLost.Load() {
		return r.reject(http.StatusServiceUnavailable, unconfiguredRetry, reason+", configuration may be old")
	}
	return r.reject(status, 0, reason)
}

func (r *request) reject(status int, retryAfter time.Duration, reason string) *ingress.Answer {
	r.reason = reason
	return answer(status, r.caller.AttemptID, retryAfter)
}

// limit places the request and takes a token of the client account's rate.
func (r *request) limit(ctx context.Context) *ingress.Answer {
	r.classify()
	if r.account == nil || r.account.Rate <= 0 {
		return nil
	}
	if ok, wait := r.node.takeToken(ctx, r.account); !ok {
		return r.reject(http.StatusTooManyRequests, wait, "account exceeds its rate")
	}
	return nil
}

// classify chooses service and region, and counts the request as demand.
func (r *request) classify() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	service := n.partOf(r.route)
	r.place = placement.Request{
		Service: service, Class: r.route.Name, Rank: steering.RankOf(r.route, r.account), Objective: r.route.Objective,
		Allowed: func(region string) bool { return steering.Allowed(r.route, r.account, region) },
	}
	if r.route.Affinity && r.caller.AffinityKey != "" {
		r.place.Object = placement.HashObject(r.route.Name, r.caller.AffinityKey)
	}
	n.demand.Work(service, steering.OnlyHome(r.route, r.account, n.regions), n.picker.WorkMS(&r.place))
	r.place.Region = n.regionOf(r, service)
}

// partOf chooses the service of a route's next request; the caller holds mu.
func (n *Node) partOf(route *steering.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	if len(route.Parts) == 0 {
		return ""
	}
	s := n.splits[route.Name]
	if s == nil || !s.Same(route.Parts) {
		s = placement.NewSplit(route.Parts, placement.Phase(n.settings.VM, route.Name))
		n.splits[route.Name] = s
	}
	return s.Next()
}

// regionOf chooses the region that serves a request; the caller holds mu.
func (n *Node) regionOf(r *request, service string) string {
	own := n.settings.Region
	flow := n.flows[service]
	if flow == nil {
		return own
	}
	return flow.Choose(own, placement.Unit(r.place.Object))
}

// forward sends a request to backend servers until one answers.
func (r *request) forward(ctx context.Context) *ingress.Answer {
	for {
		if ctx.Err() != nil {
			return r.reject(statusCallerLeft, 0, "caller left")
		}
		choice, ok := r.choose()
		if !ok {
			return r.giveUp(choice)
		}
		a, again := r.attempt(ctx, choice)
		if !again {
			return a
		}
	}
}

// statusCallerLeft is not sent: nobody reads the answer.
const statusCallerLeft = http.StatusServiceUnavailable

// choose picks a server for the next send, if one more is allowed.
func (r *request) choose() (placement.Choice, bool) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if r.sent > 0 {
		if r.sent >= r.route.MaxAttempts {
			return placement.Choice{Reason: "all attempts used"}, false
		}
	}
	if r.failed > maxConnectFailures {
		return placement.Choice{Reason: placement.NoServer, RetryAfter: unconfiguredRetry}, false
	}
	r.place.Remaining = time.Until(r.deadline)
	r.place.Waited = time.Since(r.in.Arrived)
	choice := n.picker.Pick(now, &r.place)
	r.expected = choice.Expected
	if choice.Server == nil {
		return choice, false
	}
	if r.sent > 0 && !n.budget(r.place.Service).Take(now, n.peers.Size()) {
		choice.Server, choice.Reason, choice.RetryAfter = nil, "retry budget used", retryAfterShed
		return choice, false
	}
	n.picker.Started(now, &r.place, choice)
	return choice, true
}

// retryAfterShed is when a caller may come back after servers shed its
// request: queues move on within some requests' work.
const retryAfterShed = 300 * time.Millisecond

// budget returns the retry budget of a service; the caller holds mu.
func (n *Node) budget(service string) *retrybudget.Budget {
	b := n.budgets[service]
	if b == nil {
		b = retrybudget.New(retrybudget.Limits{
			Ratio: n.bounds.Load().RetryBudgetRatio, Slack: n.bounds.Load().RetryBudgetMargin, Window: n.bounds.Load().RetryBudgetWindow,
		})
		n.budgets[service] = b
	}
	return b
}

// attempt sends the request once. Again is set if another server may get it.
func (r *request) attempt(ctx context.Context, choice placement.Choice) (a *ingress.Answer, again bool) {
	n := r.node
	r.server = choice.Server.ID
	r.place.Tried = append(r.place.Tried, choice.Server.ID)
	begin := time.Now()
	if !r.route.Idempotent {
		// A caller that leaves does not undo what has begun.
		ctx = context.WithoutCancel(ctx)
	}
	got, trace, err := n.pool.Do(ctx, r.call(choice))
	elapsed := time.Since(begin)
	if trace.Sent {
		r.sent++
	} else {
		r.failed++
	}
	result := resultOf(got, err)
	r.learn(choice, got, trace, result, elapsed)
	cause := ""
	if err != nil {
		cause = err.Error()
	} else if result != placement.Succeeded {
		cause = "status " + strconv.Itoa(got.Status)
	}
	n.recordSend(r, choice, result, cause, elapsed)
	if err != nil {
		return r.failedSend(ctx, err)
	}
	return r.answered(got)
}

// learn tells the picker how a send ended.
func (r *request) learn(choice placement.Choice, got *upstream.Answer, trace upstream.Trace, result placement.Result, elapsed time.Duration) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if trace.Sent && r.sent == 1 {
		n.budget(r.place.Service).Request(now)
	}
	n.picker.Finished(now, &r.place, choice, result, elapsed)
	if trace.ConnectTime > 0 {
		n.picker.Connected(choice.Server.Region, trace.ConnectTime)
	}
	if got != nil && got.ServerHeaders.HasLoad {
		n.picker.Reported(now, choice.Server.ID, got.ServerHeaders.Load.Running, got.ServerHeaders.Load.Waiting)
	}
}

func (r *request) call(choice placement.Choice) *upstream.Call {
	left := time.Until(r.deadline)
	header := make(http.Header, len(r.in.Header)+4)
	maps.Copy(header, r.in.Header)
	hop.Remove(header)
	account := ""
	if r.account != nil {
		account = r.account.Name
	}
	adapter.SetServerHeaders(header, choice.Server.ID, account, left)
	return &upstream.Call{
		ServerID: choice.Server.ID, Address: choice.Server.Address, Method: r.in.Method, Target: r.in.RequestURI,
		Host: r.in.Host, Header: header, Body: r.in.Body, HasBody: r.in.ContentLength != 0 || hasBody(r.in.Method),
		AttemptID: r.caller.AttemptID, Idempotent: r.route.Idempotent, Deadline: r.deadline.Add(answerSlack),
	}
}

// hasBody reports whether requests of a method state a length also if they have
// no body.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// failedSend decides what follows a send without an answer.
func (r *request) failedSend(ctx context.Context, err error) (*ingress.Answer, bool) {
	r.reason = err.Error()
	if ctx.Err() != nil {
		return r.reject(statusCallerLeft, 0, "caller left"), false
	}
	if notSent(err) {
		return nil, true
	}
	r.mayHaveRun = true
	if timedOut(err) {
		return r.reject(http.StatusGatewayTimeout, 0, r.reason), false
	}
	if !r.route.Idempotent {
		return r.reject(http.StatusBadGateway, 0, r.reason), false
	}
	return nil, true
}

// answered decides what follows an answer.
func (r *request) answered(got *upstream.Answer) (*ingress.Answer, bool) {
	switch {
	case got.ServerHeaders.NotRun && got.Status != http.StatusBadRequest:
		r.reason = "shed by backend server"
		return nil, true
	case got.Status < http.StatusInternalServerError:
		return r.pass(got), false
	}
	r.reason = "failure answer of backend server"
	r.last = got
	if r.route.Idempotent && got.Status != http.StatusGatewayTimeout {
		return nil, true
	}
	return r.pass(got), false
}

// pass hands an answer on as it is.
func (r *request) pass(got *upstream.Answer) *ingress.Answer {
	hop.Remove(got.Header)
	// The length is written anew for the body that was read.
	got.Header.Del("Content-Length")
	return &ingress.Answer{Status: got.Status, Header: got.Header, Body: got.Body}
}

// giveUp answers a request that no further server gets.
func (r *request) giveUp(choice placement.Choice) *ingress.Answer {
	switch {
	case r.last != nil:
		r.reason += "; " + string(choice.Reason)
		return r.pass(r.last)
	case r.mayHaveRun:
		return r.reject(http.StatusBadGateway, 0, r.reason+"; "+string(choice.Reason))
	default:
		retry := choice.RetryAfter
		if retry == 0 {
			retry = retryAfterShed
		}
		return r.reject(http.StatusServiceUnavailable, retry, string(choice.Reason))
	}
}
