package gateway

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

// grantTimeout is how long the VM that counts an account is awaited. Round
// trips within a region take a few milliseconds; a lost message must not cost a
// caller its objective.
const grantTimeout = 40 * time.Millisecond

// take asks the VM that counts an account for tokens.
type take struct {
	ID uint64 `json:"id"`
	// From is the address for the answer.
	From    string `json:"from"`
	Account string `json:"account"`
	Want    int    `json:"want"`
	// Used is the number of requests since the last question, this one
	// included.
	Used int `json:"used"`
}

// grant answers a take. Without tokens, WaitMS is when there will be one.
type grant struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
	WaitMS int64  `json:"wait_ms,omitempty"`
}

// takeToken counts a request of an account. It reports whether the account is
// within its rate, and if not, when it may be.
func (n *Node) takeToken(ctx context.Context, a *steering.Account) (ok bool, wait time.Duration) {
	n.mu.Lock()
	now := n.now()
	wallet := n.wallets[a.Name]
	if wallet == nil {
		wallet = &ratelimit.Wallet{}
		n.wallets[a.Name] = wallet
	}
	if wallet.Take(now) {
		n.mu.Unlock()
		return true, 0
	}
	counter := n.counters[a.Name]
	target := n.view.Load().VMs[counter]
	if counter == n.settings.VM || target == nil {
		defer n.mu.Unlock()
		n.demand.Add(a.Name, wallet.Used())
		return n.bucketOf(a, counter == n.settings.VM).Take(now)
	}
	n.asked++
	question := take{ID: n.asked, From: n.exchangeAddress(), Account: a.Name, Want: wallet.Want(), Used: wallet.Used()}
	reply := make(chan grant, 1)
	n.grants[question.ID] = reply
	n.mu.Unlock()
	n.send(target.Exchange, datagram{TokenRequest: &question})
	return n.awaitGrant(ctx, a, question.ID, reply)
}

func (n *Node) awaitGrant(ctx context.Context, a *steering.Account, id uint64, reply <-chan grant) (bool, time.Duration) {
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	var g grant
	answered := false
	select {
	case g = <-reply:
		answered = true
	case <-timer.C:
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.grants, id)
	now := n.now()
	switch {
	case !answered:
		n.metrics.Count(1, "tokens", "unanswered")
		return n.bucketOf(a, false).Take(now)
	case g.Tokens == 0:
		return false, time.Duration(g.WaitMS) * time.Millisecond
	}
	if w := n.wallets[a.Name]; w != nil {
		w.Put(now, g.Tokens-1)
	}
	return true, 0
}

// bucketOf returns the bucket of an account that this VM counts, or the reserve
// for an account that it does not; the caller holds mu.
func (n *Node) bucketOf(a *steering.Account, counts bool) *ratelimit.Bucket {
	now := n.now()
	if counts {
		b := n.buckets[a.Name]
		if b == nil {
			b = &ratelimit.Bucket{}
			n.buckets[a.Name] = b
			n.startBucket(now, b, a, n.peers.Part(now, a.Name, a.Rate))
		}
		return b
	}
	b := n.reserves[a.Name]
	if b == nil {
		b = &ratelimit.Bucket{}
		n.reserves[a.Name] = b
		n.startBucket(now, b, a, n.peers.OwnPart())
	}
	return b
}

// share returns the rate and burst of a part of an account's rate.
func (n *Node) share(a *steering.Account, part float64) (rate, burst float64) {
	return n.allowance().Share(a.Rate, a.Burst, part)
}

func (n *Node) allowance() ratelimit.Allowance {
	bounds := n.bounds.Load()
	return ratelimit.Allowance{Tolerance: bounds.RateTolerance, Slack: bounds.RateMargin}
}

// startBucket fills a new bucket for a part of an account's rate.
func (n *Node) startBucket(now time.Duration, b *ratelimit.Bucket, a *steering.Account, part float64) {
	rate, burst := n.share(a, part)
	b.Start(now, rate, burst, n.allowance().First(a.Burst, part))
}

// handleTake answers a VM that asks for tokens; the caller holds mu.
func (n *Node) handleTake(now time.Duration, t take) (datagram, string) {
	view := n.view.Load()
	g := grant{ID: t.ID}
	a := (*steering.Account)(nil)
	if view.Config != nil {
		a = view.Config.Accounts[t.Account]
	}
	if a == nil || a.Rate <= 0 {
		// The account is new or gone: the other VM decides by its reserve.
		return datagram{}, ""
	}
	n.peers.HandleAsk(now, t.From)
	n.demand.Add(t.Account, t.Used)
	tokens, wait := n.bucketOf(a, true).Grant(now, t.Want)
	g.Tokens, g.WaitMS = tokens, wait.Milliseconds()
	return datagram{TokenGrant: &g}, t.From
}

// handleGrant hands tokens to the request that waits for them; the caller holds
// mu.
func (n *Node) handleGrant(g grant) {
	if reply := n.grants[g.ID]; reply != nil {
		reply <- g
		delete(n.grants, g.ID)
	}
}

// setRates gives the buckets this VM's parts of the accounts' rates and decides
// who counts which account; the caller holds mu.
func (n *Node) setRates(now time.Duration, view *catalog.View) {
	own := n.peers.OwnPart()
	for name, a := range view.Config.Accounts {
		n.counters[name] = n.peers.Counter(now, n.settings.Region, name)
		if b := n.buckets[name]; b != nil {
			rate, burst := n.share(a, n.peers.Part(now, name, a.Rate))
			b.Set(now, rate, burst)
		}
		if b := n.reserves[name]; b != nil {
			rate, burst := n.share(a, own)
			b.Set(now, rate, burst)
		}
	}
	for name := range n.counters {
		if view.Config.Accounts[name] == nil {
			delete(n.counters, name)
			delete(n.buckets, name)
			delete(n.reserves, name)
			delete(n.wallets, name)
		}
	}
}

// returnToken gives back the token of a request that did not reach a server.
func (n *Node) returnToken(a *steering.Account) {
	if a == nil || a.Rate <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counters[a.Name] == n.settings.VM {
		n.bucketOf(a, true).Return()
	} else if w := n.wallets[a.Name]; w != nil {
		w.Put(n.now(), 1)
	}
}
