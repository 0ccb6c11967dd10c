package server

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/entry/operator"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// Explain implements operator.Source. It takes no tokens and sends nothing.
func (s *Server) Explain(q operator.ExplainQuery) operator.Explanation {
	now := time.Now()
	p := s.control.Policy()
	e := operator.Explanation{Reasons: []string{fmt.Sprintf("configuration version %d is in force", p.Version)}}
	reject := func(code problem.Code, reason string) operator.Explanation {
		e.Rejection = string(code)
		e.Reasons = append(e.Reasons, reason)
		return e
	}
	if !s.control.LeaseValid(now) {
		return reject(problem.CodeEntryNotReady, "this VM has no valid lease")
	}
	e.ClientRegion = s.locator.Region(q.Client)
	route := p.MatchRoute(q.Method, q.Path)
	if route == nil {
		return reject(problem.CodeNoRoute, "no declared route has this method and a prefix of this path")
	}
	e.Route, e.Service, e.Idempotent, e.DeadlineMS = route.Name, route.Service, route.Idempotent, route.Deadline.Milliseconds()
	if !route.Open || q.KeySHA256 != "" {
		account, reason := accountByHash(p, q.KeySHA256)
		e.Reasons = append(e.Reasons, reason)
		if account == nil {
			return reject(problem.CodeKeyUnknown, "the request would not be admitted without a key in force")
		}
		s.explainAccount(&e, now, account)
	}
	s.explainService(&e, now, route.Service)
	return e
}

func accountByHash(p *policy.Policy, digest string) (*policy.Account, string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || digest == "" {
		return nil, "no key was given, or its SHA-256 is malformed"
	}
	account := p.AccountByKeyHash(raw)
	if account == nil {
		return nil, "no key with this SHA-256 is declared"
	}
	return account, "the key belongs to client account " + account.Name
}

func (s *Server) explainAccount(e *operator.Explanation, now time.Time, account *policy.Account) {
	e.Account = account.Name
	for _, l := range s.control.LimitStatus(now) {
		if l.Limit.Name != account.Limit {
			continue
		}
		limit := s.limit(l)
		e.Limit = &limit
		reason := "this VM holds tokens of the account's limit: the request would be admitted"
		if l.Tokens < 1 {
			reason = "this VM holds no token of the account's limit: the request would wait for a peer's units"
		}
		e.Reasons = append(e.Reasons, reason)
	}
}

func (s *Server) explainService(e *operator.Explanation, now time.Time, name string) {
	service := s.services.Service(name)
	if service == nil {
		e.Rejection = string(problem.CodeNoBackendServer)
		return
	}
	e.Regions = s.regions.order(service)
	best := ""
	lowest := 0.0
	for _, b := range service.Status(now) {
		if b.Leaving || b.Ejected != balance.NotEjected {
			e.Reasons = append(e.Reasons, fmt.Sprintf("backend server %s is passed over: leaving %v, ejected %q", b.Name, b.Leaving, b.Ejected))
			continue
		}
		if len(e.Regions) > 0 && b.Region == e.Regions[0] && (best == "" || b.Score < lowest) {
			best, lowest = b.Name, b.Score
		}
	}
	e.BackendServer = best
	e.Reasons = append(e.Reasons, "the backend server shown has the lowest score of the first region; a request chooses between two random ones and it")
}
