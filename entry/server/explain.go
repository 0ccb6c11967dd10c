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

// Explain implements operator.StatusSource. It takes no tokens and sends no
// requests.
func (s *Server) Explain(query operator.ExplainQuery) operator.Explanation {
	now := time.Now()
	p := s.control.Policy()
	explanation := operator.Explanation{Reasons: []string{fmt.Sprintf("configuration version %d is in force", p.Version)}}
	reject := func(code problem.Code, reason string) operator.Explanation {
		explanation.Rejection = string(code)
		explanation.Reasons = append(explanation.Reasons, reason)
		return explanation
	}
	if !s.control.LeaseValid(now) {
		return reject(problem.CodeEntryNotReady, "this VM has no valid lease")
	}
	explanation.ClientRegion = s.locator.Region(query.Client)
	route := p.MatchRoute(query.Method, query.Path)
	if route == nil {
		return reject(problem.CodeNoRoute, "no declared route has this method and a prefix of this path")
	}
	explanation.Route, explanation.Service, explanation.Idempotent, explanation.DeadlineMS = route.Name, route.Service, route.Idempotent, route.Deadline.Milliseconds()
	if !route.Open || query.KeySHA256 != "" {
		account, reason := accountByKeyHash(p, query.KeySHA256)
		explanation.Reasons = append(explanation.Reasons, reason)
		if account == nil {
			return reject(problem.CodeKeyUnknown, "the request would not be admitted without a key in force")
		}
		s.explainAccount(&explanation, now, account)
	}
	s.explainService(&explanation, now, route.Service)
	return explanation
}

func accountByKeyHash(p *policy.Policy, digest string) (*policy.Account, string) {
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
		limit := s.toLimit(l)
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
	e.Regions = s.regions.preferenceOrder(service)
	bestServer := ""
	lowestScore := 0.0
	for _, b := range service.Status(now) {
		if b.Leaving || b.Ejected != balance.NotEjected {
			e.Reasons = append(e.Reasons, fmt.Sprintf("backend server %s is passed over: leaving %v, ejected %q", b.Name, b.Leaving, b.Ejected))
			continue
		}
		if len(e.Regions) > 0 && b.Region == e.Regions[0] && (bestServer == "" || b.Score < lowestScore) {
			bestServer, lowestScore = b.Name, b.Score
		}
	}
	e.BackendServer = bestServer
	e.Reasons = append(e.Reasons, "the backend server shown has the lowest score of the first region; a request chooses between two random ones and it")
}
