package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

const objective = 400 * time.Millisecond

var testServices = map[string]*steering.Service{"desk": {Name: "desk", ColdPeriod: 3 * time.Second, ColdRatePerSecond: 20}}

func testServers(region string, n, slots int) []*steering.Server {
	var out []*steering.Server
	for i := range n {
		out = append(out, &steering.Server{
			ID: fmt.Sprintf("%s-%d", region, i), Service: "desk", Region: region, Slots: slots, Address: "x",
		})
	}
	return out
}

func newTestPicker(lists ...[]*steering.Server) *Picker {
	p := New("vm-1", "north")
	var all []*steering.Server
	for _, list := range lists {
		all = append(all, list...)
	}
	p.Update(0, testServices, map[string][]*steering.Server{"desk": all})
	p.SetVMs(0, []string{"vm-1", "vm-2", "vm-3"})
	return p
}

func testRequest(object uint64) *Request {
	return &Request{
		Service: "desk", Route: "lookup", Object: object, Priority: 1, Objective: objective,
		Remaining: 2 * time.Second, PreferredRegion: "north",
	}
}

// Guards against VMs that send the same object to different servers, so that all
// of these servers do cold work.
func TestVMsAgreeOnTheServerOfAnObject(t *testing.T) {
	a, b := newTestPicker(testServers("north", 8, 8)), newTestPicker(testServers("north", 8, 8))
	b.vm = "vm-2"
	used := make(map[string]int)
	for i := range 100 {
		object := HashObject("lookup", fmt.Sprint(i))
		ca, cb := a.Pick(0, testRequest(object)), b.Pick(0, testRequest(object))
		require.Equal(t, ca.Server.ID, cb.Server.ID)
		used[ca.Server.ID]++
	}
	require.Len(t, used, 8, "objects are spread over all servers")
}

// Guards against all objects moving when one server joins or leaves.
func TestObjectsStayWhenAServerLeaves(t *testing.T) {
	all := testServers("north", 8, 8)
	before, after := newTestPicker(all), newTestPicker(all[1:])
	for i := range 200 {
		object := HashObject("lookup", fmt.Sprint(i))
		id := before.Pick(0, testRequest(object)).Server.ID
		if id != all[0].ID {
			require.Equal(t, id, after.Pick(0, testRequest(object)).Server.ID)
		}
	}
}

// simulation runs a load against one service in virtual time. Its servers cache
// the objects they handled last and process requests in their slots.
type simulation struct {
	picker   *Picker
	servers  map[string]*simServer
	now      time.Duration
	inFlight []simRequest
	served   int
	late     int
	rejected int
}

type simServer struct {
	slots      int
	slotFreeAt []time.Duration
	warm       []uint64
	cacheSize  int
}

func newSimulation(p *Picker, list []*steering.Server, cacheSize int) *simulation {
	sim := &simulation{picker: p, servers: make(map[string]*simServer)}
	for _, s := range list {
		sim.servers[s.ID] = &simServer{slots: s.Slots, slotFreeAt: make([]time.Duration, s.Slots), cacheSize: cacheSize}
	}
	return sim
}

// running returns the load that the server reports at now.
func (s *simServer) running(now time.Duration) int {
	n := 0
	for _, at := range s.slotFreeAt {
		if at > now {
			n++
		}
	}
	return n
}

// serve returns when a request that arrives now is done.
func (s *simServer) serve(now time.Duration, object uint64) (done time.Duration) {
	work := objective
	for i, cached := range s.warm {
		if cached == object {
			work = objective * 3 / 10
			s.warm = append(s.warm[:i], s.warm[i+1:]...)
			break
		}
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > s.cacheSize {
		s.warm = s.warm[1:]
	}
	earliest := 0
	for i, at := range s.slotFreeAt {
		if at < s.slotFreeAt[earliest] {
			earliest = i
		}
	}
	done = max(now, s.slotFreeAt[earliest]) + work
	s.slotFreeAt[earliest] = done
	return done
}

type simRequest struct {
	request *Request
	choice  Choice
	started time.Duration
	done    time.Duration
}

// replay sends perSecond requests per second, cycling through the objects.
func (sim *simulation) replay(perSecond, objects int, duration time.Duration) {
	inFlight := sim.inFlight
	defer func() { sim.inFlight = inFlight }()
	start := sim.now
	sim.now += duration
	step := time.Second / time.Duration(perSecond)
	n := 0
	for now := start; now < start+duration; now += step {
		remaining := inFlight[:0]
		for _, f := range inFlight {
			if f.done > now {
				remaining = append(remaining, f)
				continue
			}
			sim.picker.RequestFinished(f.done, f.request, f.choice, Succeeded, f.done-f.started)
			sim.picker.LoadReported(f.done, f.choice.Server.ID, sim.servers[f.choice.Server.ID].running(f.done), 0)
			if f.done-f.started <= objective {
				sim.served++
			} else {
				sim.late++
			}
		}
		inFlight = remaining
		n++
		r := testRequest(HashObject("lookup", fmt.Sprint(n*7919%objects)))
		c := sim.picker.Pick(now, r)
		if c.Server == nil {
			sim.rejected++
			continue
		}
		sim.picker.RequestStarted(now, r, c)
		inFlight = append(inFlight, simRequest{r, c, now, sim.servers[c.Server.ID].serve(now, r.Object)})
	}
}

// Sends twice the load that warm servers can handle, as when a hot account sends
// many times its usual load. Guards against queues that make every response late,
// and against spillover that makes every server do cold work: with waits above
// the objective or with cold spillover, under a third of the capacity is served
// in time.
func TestOverloadServesMostOfTheCapacityInTime(t *testing.T) {
	list := testServers("north", 4, 8)
	sim := newSimulation(newTestPicker(list), list, 40)
	const warmWork = 0.12
	capacity := 4 * 8 / warmWork
	seconds := 20.0
	sim.replay(int(2*capacity), 107, time.Duration(seconds)*time.Second)
	require.Greater(t, float64(sim.served), 0.55*capacity*seconds, "late %d, rejected %d", sim.late, sim.rejected)
	require.Less(t, float64(sim.late), 0.25*capacity*seconds)
}

// Sends half of the load that warm servers can handle. Guards against rejections
// and late responses while there is capacity. Cold servers handle 80 requests per
// second, so the first seconds do not count.
func TestModerateLoadIsServedInTime(t *testing.T) {
	list := testServers("north", 4, 8)
	sim := newSimulation(newTestPicker(list), list, 40)
	sim.replay(120, 107, 4*time.Second)
	require.Greater(t, sim.served+sim.late, 3*80, "cold servers are used")
	sim.served, sim.late, sim.rejected = 0, 0, 0
	sim.replay(120, 107, 16*time.Second)
	require.Zero(t, sim.rejected)
	require.Less(t, sim.late, 20)
}

// Guards against more requests leaving their region when its servers are full
// than the limit on shifts between regions allows.
func TestSpilloverIsBounded(t *testing.T) {
	p := newTestPicker(testServers("north", 1, 1), testServers("south", 8, 8))
	busy := p.servers["north-0"]
	busy.othersLoad, busy.othersLoadAt = 100, time.Hour
	p.SetSpareRegions("desk", map[string]bool{"south": true})
	spilledOver := 0
	for i := range 1000 {
		c := p.Pick(time.Duration(i)*time.Millisecond, testRequest(0))
		if c.Server == nil {
			require.NotEmpty(t, c.Reason)
			require.Positive(t, c.RetryAfter)
			continue
		}
		require.Equal(t, "south", c.Server.Region)
		require.Equal(t, Spillover, c.Departure)
		spilledOver++
	}
	require.LessOrEqual(t, spilledOver, 1000*5/100+10)
	require.Positive(t, spilledOver)
}

// Guards against requests that leave their full region for another full one. This VM
// has sent no requests there and does not see its load. The spilled requests need the
// cold work of other objects and evict those of the region's own callers: on days with
// a hot account, 5% of the requests cost the fleet a tenth of its worth.
func TestNoSpilloverToAFullRegion(t *testing.T) {
	p := newTestPicker(testServers("north", 1, 1), testServers("south", 8, 8))
	busy := p.servers["north-0"]
	busy.othersLoad, busy.othersLoadAt = 100, time.Hour
	p.SetSpareRegions("desk", map[string]bool{"north": false, "south": false})
	for i := range 100 {
		c := p.Pick(time.Duration(i)*time.Millisecond, testRequest(0))
		require.Nil(t, c.Server)
		require.NotEmpty(t, c.Reason)
	}
	p.Update(0, testServices, map[string][]*steering.Server{"desk": testServers("south", 8, 8)})
	choice := p.Pick(0, testRequest(0))
	require.NotNil(t, choice.Server, "the own region has no server at all")
	require.Equal(t, RegionWithoutServer, choice.Departure)
}

// Guards against spillover that is saved up while no region has room: when one had
// room again, up to ten requests of each VM left their region at once (SHIFT on
// frameshare-tw-grown, flapping.toml, seed 313209298814).
func TestSpilloverIsNotSavedUp(t *testing.T) {
	p := newTestPicker(testServers("north", 1, 1), testServers("south", 8, 8))
	busy := p.servers["north-0"]
	busy.othersLoad, busy.othersLoadAt = 100, time.Hour
	for i := range 1000 {
		if i%100 == 0 {
			p.SetSpareRegions("desk", map[string]bool{"south": false})
		}
		require.Nil(t, p.Pick(time.Duration(i)*time.Millisecond, testRequest(0)).Server)
	}
	p.SetSpareRegions("desk", map[string]bool{"south": false})
	p.SetSpareRegions("desk", map[string]bool{"south": true})
	spilledOver := 0
	for i := range 100 {
		if p.Pick(time.Duration(1000+i)*time.Millisecond, testRequest(0)).Server != nil {
			spilledOver++
		}
	}
	require.LessOrEqual(t, spilledOver, 6)
	require.Positive(t, spilledOver)
}

// Guards against a request that runs outside its home regions, and against one
// that is rejected because the flow prefers a region that is not one of them.
func TestHomeRegionsAreRespected(t *testing.T) {
	p := newTestPicker(testServers("north", 2, 4), testServers("south", 2, 4))
	r := testRequest(0)
	r.Allowed = func(region string) bool { return region == "south" }
	for range 100 {
		require.Equal(t, "south", p.Pick(0, r).Server.Region)
	}
	r.Allowed = func(string) bool { return false }
	require.Equal(t, NoServer, p.Pick(0, r).Reason)
}

// Guards against sending a request to the same server twice.
func TestTriedServersAreExcluded(t *testing.T) {
	p := newTestPicker(testServers("north", 2, 4))
	r := testRequest(0)
	r.Tried = []string{"north-0"}
	require.Equal(t, "north-1", p.Pick(0, r).Server.ID)
	r.Tried = []string{"north-0", "north-1"}
	require.Equal(t, NoServer, p.Pick(0, r).Reason)
}

// Guards against queueing requests that cannot be served in time.
func TestRequestThatCannotFinishInTimeIsRejectedAtOnce(t *testing.T) {
	p := newTestPicker(testServers("north", 1, 1))
	p.servers["north-0"].othersLoad, p.servers["north-0"].othersLoadAt = 50, time.Hour
	r := testRequest(0)
	r.Remaining = 300 * time.Millisecond
	c := p.Pick(0, r)
	require.Nil(t, c.Server)
	require.Equal(t, NoServerInTime, c.Reason)
	require.GreaterOrEqual(t, c.RetryAfter, minRetryAfter)
	require.LessOrEqual(t, c.RetryAfter, maxRetryAfter)
}

// Guards against rejecting the most important requests first.
func TestPriorityDecidesWhichRequestsAreAccepted(t *testing.T) {
	p := newTestPicker(testServers("north", 1, 2))
	s := p.servers["north-0"]
	accepted := make([]bool, 3)
	for load := 0.0; load < 40; load++ {
		s.othersLoad, s.othersLoadAt = load, time.Hour
		for priority := range accepted {
			r := testRequest(1)
			r.Priority = priority
			accepted[priority] = p.Pick(0, r).Server != nil
		}
		require.True(t, accepted[0] || !accepted[1], "load %v", load)
		require.True(t, accepted[1] || !accepted[2], "load %v", load)
	}
	require.False(t, accepted[0])
}

// Guards against a cold server that gets more requests from all VMs together than
// it tolerates. Runs ten VMs that all want to use it.
func TestColdServerGetsWhatItTolerates(t *testing.T) {
	const vms = 10
	list := testServers("north", 1, 8)
	list[0].ColdUntil = 5 * time.Second
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	var pickers []*Picker
	for _, name := range names {
		p := newTestPicker(list)
		p.vm = name
		p.SetVMs(0, names)
		pickers = append(pickers, p)
	}
	perSecond := make(map[int]int)
	for ms := range 5000 {
		now := time.Duration(ms) * time.Millisecond
		for _, p := range pickers {
			if c := p.Pick(now, testRequest(0)); c.Server != nil {
				perSecond[ms/1000]++
			}
		}
	}
	total := 0
	for second, n := range perSecond {
		require.LessOrEqual(t, n, 20, "second %d", second)
		total += n
	}
	require.Greater(t, total, 40, "a cold server is warmed up")
	require.NotNil(t, pickers[0].Pick(6*time.Second, testRequest(0)).Server)
}

// Guards against requests to a server that cannot be reached, and against excluding
// it for ever.
func TestUnreachableServerIsProbed(t *testing.T) {
	p := newTestPicker(testServers("north", 2, 4))
	r := testRequest(0)
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(0, r, c, Unreachable, time.Millisecond)
	for range 10 {
		require.NotEqual(t, c.Server.ID, p.Pick(0, testRequest(0)).Server.ID)
	}
	require.Empty(t, p.DueProbes(minSuspension-1))
	due := p.DueProbes(minSuspension)
	require.Len(t, due, 1)
	require.Empty(t, p.DueProbes(minSuspension), "one probe at a time")
	p.ProbeSucceeded(time.Second, due[0].ID, 2*time.Second)
	require.True(t, p.servers[due[0].ID].isCold(2*time.Second), "a probe reports that a server is cold")
	require.False(t, p.servers[due[0].ID].needsProbe)
}

// Guards against a server that vanished and keeps getting requests until several
// of them have waited for their whole timeout.
func TestUnresponsiveServerIsProbed(t *testing.T) {
	p := newTestPicker(testServers("north", 2, 4))
	r := testRequest(0)
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(time.Second, r, c, Unresponsive, time.Second)
	for range 10 {
		require.NotEqual(t, c.Server.ID, p.Pick(time.Second, testRequest(0)).Server.ID)
	}
	require.Len(t, p.DueProbes(time.Second+minSuspension), 1)
	p.ProbeSucceeded(2*time.Second, c.Server.ID, 0)
	require.False(t, p.servers[c.Server.ID].needsProbe)
}

// Guards against a restarted server that inherits the penalties of the previous
// incarnation, and against requests to it at full rate while it is cold.
func TestRestartUnderTheSameIDIsANewServer(t *testing.T) {
	list := testServers("north", 1, 4)
	p := newTestPicker(list)
	p.servers["north-0"].slowness = 20
	restarted := *list[0]
	restarted.Incarnation, restarted.ColdUntil = 77, 9*time.Second
	removed := p.Update(time.Second, testServices, map[string][]*steering.Server{"desk": {&restarted}})
	require.Len(t, removed, 1, "connections to the previous incarnation are closed")
	require.Equal(t, 1.0, p.servers["north-0"].slowness)
	require.True(t, p.servers["north-0"].isCold(2*time.Second))
}

// Guards against a server that answers slowly, or fails or sheds part of its
// requests, and still gets its full share of them.
func TestMisbehavingServersGetFewRequests(t *testing.T) {
	for name, result := range map[string]Result{"slow": Succeeded, "failing": Failed, "shedding": Shed} {
		t.Run(name, func(t *testing.T) {
			p := newTestPicker(testServers("north", 4, 8))
			counts := make(map[string]int)
			for i := range 400 {
				now := time.Duration(i) * 20 * time.Millisecond
				r := testRequest(0)
				c := p.Pick(now, r)
				p.RequestStarted(now, r, c)
				counts[c.Server.ID]++
				if c.Server.ID != "north-0" {
					p.RequestFinished(now, r, c, Succeeded, 100*time.Millisecond)
					continue
				}
				elapsed := 100 * time.Millisecond
				if result == Succeeded {
					elapsed = 1500 * time.Millisecond
				}
				p.RequestFinished(now, r, c, result, elapsed)
			}
			require.Less(t, counts["north-0"], 60)
			now := time.Minute
			for _, s := range p.DueProbes(now) {
				p.ProbeSucceeded(now, s.ID, 0)
			}
			s := p.servers["north-0"]
			s.decayPenalties(now)
			require.Less(t, s.slowness, 1.1)
			require.Less(t, s.failureShare+s.shedShare, 0.05, "penalties decay")
		})
	}
}

// Guards against sending requests to a server that stopped while this VM was
// partitioned: an expired registration does not show whether the server is alive.
func TestExpiredServerIsProbedFirst(t *testing.T) {
	list := testServers("north", 1, 4)
	p := newTestPicker(list)
	expired := *list[0]
	expired.Expired = true
	p.Update(time.Second, testServices, map[string][]*steering.Server{"desk": {&expired}})
	require.Nil(t, p.Pick(time.Second, testRequest(0)).Server)
	require.Len(t, p.DueProbes(time.Second), 1)
	p.ProbeSucceeded(time.Second, "north-0", 0)
	require.NotNil(t, p.Pick(time.Second, testRequest(0)).Server)
	p.Update(2*time.Second, testServices, map[string][]*steering.Server{"desk": {&expired}})
	require.NotNil(t, p.Pick(2*time.Second, testRequest(0)).Server, "one probe is enough")
}

// Guards against a split whose shares drift: after any number of requests each
// service is within one request of its weight.
func TestSplitKeepsItsWeights(t *testing.T) {
	s := NewTrafficSplitter([]steering.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, 0.5)
	counts := make(map[string]int)
	for i := 1; i <= 1000; i++ {
		counts[s.Next()]++
		require.InDelta(t, float64(i)*0.1, float64(counts["b"]), 1.5)
	}
}

// Guards against counting the capacity of servers that cannot be used.
func TestCapacity(t *testing.T) {
	p := newTestPicker(testServers("north", 2, 8), testServers("south", 1, 4))
	require.Equal(t, map[string]float64{"north": 16, "south": 4}, p.Capacity(0, "desk"))
	r := testRequest(0)
	r.Tried = []string{"north-0"}
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(0, r, c, Unreachable, 0)
	require.Equal(t, map[string]float64{"north": 8, "south": 4}, p.Capacity(0, "desk"))
	require.Nil(t, p.Capacity(0, "none"))
}

// Sends requests for one object, four times as many as one server can answer, to
// servers that are otherwise idle. Guards against rejecting them because only the
// first server of the object is used.
func TestHotObjectSpreads(t *testing.T) {
	list := testServers("north", 8, 4)
	sim := newSimulation(newTestPicker(list), list, 40)
	sim.replay(133, 1, 5*time.Second)
	sim.served, sim.late, sim.rejected = 0, 0, 0
	sim.replay(133, 1, 15*time.Second)
	require.Less(t, sim.rejected+sim.late, 133*15/20)
}

// BenchmarkPick measures the choice of a server at the size of a region of the
// enlarged deployments and of one ten times larger.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPicker(testServers("north", n, 8))
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				r := testRequest(HashObject("lookup", fmt.Sprint(i%100)))
				c := p.Pick(now, r)
				p.RequestStarted(now, r, c)
				p.RequestFinished(now, r, c, Succeeded, 100*time.Millisecond)
			}
		})
	}
}

// Guards against evicting an object that was requested a moment ago while older
// ones are kept, so that its next request counts as cold.
func TestOldestObjectIsEvicted(t *testing.T) {
	s := newServer(testServers("north", 1, 8)[0])
	for i := range uint64(3 * maxWarmObjects) {
		now := time.Duration(i) * time.Millisecond
		s.markWarm(now, i+1)
		s.markWarm(now, 1)
		require.True(t, s.isWarm(now, 1))
		require.LessOrEqual(t, len(s.lastUsed), maxWarmObjects)
	}
	for i := range uint64(maxWarmObjects - 1) {
		require.True(t, s.isWarm(0, 3*maxWarmObjects-i))
	}
}

// Lets the first server of an object fail while the others are in use. Guards
// against rejecting requests for its objects although the other servers have
// capacity.
func TestObjectsOfAFailedServerMoveToTheNext(t *testing.T) {
	p := newTestPicker(testServers("north", 4, 8))
	first := p.Pick(0, testRequest(7)).Server
	for _, s := range p.servers {
		p.LoadReported(0, s.registration.ID, 8, 0)
	}
	c := Choice{Server: first}
	p.RequestStarted(0, testRequest(7), c)
	p.RequestFinished(0, testRequest(7), c, Unreachable, time.Millisecond)
	served := make(map[string]bool)
	for range 10 {
		c := p.Pick(0, testRequest(7))
		require.NotNil(t, c.Server, c.Reason)
		require.NotEqual(t, first.ID, c.Server.ID)
		served[c.Server.ID] = true
	}
	require.Len(t, served, 1, "one server substitutes for it, so that it gets warm")
	for _, s := range p.servers {
		p.LoadReported(0, s.registration.ID, 8, 8)
		p.LoadReported(0, s.registration.ID, 8, 8)
	}
	c = p.Pick(0, testRequest(9999))
	for c.Server != nil {
		require.NotEqual(t, first.ID, c.Server.ID)
		p.RequestStarted(0, testRequest(9999), c)
		c = p.Pick(0, testRequest(9999))
	}
	require.Equal(t, Overloaded, c.Reason, "full servers are not reported as missing")
}

// Guards against a VM that rejects requests although its links to the servers are back,
// because the failures of connections during the loss have suspended the servers.
func TestRestoredLinksEndSuspensionsThatFailuresCaused(t *testing.T) {
	p := newTestPicker(testServers("north", 4, 4))
	fail := func(now time.Duration, server string, result Result, times int) {
		for range times {
			p.RequestFinished(now, testRequest(0), Choice{Server: &steering.Server{ID: server}}, result, 0)
		}
	}
	fail(time.Second, "north-0", Failed, maxConsecutiveFailures)
	fail(9*time.Second, "north-1", Failed, maxConsecutiveFailures)
	fail(9*time.Second, "north-2", Unreachable, 1)
	fail(9*time.Second, "north-3", Misdirected, 1)
	p.LinksRestored(11*time.Second, 10*time.Second)
	suspended := func(server string) bool { return p.servers[server].isSuspended(11 * time.Second) }
	require.True(t, suspended("north-0"), "long before the loss")
	require.False(t, suspended("north-1"))
	require.False(t, suspended("north-2"))
	require.True(t, suspended("north-3"), "another server has its address")
}

// Guards against requests that are rejected because all servers wait for a probe, although
// they answer, when a restored store or one that was away has lost their registrations.
func TestServerThatAnswersIsUsedWithoutItsRegistration(t *testing.T) {
	list := testServers("north", 1, 4)
	lose := func(answeredAt time.Duration) *Picker {
		p := newTestPicker(list)
		p.RequestFinished(answeredAt, testRequest(0), Choice{Server: list[0]}, Succeeded, 0)
		expired := *list[0]
		expired.Expired = true
		p.Update(2*time.Second, testServices, map[string][]*steering.Server{"desk": {&expired}})
		return p
	}
	require.Nil(t, lose(500*time.Millisecond).Pick(2*time.Second, testRequest(0)).Server, "an older answer")

	p := lose(1900 * time.Millisecond)
	require.NotNil(t, p.Pick(2*time.Second, testRequest(0)).Server)
	require.Len(t, p.DueProbes(2*time.Second), 1)
	require.Empty(t, p.DueProbes(2250*time.Millisecond), "one probe at a time")
	require.Len(t, p.DueProbes(3*time.Second), 1, "the probe did not succeed")
	require.Nil(t, p.Pick(3*time.Second, testRequest(0)).Server)
	p.ProbeSucceeded(3100*time.Millisecond, "north-0", 0)
	require.NotNil(t, p.Pick(3100*time.Millisecond, testRequest(0)).Server)

	p = lose(1900 * time.Millisecond)
	p.DueProbes(2 * time.Second)
	p.ProbeSucceeded(2010*time.Millisecond, "north-0", 0)
	require.Empty(t, p.DueProbes(4*time.Second), "it has shown that it is alive")
	require.NotNil(t, p.Pick(4*time.Second, testRequest(0)).Server)
}

// Guards against a VM that takes crashed servers for lost links, rejects its requests and
// blames no request for the crashes: connections are opened to three servers, if there are as
// many, that are not known to be unreachable, in different failure domains if possible.
func TestCrashedServersAreNoWitnessesOfLostLinks(t *testing.T) {
	for _, domains := range []int{1, 2, 3, 6} {
		servers := testServers("north", 9, 8)
		for i, s := range servers {
			s.FailureDomain = fmt.Sprint("domain-", i%domains)
		}
		p := newTestPicker(servers)
		crashed := make(map[string]bool)
		for _, s := range servers[:7] {
			choice := Choice{Server: s}
			p.RequestStarted(0, testRequest(0), choice)
			p.RequestFinished(0, testRequest(0), choice, Unreachable, 0)
			crashed[s.ID] = true
			for round := range uint64(50) {
				witnesses, seen, message := 0, make(map[string]bool), fmt.Sprintf("%d domains, %d crashed", domains, len(crashed))
				for _, target := range p.CheckTargets("domain-0", round) {
					seen[target.FailureDomain] = true
					if !crashed[target.ID] {
						witnesses++
					}
				}
				require.Equal(t, min(3, 9-len(crashed)), witnesses, message)
				if len(crashed) < 3 {
					require.Len(t, seen, min(3, domains), message)
				}
			}
		}
	}
}
