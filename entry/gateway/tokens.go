package gateway

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

// grantTimeout is how long to wait for the owner of an account. Round trips
// within a region take a few milliseconds, and a lost message must not make a
// request miss its objective.
const grantTimeout = 40 * time.Millisecond

// tokenRequest is the message that requests tokens from the owner of an
// account.
type tokenRequest struct {
	ID uint64 `json:"id"`
	// From is the address for the reply.
	From    string `json:"from"`
	Account string `json:"account"`
	Want    int    `json:"want"`
	// Used is the number of requests since the last token request, this one
	// included.
	Used int `json:"used"`
}

// tokenGrant is the reply to a tokenRequest. If Tokens is 0, WaitMS is the time
// until there will be one.
type tokenGrant struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// takeToken counts a request against the rate of its account. It reports
// whether the rate allows the request, and if not, how long to wait until it
// may.
func (n *Node) takeToken(ctx context.Context, a *steering.Account) (ok bool, wait time.Duration) {
	n.mu.Lock()
	now := n.now()
	tokenCache := n.tokenCaches[a.Name]
	if tokenCache == nil {
		tokenCache = &ratelimit.TokenCache{}
		n.tokenCaches[a.Name] = tokenCache
	}
	if tokenCache.Take(now) {
		n.mu.Unlock()
		return true, 0
	}
	owner := n.rateOwners[a.Name]
	ownerVM := n.view.Load().VMs[owner]
	if owner == n.settings.VM || ownerVM == nil {
		defer n.mu.Unlock()
		n.demandMeter.AddRequests(a.Name, tokenCache.TakeUsed())
		return n.bucketOf(a, owner == n.settings.VM).Take(now)
	}
	n.lastTokenRequestID++
	req := tokenRequest{ID: n.lastTokenRequestID, From: n.peerAddress(), Account: a.Name, Want: tokenCache.Want(), Used: tokenCache.TakeUsed()}
	reply := make(chan tokenGrant, 1)
	n.pendingGrants[req.ID] = reply
	n.mu.Unlock()
	n.sendMessage(ownerVM.PeerAddress, peerMessage{TokenRequest: &req})
	return n.awaitGrant(ctx, a, req.ID, reply)
}

// awaitGrant waits for the owner's reply and uses the fallback bucket if there
// is none in time.
func (n *Node) awaitGrant(ctx context.Context, a *steering.Account, id uint64, reply <-chan tokenGrant) (bool, time.Duration) {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	var g tokenGrant
	replied := false
	select {
	case g = <-reply:
		replied = true
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pendingGrants, id)
	now := n.now()
	switch {
	case !replied:
		n.metrics.Count(1, "tokens", "unanswered")
		return n.bucketOf(a, false).Take(now)
	case g.Tokens == 0:
		return false, time.Duration(g.WaitMS) * time.Millisecond
	}
	if tokenCache := n.tokenCaches[a.Name]; tokenCache != nil {
		tokenCache.Add(now, g.Tokens-1)
	}
	return true, 0
}

// bucketOf returns the bucket of an account that this VM owns, or the fallback
// bucket of another account. The caller holds mu.
func (n *Node) bucketOf(a *steering.Account, isOwner bool) *ratelimit.Bucket {
	now := n.now()
	if isOwner {
		b := n.buckets[a.Name]
		if b == nil {
			b = &ratelimit.Bucket{}
			n.buckets[a.Name] = b
			n.startBucket(now, b, a, n.peers.RateShare(now, a.Name, a.RatePerSecond))
		}
		return b
	}
	b := n.fallbackBuckets[a.Name]
	if b == nil {
		b = &ratelimit.Bucket{}
		n.fallbackBuckets[a.Name] = b
		n.startBucket(now, b, a, n.peers.EqualShare())
	}
	return b
}

// shareLimits returns the rate and burst for a share of an account's rate.
func (n *Node) shareLimits(a *steering.Account, share float64) (rate, burst float64) {
	return n.allowance().ShareLimits(a.RatePerSecond, a.Burst, share)
}

func (n *Node) allowance() ratelimit.Allowance {
	bounds := n.bounds.Load()
	return ratelimit.Allowance{Tolerance: bounds.RateTolerance, Margin: bounds.RateMargin}
}

// startBucket fills a new bucket for a share of an account's rate.
func (n *Node) startBucket(now time.Duration, b *ratelimit.Bucket, a *steering.Account, share float64) {
	rate, burst := n.shareLimits(a, share)
	b.Init(now, rate, burst, n.allowance().InitialTokens(a.Burst, share))
}

// handleTokenRequest answers another VM's request for tokens. The caller holds
// mu.
func (n *Node) handleTokenRequest(now time.Duration, req tokenRequest) (peerMessage, string) {
	view := n.view.Load()
	g := tokenGrant{ID: req.ID}
	a := (*steering.Account)(nil)
	if view.Config != nil {
		a = view.Config.Accounts[req.Account]
	}
	if a == nil || a.RatePerSecond <= 0 {
		// The account is new or was deleted: the other VM uses its fallback
		// bucket.
		return peerMessage{}, ""
	}
	n.peers.HandleTokenRequest(now, req.From)
	n.demandMeter.AddRequests(req.Account, req.Used)
	tokens, wait := n.bucketOf(a, true).Grant(now, req.Want)
	g.Tokens, g.WaitMS = tokens, wait.Milliseconds()
	return peerMessage{TokenGrant: &g}, req.From
}

// handleTokenGrant passes tokens to the request that waits for them. The caller
// holds mu.
func (n *Node) handleTokenGrant(g tokenGrant) {
	if reply := n.pendingGrants[g.ID]; reply != nil {
		reply <- g
		delete(n.pendingGrants, g.ID)
	}
}

// updateRates sets the owners of the accounts and this VM's shares of their
// rates. The caller holds mu.
func (n *Node) updateRates(now time.Duration, view *catalog.View) {
	fallbackShare := n.peers.EqualShare()
	for name, a := range view.Config.Accounts {
		n.rateOwners[name] = n.peers.RateOwner(now, n.settings.Region, name)
		if b := n.buckets[name]; b != nil {
			rate, burst := n.shareLimits(a, n.peers.RateShare(now, name, a.RatePerSecond))
			b.SetLimits(now, rate, burst)
		}
		if b := n.fallbackBuckets[name]; b != nil {
			rate, burst := n.shareLimits(a, fallbackShare)
			b.SetLimits(now, rate, burst)
		}
	}
	for name := range n.rateOwners {
		if view.Config.Accounts[name] == nil {
			delete(n.rateOwners, name)
			delete(n.buckets, name)
			delete(n.fallbackBuckets, name)
			delete(n.tokenCaches, name)
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
	if n.rateOwners[a.Name] == n.settings.VM {
		n.bucketOf(a, true).PutBack()
	} else if tokenCache := n.tokenCaches[a.Name]; tokenCache != nil {
		tokenCache.Add(n.now(), 1)
	}
}
