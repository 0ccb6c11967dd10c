package steersim

import (
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// rateTolerance (a fraction of the rate and burst) and rateMargin (requests)
	// bound by how much an account may exceed its limit within rateWindow. They
	// are those of the users' deployments.
	rateTolerance = 0.1
	rateMargin    = 20
	rateWindow    = 5 * time.Second
	// wrongfulTarget and wrongfulTargetAfterKill are the targets of issue 9 for
	// the fraction of rejected requests of accounts that keep within their rates.
	wrongfulTarget          = 0.001
	wrongfulTargetAfterKill = 0.01
	// measurementStart leaves out the first seconds, in which the VMs have not
	// exchanged reports yet.
	measurementStart = 5 * time.Second
	moveAt           = 15 * time.Second
	killAt           = 15 * time.Second
)

// account is a client account with its limit and the demand of its callers.
type account struct {
	name        string
	rate, burst float64
	// requestRate returns the requests per second in a region.
	requestRate func(region int, now time.Duration) float64
}

// rateAccounts returns three accounts: "hot" sends three times its rate, all
// callers of "moving" change to another region at once, and "steady" stays below
// its rate.
func rateAccounts(regions int) []account {
	return []account{
		{"hot", 100, 30, func(int, time.Duration) float64 { return 300 / float64(regions) }},
		{"moving", 100, 30, func(region int, now time.Duration) float64 {
			if now < moveAt && region == 0 || now >= moveAt && region == 1 {
				return 80
			}
			return 0
		}},
		{"steady", 100, 30, func(int, time.Duration) float64 { return 70 / float64(regions) }},
	}
}

// rateWorld is one run in which VMs limit the request rates of client accounts.
type rateWorld struct {
	*virtual.Clock
	site site
	rnd  *rand.Rand
	vms  []*rateVM
	// equalShares gives each VM an equal share of each rate, instead of buckets
	// at the owner of the account.
	equalShares bool
	admittedAt  map[string][]time.Duration
	requests    map[string]int
	rejections  map[string]int
}

// rateVM is a gateway as far as it limits rates.
type rateVM struct {
	*peer
	world      *rateWorld
	buckets    map[string]*ratelimit.OwnerBucket
	requesters map[string]*ratelimit.Requester
	// equalBuckets limit the VM if each one has an equal share.
	equalBuckets map[string]*ratelimit.Bucket
	// waiting are the token requests that wait for borrowed tokens, by account.
	waiting map[string][]func(final bool) bool
}

// simulateRates runs the accounts on a site. With kill, the VM that owns the
// account "steady" in the first region is killed at killAt.
func simulateRates(s site, equalShares bool, kill bool, seed uint64) *rateWorld {
	w := &rateWorld{
		Clock: virtual.New(), site: s, rnd: rand.New(rand.NewPCG(seed, 7)), equalShares: equalShares,
		admittedAt: make(map[string][]time.Duration), requests: make(map[string]int), rejections: make(map[string]int),
	}
	network := newPeerNetwork(w.Clock, s)
	for i, p := range network.all {
		w.vms = append(w.vms, &rateVM{
			peer: p, world: w, buckets: make(map[string]*ratelimit.OwnerBucket),
			requesters: make(map[string]*ratelimit.Requester), equalBuckets: make(map[string]*ratelimit.Bucket),
			waiting: make(map[string][]func(final bool) bool),
		})
		network.startExchange(p, time.Duration(i)*time.Millisecond)
	}
	for _, a := range rateAccounts(len(s.regions)) {
		for index := range s.regions {
			w.scheduleRequests(a, index)
		}
	}
	if kill {
		w.After(killAt, func() { w.byName(w.vms[0].exchange.RateOwner(killAt, w.vms[0].region, "steady")).killed = true })
	}
	w.RunUntil(runDuration)
	return w
}

// byName returns the VM with a name, or nil if there is none.
func (w *rateWorld) byName(name string) *rateVM {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// idlePollInterval is the interval at which the callers of an account that send
// no requests check whether their demand has changed.
const idlePollInterval = 100 * time.Millisecond

// scheduleRequests sends requests of an account in a region, each to a random VM
// of the region that is alive.
func (w *rateWorld) scheduleRequests(a account, region int) {
	rate := a.requestRate(region, w.Elapsed())
	if rate == 0 {
		w.After(idlePollInterval, func() { w.scheduleRequests(a, region) })
		return
	}
	w.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		var alive []*rateVM
		for _, v := range w.vms {
			if v.region == w.site.regions[region].name && !v.killed {
				alive = append(alive, v)
			}
		}
		alive[w.rnd.IntN(len(alive))].request(a)
		w.scheduleRequests(a, region)
	})
}

// request takes a token for a request as the gateway does: from the cache, from the
// owner of the account, and on credit if the owner does not answer within
// ratelimit.GrantTimeout.
func (v *rateVM) request(a account) {
	w, now := v.world, v.world.Elapsed()
	if w.equalShares {
		w.recordDecision(a, tokenTaken(v.equalBucket(a).Take(now)))
		return
	}
	r := v.requester(a)
	if r.Take(now) {
		w.recordDecision(a, true)
		return
	}
	owner := w.byName(v.exchange.RateOwner(now, v.region, a.name))
	if owner == nil {
		v.meter.AddRequests(a.name, r.TakeUsed())
		w.recordDecision(a, tokenTaken(v.bucket(a).Take(now)))
		return
	}
	v.requestFromOwner(a, owner, r)
}

// answerFromBucket answers a token request of this VM's own callers or of another VM,
// once tokens are there or lenders have answered.
func (v *rateVM) answerFromBucket(a account, from string, request ratelimit.Request, answer func(ratelimit.Grant)) {
	first := true
	try := func(final bool) bool {
		now, message := v.world.Elapsed(), request
		if !first {
			message.Used = 0
		}
		first = false
		grant := v.bucket(a).GrantTo(now, ratelimit.RequesterID{Address: from}, message)
		if grant.Tokens == 0 && !final {
			return false
		}
		answer(grant)
		return true
	}
	answered := try(false)
	v.borrow(a)
	if answered {
		return
	}
	if v.bucket(a).IsBorrowing(v.world.Elapsed()) {
		answer(ratelimit.Grant{Pending: true})
		v.waiting[a.name] = append(v.waiting[a.name], try)
	} else {
		try(true)
	}
}

// borrow requests tokens of the owners in other regions if they are needed.
func (v *rateVM) borrow(a account) {
	w, sentAt := v.world, v.world.Elapsed()
	owners := v.exchange.OwnersElsewhere(sentAt, a.name, ratelimit.LendersPerRound, 0)
	want := v.bucket(a).Borrow(sentAt, len(owners))
	if want == 0 {
		return
	}
	for _, name := range owners {
		lender := w.byName(name)
		delay := w.site.delay(v.region, lender.region)
		w.After(delay, func() {
			lent := 0
			if !lender.killed && lender.exchange.RateOwner(w.Elapsed(), lender.region, a.name) == lender.name {
				lent = lender.bucket(a).Lend(w.Elapsed(), want)
			}
			if lender.killed {
				return
			}
			w.After(delay, func() {
				v.bucket(a).Borrowed(w.Elapsed(), sentAt, lent)
				v.answerWaiting(a)
			})
		})
	}
	w.After(ratelimit.BorrowTimeout, func() { v.answerWaiting(a) })
}

// answerWaiting answers the requests that waited for borrowed tokens, all of them if no
// lender's answer is awaited any more.
func (v *rateVM) answerWaiting(a account) {
	if v.bucket(a).BorrowedSome() {
		v.borrow(a)
	}
	final := !v.bucket(a).IsBorrowing(v.world.Elapsed())
	waiting := v.waiting[a.name]
	v.waiting[a.name] = nil
	for _, try := range waiting {
		if !try(final) {
			v.waiting[a.name] = append(v.waiting[a.name], try)
		}
	}
}

// requestFromOwner sends a token request and admits or rejects the request that
// waits for the answer.
func (v *rateVM) requestFromOwner(a account, owner *rateVM, r *ratelimit.Requester) {
	w, message, decided, pending := v.world, r.Request(v.world.Elapsed(), owner.name), false, false
	delay := w.site.inRegionDelay
	if owner == v {
		delay, message.Want = 0, 1
	}
	w.After(delay, func() {
		if owner.killed {
			return
		}
		if owner != v {
			owner.exchange.HandleTokenRequest(w.Elapsed(), v.name)
		}
		owner.meter.AddRequests(a.name, message.Used)
		owner.answerFromBucket(a, v.name, message, func(grant ratelimit.Grant) {
			w.After(delay, func() {
				if grant.Pending {
					pending = true
					return
				}
				late := decided
				if !late {
					decided = true
					w.recordDecision(a, grant.Tokens > 0)
					grant.Tokens = max(0, grant.Tokens-1)
				}
				r.HandleGrant(w.Elapsed(), grant, late)
			})
		})
	})
	w.After(ratelimit.PendingGrantTimeout, func() {
		if !decided {
			decided = true
			w.recordDecision(a, false)
		}
	})
	for _, timeout := range []time.Duration{ratelimit.GrantTimeout, ratelimit.GrantTimeoutWithoutCredit} {
		w.After(timeout, func() {
			if decided || pending {
				return
			}
			ok := tokenTaken(r.TakeCredit(w.Elapsed()))
			if ok || timeout == ratelimit.GrantTimeoutWithoutCredit {
				decided = true
				w.recordDecision(a, ok)
			}
		})
	}
}

// tokenTaken drops the wait that Bucket.Take returns.
func tokenTaken(taken bool, _ time.Duration) bool { return taken }

var allowance = ratelimit.Allowance{Tolerance: rateTolerance, Margin: rateMargin, Window: rateWindow}

// bucket returns the bucket from which the VM grants tokens of an account that it
// owns, with the limits of the current share of its region.
func (v *rateVM) bucket(a account) *ratelimit.OwnerBucket {
	now := v.world.Elapsed()
	share := v.exchange.RateShare(now, a.name, a.rate)
	b := v.buckets[a.name]
	if b == nil {
		b = allowance.NewBucket(now, a.rate, a.burst, share)
		v.buckets[a.name] = b
	}
	allowance.SetShare(now, b, a.rate, a.burst, share, v.exchange.IsStarting())
	return b
}

// requester returns the requester of an account, with the current limits of its
// credit.
func (v *rateVM) requester(a account) *ratelimit.Requester {
	now := v.world.Elapsed()
	limits := allowance.CreditLimits(a.rate, a.burst, v.exchange.RosterSize())
	r := v.requesters[a.name]
	if r == nil {
		r = ratelimit.NewRequester(now, limits)
		v.requesters[a.name] = r
	}
	r.SetCreditLimits(now, limits)
	return r
}

// equalBucket returns the bucket of a VM whose limit is an equal share.
func (v *rateVM) equalBucket(a account) *ratelimit.Bucket {
	now := v.world.Elapsed()
	rate, burst := allowance.ShareLimits(a.rate, a.burst, v.exchange.EqualShare())
	b := v.equalBuckets[a.name]
	if b == nil {
		b = &ratelimit.Bucket{}
		v.equalBuckets[a.name] = b
		b.Init(now, rate, burst, allowance.InitialTokens(a.rate, a.burst, v.exchange.EqualShare()))
	}
	return b
}

// recordDecision counts a request and whether it was admitted.
func (w *rateWorld) recordDecision(a account, admitted bool) {
	if admitted {
		w.admittedAt[a.name] = append(w.admittedAt[a.name], w.Elapsed())
	}
	if w.Elapsed() < measurementStart {
		return
	}
	w.requests[a.name]++
	if !admitted {
		w.rejections[a.name]++
	}
}

// rejectedFraction is the fraction of an account's requests that were rejected.
func (w *rateWorld) rejectedFraction(name string) float64 {
	return float64(w.rejections[name]) / float64(max(1, w.requests[name]))
}

// overshoot is the largest number of requests by which the admitted requests in a
// window exceed the bound; 0 if none does. For each admitted request it checks the
// longest window of at most rateWindow that ends with it.
func (w *rateWorld) overshoot(a account) float64 {
	worst, times := 0.0, w.admittedAt[a.name]
	for from, to := 0, 0; to < len(times); to++ {
		for times[to]-times[from] > rateWindow {
			from++
		}
		allowed := (a.rate*(times[to]-times[from]).Seconds() + a.burst)
		worst = max(worst, float64(to-from+1)-allowed*(1+rateTolerance)-rateMargin)
	}
	return worst
}

func rateExperiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range sites {
		for _, kill := range []bool{false, true} {
			name := "rates"
			if kill {
				name = "rates-kill"
			}
			out = append(out, measure.Experiment{Name: "steer-" + name + "-" + s.name, Seeds: Seeds, Run: func(seed uint64) []measure.Figure {
				owners, equalShares := simulateRates(s, false, kill, seed), simulateRates(s, true, kill, seed)
				target := wrongfulTarget
				if kill {
					target = wrongfulTargetAfterKill
				}
				var figures []measure.Figure
				for _, a := range rateAccounts(len(s.regions)) {
					if a.name != "hot" {
						figures = append(figures, measure.Value("wrongful rejections, "+a.name, "1", owners.rejectedFraction(a.name)).
							WithTarget(measure.AtMost, target).WithBaseline(equalShares.rejectedFraction(a.name)))
					}
					figures = append(figures, measure.Value("above the bound, "+a.name, "requests", owners.overshoot(a)).
						WithTarget(measure.AtMost, 0).WithBaseline(equalShares.overshoot(a)))
				}
				return figures
			}})
		}
	}
	return out
}
