package gateway

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

// grantValidity is how long the answer to a token request may still arrive.
const grantValidity = 2 * time.Second

// tokenRequest is the message that requests tokens from the owner of an
// account.
type tokenRequest struct {
	ID uint64 `json:"id"`
	// From is the address for the reply, Incarnation the start of that VM.
	From        string `json:"from"`
	Incarnation int64  `json:"born,omitempty"`
	Account     string `json:"account"`
	ratelimit.Request
}

// tokenGrant is the reply to a tokenRequest. If Tokens is 0, WaitMS is the time
// until there will be one.
type tokenGrant struct {
	ID      uint64 `json:"id"`
	Tokens  int    `json:"tokens"`
	WaitMS  int64  `json:"wait_ms,omitempty"`
	Settled uint64 `json:"settled,omitempty"`
	// Pending announces a later answer.
	Pending bool `json:"pending,omitempty"`
	// FillPercent is how full the owner's bucket is. VMs of earlier versions do not say.
	FillPercent *int `json:"fill,omitempty"`
}

func newTokenGrant(id uint64, g ratelimit.Grant) tokenGrant {
	message := tokenGrant{ID: id, Tokens: g.Tokens, WaitMS: g.Wait.Milliseconds(), Settled: g.Settled, Pending: g.Pending}
	if g.HasFill {
		percent := int(100 * g.Fill)
		message.FillPercent = &percent
	}
	return message
}

// grant returns the grant that the message brings.
func (m tokenGrant) grant() ratelimit.Grant {
	g := ratelimit.Grant{Tokens: m.Tokens, Wait: time.Duration(m.WaitMS) * time.Millisecond, Settled: m.Settled, Pending: m.Pending}
	if m.FillPercent != nil {
		g.Fill, g.HasFill = float64(*m.FillPercent)/100, true
	}
	return g
}

// replyCapacity is the number of answers to one token request: one may announce another.
const replyCapacity = 2

// pendingGrant is a token request that was not answered yet.
type pendingGrant struct {
	account string
	sentAt  time.Duration
	// reply is nil once no request waits for the answer any more.
	reply chan ratelimit.Grant
}

// takeToken counts a request against the rate of its account. It reports
// whether the rate allows the request, and if not, how long to wait until it
// may.
func (n *Node) takeToken(ctx context.Context, a *steering.Account) (ok bool, wait time.Duration) {
	n.mu.Lock()
	now := n.now()
	requester := n.requesterOf(now, a)
	if requester.Take(now) {
		n.mu.Unlock()
		return true, 0
	}
	owner := n.rateOwners[a.Name]
	ownerVM := n.view.Load().VMs[owner]
	if owner == n.settings.VM || ownerVM == nil {
		n.demandMeter.AddRequests(a.Name, requester.TakeUsed())
		if owner == n.settings.VM {
			return n.takeOwnToken(ctx, now, a)
		}
		defer n.mu.Unlock()
		requester.LoseOwner()
		return requester.TakeCredit(now)
	}
	n.lastTokenRequestID++
	req := tokenRequest{
		ID: n.lastTokenRequestID, From: n.peerAddress(), Incarnation: n.incarnation, Account: a.Name, Request: requester.Request(now, owner),
	}
	reply := make(chan ratelimit.Grant, replyCapacity)
	n.pendingGrants[req.ID] = &pendingGrant{account: a.Name, sentAt: now, reply: reply}
	n.mu.Unlock()
	n.sendMessage(ownerVM.PeerAddress, peerMessage{TokenRequest: &req})
	return n.awaitGrant(ctx, a, req.ID, reply)
}

// awaitGrant waits for the owner's reply. If there is none in time, the request is
// admitted on credit or waits a little longer.
func (n *Node) awaitGrant(ctx context.Context, a *steering.Account, id uint64, reply <-chan ratelimit.Grant) (ok bool, wait time.Duration) {
	for _, timeout := range []time.Duration{ratelimit.GrantTimeout, ratelimit.GrantTimeoutWithoutCredit - ratelimit.GrantTimeout} {
		timer := time.NewTimer(timeout)
		select {
		case g := <-reply:
			timer.Stop()
			if g.Pending {
				return n.awaitPendingGrant(ctx, id, reply, ratelimit.BorrowTimeout)
			}
			return g.Tokens > 0, g.Wait
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		if ok, wait = n.takeCredit(a, id, reply); ok || ctx.Err() != nil {
			return ok, wait
		}
	}
	n.forgetReply(id)
	return false, wait
}

// takeCredit admits a request on credit, unless the owner's reply has arrived
// meanwhile.
func (n *Node) takeCredit(a *steering.Account, id uint64, reply <-chan ratelimit.Grant) (ok bool, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case g := <-reply:
		if !g.Pending {
			return g.Tokens > 0, g.Wait
		}
	default:
	}
	n.metrics.Count(1, "tokens", "unanswered")
	now := n.now()
	ok, wait = n.requesterOf(now, a).TakeCredit(now)
	// A process that was suspended has dropped the pending grant already.
	if p := n.pendingGrants[id]; p != nil && ok {
		p.reply = nil
	}
	return ok, wait
}

// requesterOf returns the requester of an account. The caller holds mu.
func (n *Node) requesterOf(now time.Duration, a *steering.Account) *ratelimit.Requester {
	r := n.requesters[a.Name]
	if r == nil {
		r = ratelimit.NewRequester(now, n.creditLimits(a))
		n.requesters[a.Name] = r
		if estimate := n.burstEstimates[a.Name]; estimate != nil {
			r.EstimateFill(estimate)
		}
	}
	return r
}

// estimateBursts follows the bursts of all accounts with a new digest. The caller holds mu.
func (n *Node) estimateBursts(now time.Duration, view *catalog.View) {
	digest, fresh := n.peers.Digest(now)
	if !fresh {
		return
	}
	for name, a := range view.Config.Accounts {
		if a.RatePerSecond <= 0 {
			continue
		}
		estimate := n.burstEstimates[name]
		if estimate == nil {
			estimate = &ratelimit.BurstEstimate{}
			n.burstEstimates[name] = estimate
		}
		rate, burst := n.allowance().ShareLimits(a.RatePerSecond, a.Burst, 1)
		estimate.Observe(now, rate, burst, digest.Demand[name])
		if r := n.requesters[name]; r != nil {
			r.EstimateFill(estimate)
		}
	}
}

// creditLimits returns the limits of what this VM may admit of an account while the
// owner does not answer.
func (n *Node) creditLimits(a *steering.Account) ratelimit.CreditLimits {
	return n.allowance().CreditLimits(a.RatePerSecond, a.Burst, n.peers.RosterSize())
}

// bucketOf returns the bucket of an account that this VM owns. The caller holds mu.
func (n *Node) bucketOf(now time.Duration, a *steering.Account) *ratelimit.OwnerBucket {
	b := n.buckets[a.Name]
	if b == nil {
		b = n.allowance().NewBucket(now, a.RatePerSecond, a.Burst, n.peers.RateShare(now, a.Name, a.RatePerSecond))
		n.buckets[a.Name] = b
	}
	return b
}

// setShare updates the limits of an owner's bucket. The caller holds mu.
func (n *Node) setShare(now time.Duration, b *ratelimit.OwnerBucket, a *steering.Account) {
	n.allowance().SetShare(now, b, a.RatePerSecond, a.Burst, n.peers.RateShare(now, a.Name, a.RatePerSecond), n.peers.IsStarting())
}

func (n *Node) allowance() ratelimit.Allowance {
	bounds := n.bounds.Load()
	return ratelimit.Allowance{Tolerance: bounds.RateTolerance, Margin: bounds.RateMargin, Window: bounds.RateWindow}
}

// handleTokenRequest answers another VM's request for tokens. The caller holds
// mu.
func (n *Node) handleTokenRequest(now time.Duration, req tokenRequest) []addressedMessage {
	view := n.view.Load()
	a := (*steering.Account)(nil)
	if view.Config != nil {
		a = view.Config.Accounts[req.Account]
	}
	if a == nil || a.RatePerSecond <= 0 {
		// The account is new or was deleted: the other VM admits on credit.
		return nil
	}
	n.peers.HandleTokenRequest(now, req.From)
	n.demandMeter.AddRequests(req.Account, req.Used)
	b := n.bucketOf(now, a)
	if n.peers.IsStarting() {
		n.setShare(now, b, a)
	}
	g := b.GrantTo(now, ratelimit.RequesterID{Address: req.From, Incarnation: req.Incarnation}, req.Request)
	messages := n.borrow(now, a, b)
	if g.Tokens == 0 {
		g.Pending = n.addTokenWaiter(now, b, req, req.From)
	}
	grant := newTokenGrant(req.ID, g)
	return append(messages, addressedMessage{req.From, peerMessage{TokenGrant: &grant}})
}

// handleTokenGrant passes the answer of an owner on to the request that waits for it.
// The tokens of an answer that comes late are kept for other requests. The caller
// holds mu.
func (n *Node) handleTokenGrant(now time.Duration, message tokenGrant) {
	p := n.pendingGrants[message.ID]
	if p == nil {
		return
	}
	g := message.grant()
	if g.Pending {
		if p.reply != nil && len(p.reply) == 0 {
			p.reply <- g
		}
		return
	}
	delete(n.pendingGrants, message.ID)
	requester := n.requesters[p.account]
	if requester == nil {
		return
	}
	if p.reply == nil {
		n.metrics.Count(1, "tokens", "late")
		requester.HandleGrant(now, g, true)
		return
	}
	p.reply <- g
	g.Tokens = max(0, g.Tokens-1)
	requester.HandleGrant(now, g, false)
}

// dropPendingGrants forgets token requests whose answer was lost. The caller holds
// mu.
func (n *Node) dropPendingGrants(now time.Duration) {
	for id, p := range n.pendingGrants {
		if now-p.sentAt > grantValidity {
			delete(n.pendingGrants, id)
		}
	}
}

// updateRates sets the owners of the accounts and this VM's shares of their
// rates. The caller holds mu.
func (n *Node) updateRates(now time.Duration, view *catalog.View) {
	for name, a := range view.Config.Accounts {
		n.rateOwners[name] = n.peers.RateOwner(now, n.settings.Region, name)
		if b := n.buckets[name]; b != nil {
			n.setShare(now, b, a)
		}
		if r := n.requesters[name]; r != nil {
			r.SetCreditLimits(now, n.creditLimits(a))
		}
	}
	for name := range n.rateOwners {
		if view.Config.Accounts[name] == nil {
			delete(n.rateOwners, name)
			delete(n.buckets, name)
			delete(n.requesters, name)
			delete(n.burstEstimates, name)
		}
	}
}

// returnToken gives back the token of a request that did not reach a backend
// server.
func (n *Node) returnToken(a *steering.Account) {
	if a == nil || a.RatePerSecond <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if n.rateOwners[a.Name] == n.settings.VM {
		n.bucketOf(now, a).PutBack()
	} else {
		n.requesterOf(now, a).PutBack(now)
	}
}
