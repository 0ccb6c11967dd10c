package gateway

import (
	"context"
	"time"

	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
)

// maxTokenWaiters bounds the token requests of an account that wait for lenders.
const maxTokenWaiters = 256

// loanRequest asks the owner of an account in another region for tokens.
type loanRequest struct {
	// From is the address for the answer, Incarnation the start of that VM and SentAt
	// the time on its clock.
	From        string        `json:"from"`
	Incarnation int64         `json:"born"`
	SentAt      time.Duration `json:"sent"`
	Account     string        `json:"account"`
	Want        int           `json:"want"`
}

// loan is the answer to a loanRequest.
type loan struct {
	Incarnation int64         `json:"born"`
	SentAt      time.Duration `json:"sent"`
	Account     string        `json:"account"`
	Tokens      int           `json:"tokens"`
}

// tokenWaiter is a token request that waits for the tokens of other owners. An empty
// address means a request of this VM.
type tokenWaiter struct {
	request tokenRequest
	address string
	until   time.Duration
}

// addressedMessage is a message to another VM that is sent once mu is released.
type addressedMessage struct {
	address string
	message peerMessage
}

func (n *Node) sendAll(messages []addressedMessage) {
	for _, m := range messages {
		n.sendMessage(m.address, m.message)
	}
}

// borrow returns the requests for tokens of an account that this VM owns, if it needs
// any. The caller holds mu.
func (n *Node) borrow(now time.Duration, a *steering.Account, b *ratelimit.OwnerBucket) []addressedMessage {
	if !b.NeedsLoan(now) {
		return nil
	}
	n.loanTurn++
	var addresses []string
	vms := n.view.Load().VMs
	for _, owner := range n.peers.OwnersElsewhere(now, a.Name, ratelimit.LendersPerRound, n.loanTurn) {
		if vm := vms[owner]; vm != nil {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	want := b.Borrow(now, len(addresses))
	if want == 0 {
		return nil
	}
	n.metrics.Count(1, "loans", "requested")
	request := loanRequest{From: n.peerAddress(), Incarnation: n.incarnation, SentAt: now, Account: a.Name, Want: want}
	var messages []addressedMessage
	for _, address := range addresses {
		messages = append(messages, addressedMessage{address, peerMessage{LoanRequest: &request}})
	}
	return messages
}

// handleLoanRequest lends tokens of an account that this VM owns to the owner in another
// region. The caller holds mu.
func (n *Node) handleLoanRequest(now time.Duration, req loanRequest) addressedMessage {
	answer := loan{Incarnation: req.Incarnation, SentAt: req.SentAt, Account: req.Account}
	view := n.view.Load()
	if b := n.buckets[req.Account]; b != nil && view.Config != nil && view.Config.Accounts[req.Account] != nil &&
		n.rateOwners[req.Account] == n.settings.VM && n.peers.CountsAsActive(now) {
		answer.Tokens = b.Lend(now, req.Want)
	}
	if answer.Tokens > 0 {
		n.metrics.Count(int64(answer.Tokens), "loans", "lent_tokens")
	}
	return addressedMessage{req.From, peerMessage{Loan: &answer}}
}

// handleLoan adds borrowed tokens and answers the requests that waited for them. The
// caller holds mu.
func (n *Node) handleLoan(now time.Duration, l loan) []addressedMessage {
	b := n.buckets[l.Account]
	if b == nil || l.Incarnation != n.incarnation || l.SentAt > now {
		return nil
	}
	b.Borrowed(now, l.SentAt, l.Tokens)
	return n.answerTokenWaiters(now, l.Account, b)
}

// answerTokenWaiters answers the requests that wait for borrowed tokens, all of them if
// no further tokens are expected. The caller holds mu.
func (n *Node) answerTokenWaiters(now time.Duration, account string, b *ratelimit.OwnerBucket) []addressedMessage {
	waiters := n.tokenWaiters[account]
	if len(waiters) == 0 {
		return nil
	}
	delete(n.tokenWaiters, account)
	var messages []addressedMessage
	config := n.view.Load().Config
	if config != nil && config.Accounts[account] != nil && b.BorrowedSome() {
		messages = n.borrow(now, config.Accounts[account], b)
	}
	final := !b.IsBorrowing(now)
	for _, w := range waiters {
		from := ratelimit.RequesterID{Address: w.request.From, Incarnation: w.request.Incarnation}
		// The demand of the request was counted when it came.
		w.request.Used = 0
		g := b.GrantTo(now, from, w.request.Request)
		if g.Tokens == 0 && !final && now < w.until {
			n.tokenWaiters[account] = append(n.tokenWaiters[account], w)
			continue
		}
		grant := newTokenGrant(w.request.ID, g)
		if w.address == "" {
			n.handleTokenGrant(now, grant)
			continue
		}
		messages = append(messages, addressedMessage{w.address, peerMessage{TokenGrant: &grant}})
	}
	return messages
}

// answerOverdueWaiters answers the requests whose lenders did not. The caller holds mu.
func (n *Node) answerOverdueWaiters(now time.Duration) []addressedMessage {
	var messages []addressedMessage
	for account := range n.tokenWaiters {
		b := n.buckets[account]
		switch {
		case b == nil:
			delete(n.tokenWaiters, account)
		case !b.IsBorrowing(now):
			messages = append(messages, n.answerTokenWaiters(now, account, b)...)
		}
	}
	return messages
}

// addTokenWaiter lets a token request wait for lenders if their answers are awaited. The
// caller holds mu.
func (n *Node) addTokenWaiter(now time.Duration, b *ratelimit.OwnerBucket, request tokenRequest, address string) bool {
	if !b.IsBorrowing(now) || len(n.tokenWaiters[request.Account]) >= maxTokenWaiters {
		return false
	}
	n.tokenWaiters[request.Account] = append(n.tokenWaiters[request.Account], tokenWaiter{request, address, now + ratelimit.BorrowTimeout})
	return true
}

// takeOwnToken takes a token of an account that this VM owns. The caller holds mu, which
// is released.
func (n *Node) takeOwnToken(ctx context.Context, now time.Duration, a *steering.Account) (ok bool, wait time.Duration) {
	b := n.bucketOf(now, a)
	ok, wait = b.Take(now)
	messages := n.borrow(now, a, b)
	if ok {
		n.mu.Unlock()
		n.sendAll(messages)
		return true, 0
	}
	n.lastTokenRequestID++
	req := tokenRequest{ID: n.lastTokenRequestID, From: n.peerAddress(), Incarnation: n.incarnation, Account: a.Name, Request: ratelimit.Request{Want: 1}}
	if !n.addTokenWaiter(now, b, req, "") {
		n.mu.Unlock()
		n.sendAll(messages)
		return false, wait
	}
	reply := make(chan ratelimit.Grant, replyCapacity)
	n.pendingGrants[req.ID] = &pendingGrant{account: a.Name, sentAt: now, reply: reply}
	n.mu.Unlock()
	n.sendAll(messages)
	return n.awaitPendingGrant(ctx, req.ID, reply, wait)
}

// awaitPendingGrant waits for an answer that the owner has announced. Without one, the
// request is rejected with the given wait.
func (n *Node) awaitPendingGrant(ctx context.Context, id uint64, reply <-chan ratelimit.Grant, wait time.Duration) (bool, time.Duration) {
	timer := time.NewTimer(ratelimit.PendingGrantTimeout)
	defer timer.Stop()
	select {
	case g := <-reply:
		return g.Tokens > 0, g.Wait
	case <-timer.C:
	case <-ctx.Done():
	}
	n.forgetReply(id)
	return false, wait
}

// forgetReply records that no request waits for an answer any more.
func (n *Node) forgetReply(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.pendingGrants[id]; p != nil {
		p.reply = nil
	}
}
