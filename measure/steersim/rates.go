package steersim

import (
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	// grantTimeout is how long a VM waits for tokens, as in the gateway.
	grantTimeout = 40 * time.Millisecond
	// tolerance and slack are the bound on what an account may exceed its rate
	// by, in force on the users' deployments, and window the span over which
	// the requests are summed.
	tolerance = 0.1
	slack     = 20
	window    = 5 * time.Second
	// wrongCalm and wrongKill are the targets for rejections of accounts within
	// their rates, of issue 9.
	wrongCalm = 0.001
	wrongKill = 0.01
	// rateFrom leaves out the start, in which VMs do not know each other.
	rateFrom = 5 * time.Second
	moveAt   = 15 * time.Second
	killAt   = 15 * time.Second
)

// account is a client account with what its callers ask for.
type account struct {
	name        string
	rate, burst float64
	// asks returns the requests per second of a region.
	asks func(region int, now time.Duration) float64
}

// rateAccounts: one exceeds its rate three times, the callers of one move to
// another region at once, one stays below its rate everywhere.
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

// rateWorld plays accounts against the counting of rates.
type rateWorld struct {
	*virtual.Clock
	site site
	rnd  *rand.Rand
	vms  []*rateVM
	// static gives each VM an equal part of each rate.
	static bool
	passed map[string][]time.Duration
	asked  map[string]int
	wrong  map[string]int
}

type rateVM struct {
	*peer
	world             *rateWorld
	buckets, reserves map[string]*ratelimit.Bucket
	wallets           map[string]*ratelimit.TokenCache
}

func playRates(s site, static bool, kill bool, seed uint64) *rateWorld {
	w := &rateWorld{
		Clock: virtual.New(), site: s, rnd: rand.New(rand.NewPCG(seed, 7)), static: static,
		passed: make(map[string][]time.Duration), asked: make(map[string]int), wrong: make(map[string]int),
	}
	fleet := newPeers(w.Clock, s)
	for i, p := range fleet.all {
		w.vms = append(w.vms, &rateVM{
			peer: p, world: w, buckets: make(map[string]*ratelimit.Bucket), reserves: make(map[string]*ratelimit.Bucket),
			wallets: make(map[string]*ratelimit.TokenCache),
		})
		fleet.talk(p, time.Duration(i)*time.Millisecond)
	}
	for _, a := range rateAccounts(len(s.regions)) {
		for index := range s.regions {
			w.callers(a, index)
		}
	}
	if kill {
		w.After(killAt, func() { w.named(w.vms[0].peers.RateOwner(killAt, w.vms[0].region, "steady")).dead = true })
	}
	w.RunUntil(runLength)
	return w
}

// named returns a VM, nil if there is none of this name.
func (w *rateWorld) named(name string) *rateVM {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// idlePoll is how often callers without requests look whether they have some.
const idlePoll = 100 * time.Millisecond

func (w *rateWorld) callers(a account, region int) {
	rate := a.asks(region, w.Elapsed())
	if rate == 0 {
		w.After(idlePoll, func() { w.callers(a, region) })
		return
	}
	w.After(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		var alive []*rateVM
		for _, v := range w.vms {
			if v.region == w.site.regions[region].name && !v.dead {
				alive = append(alive, v)
			}
		}
		alive[w.rnd.IntN(len(alive))].request(a)
		w.callers(a, region)
	})
}

// request asks for a token as the gateway does.
func (v *rateVM) request(a account) {
	w, now := v.world, v.world.Elapsed()
	if w.static {
		w.count(a, ok(v.reserve(a).Take(now)))
		return
	}
	wallet := v.wallets[a.name]
	if wallet == nil {
		wallet = &ratelimit.TokenCache{}
		v.wallets[a.name] = wallet
	}
	if wallet.Take(now) {
		w.count(a, true)
		return
	}
	counter := w.named(v.peers.RateOwner(now, v.region, a.name))
	if counter == nil || counter == v {
		v.meter.AddRequests(a.name, wallet.TakeUsed())
		w.count(a, ok(v.bucket(a).Take(now)))
		return
	}
	want, used, answered := wallet.Want(), wallet.TakeUsed(), false
	w.After(w.site.near, func() {
		if counter.dead {
			return
		}
		counter.peers.HandleTokenRequest(w.Elapsed(), v.name)
		counter.meter.AddRequests(a.name, used)
		tokens, _ := counter.bucket(a).Grant(w.Elapsed(), want)
		w.After(w.site.near, func() {
			answered = true
			if tokens > 0 {
				wallet.Add(w.Elapsed(), tokens-1)
			}
			w.count(a, tokens > 0)
		})
	})
	w.After(grantTimeout, func() {
		if !answered {
			w.count(a, ok(v.reserve(a).Take(w.Elapsed())))
		}
	})
}

func ok(taken bool, _ time.Duration) bool { return taken }

var allowance = ratelimit.Allowance{Tolerance: tolerance, Margin: slack}

func (v *rateVM) bucket(a account) *ratelimit.Bucket {
	now := v.world.Elapsed()
	part := v.peers.RateShare(now, a.name, a.rate)
	rate, burst := allowance.ShareLimits(a.rate, a.burst, part)
	b := v.buckets[a.name]
	if b == nil {
		b = &ratelimit.Bucket{}
		v.buckets[a.name] = b
		b.Init(now, rate, burst, allowance.InitialTokens(a.burst, part))
	}
	b.SetLimits(now, rate, burst)
	return b
}

func (v *rateVM) reserve(a account) *ratelimit.Bucket {
	now := v.world.Elapsed()
	rate, burst := allowance.ShareLimits(a.rate, a.burst, v.peers.EqualShare())
	b := v.reserves[a.name]
	if b == nil {
		b = &ratelimit.Bucket{}
		v.reserves[a.name] = b
		b.Init(now, rate, burst, allowance.InitialTokens(a.burst, v.peers.EqualShare()))
	}
	return b
}

// count notes a decision about a request.
func (w *rateWorld) count(a account, passed bool) {
	if passed {
		w.passed[a.name] = append(w.passed[a.name], w.Elapsed())
	}
	if w.Elapsed() < rateFrom {
		return
	}
	w.asked[a.name]++
	if !passed {
		w.wrong[a.name]++
	}
}

// wrongPart is the part of an account's requests that were rejected.
func (w *rateWorld) wrongPart(name string) float64 {
	return float64(w.wrong[name]) / float64(max(1, w.asked[name]))
}

// overshoot is the most that passed within a window beyond what the bound
// allows, in requests; 0 if it was kept.
func (w *rateWorld) overshoot(a account) float64 {
	most, times := 0.0, w.passed[a.name]
	for from, to := 0, 0; to < len(times); to++ {
		for times[to]-times[from] > window {
			from++
		}
		allowed := (a.rate*(times[to]-times[from]).Seconds() + a.burst)
		most = max(most, float64(to-from+1)-allowed*(1+tolerance)-slack)
	}
	return most
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
				own, static := playRates(s, false, kill, seed), playRates(s, true, kill, seed)
				bound := wrongCalm
				if kill {
					bound = wrongKill
				}
				var figures []measure.Figure
				for _, a := range rateAccounts(len(s.regions)) {
					if a.name != "hot" {
						figures = append(figures, measure.Value("wrongful rejections, "+a.name, "1", own.wrongPart(a.name)).
							WithTarget(measure.AtMost, bound).WithBaseline(static.wrongPart(a.name)))
					}
					figures = append(figures, measure.Value("above the bound, "+a.name, "requests", own.overshoot(a)).
						WithTarget(measure.AtMost, 0).WithBaseline(static.overshoot(a)))
				}
				return figures
			}})
		}
	}
	return out
}
