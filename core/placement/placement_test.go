package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
)

const objective = 400 * time.Millisecond

var service = map[string]*steering.Service{"desk": {Name: "desk", ColdPeriod: 3 * time.Second, ColdRatePerSecond: 20}}

func servers(region string, n, slots int) []*steering.Server {
	var out []*steering.Server
	for i := range n {
		out = append(out, &steering.Server{
			ID: fmt.Sprintf("%s-%d", region, i), Service: "desk", Region: region, Slots: slots, Address: "x",
		})
	}
	return out
}

func picker(lists ...[]*steering.Server) *Picker {
	p := New("vm-1", "north")
	var all []*steering.Server
	for _, l := range lists {
		all = append(all, l...)
	}
	p.Update(0, service, map[string][]*steering.Server{"desk": all})
	p.SetVMs(0, []string{"vm-1", "vm-2", "vm-3"})
	return p
}

func request(object uint64) *Request {
	return &Request{
		Service: "desk", Class: "lookup", Object: object, Priority: 1, Objective: objective,
		Remaining: 2 * time.Second, PreferredRegion: "north",
	}
}

// Guards against VMs that send the same object to different servers, so that
// all of them do cold work.
func TestVMsAgreeOnTheServerOfAnObject(t *testing.T) {
	a, b := picker(servers("north", 8, 8)), picker(servers("north", 8, 8))
	b.self = "vm-2"
	used := make(map[string]int)
	for i := range 100 {
		object := HashObject("lookup", fmt.Sprint(i))
		ca, cb := a.Pick(0, request(object)), b.Pick(0, request(object))
		require.Equal(t, ca.Server.ID, cb.Server.ID)
		used[ca.Server.ID]++
	}
	require.Len(t, used, 8, "objects are spread over all servers")
}

// Guards against objects that all move when one server comes or leaves.
func TestObjectsStayWhenAServerLeaves(t *testing.T) {
	all := servers("north", 8, 8)
	before, after := picker(all), picker(all[1:])
	for i := range 200 {
		object := HashObject("lookup", fmt.Sprint(i))
		was := before.Pick(0, request(object)).Server.ID
		if was != all[0].ID {
			require.Equal(t, was, after.Pick(0, request(object)).Server.ID)
		}
	}
}

// world replays a load against one service in virtual time: servers that keep
// the objects they handled last warm, and finish work in their slots.
type world struct {
	p      *Picker
	sims   map[string]*simServer
	now    time.Duration
	flying []pending
	served int
	late   int
	turned int
}

type simServer struct {
	slots int
	free  []time.Duration
	warm  []uint64
	keeps int
}

func newWorld(p *Picker, list []*steering.Server, keeps int) *world {
	w := &world{p: p, sims: make(map[string]*simServer)}
	for _, s := range list {
		w.sims[s.ID] = &simServer{slots: s.Slots, free: make([]time.Duration, s.Slots), keeps: keeps}
	}
	return w
}

// running returns the load that the server tells at now.
func (s *simServer) running(now time.Duration) int {
	n := 0
	for _, at := range s.free {
		if at > now {
			n++
		}
	}
	return n
}

// run returns when a request that arrives now is done.
func (s *simServer) run(now time.Duration, object uint64) (done time.Duration) {
	work := objective
	for i, o := range s.warm {
		if o == object {
			work = objective * 3 / 10
			s.warm = append(s.warm[:i], s.warm[i+1:]...)
			break
		}
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > s.keeps {
		s.warm = s.warm[1:]
	}
	first := 0
	for i, at := range s.free {
		if at < s.free[first] {
			first = i
		}
	}
	done = max(now, s.free[first]) + work
	s.free[first] = done
	return done
}

type pending struct {
	r       *Request
	c       Choice
	started time.Duration
	done    time.Duration
}

// replay sends perSecond requests for objects in turn for some seconds.
func (w *world) replay(perSecond, objects int, length time.Duration) {
	flying := w.flying
	defer func() { w.flying = flying }()
	from := w.now
	w.now += length
	step := time.Second / time.Duration(perSecond)
	n := 0
	for now := from; now < from+length; now += step {
		rest := flying[:0]
		for _, f := range flying {
			if f.done > now {
				rest = append(rest, f)
				continue
			}
			w.p.RequestFinished(f.done, f.r, f.c, Succeeded, f.done-f.started)
			w.p.LoadReported(f.done, f.c.Server.ID, w.sims[f.c.Server.ID].running(f.done), 0)
			if f.done-f.started <= objective {
				w.served++
			} else {
				w.late++
			}
		}
		flying = rest
		n++
		r := request(HashObject("lookup", fmt.Sprint(n*7919%objects)))
		c := w.p.Pick(now, r)
		if c.Server == nil {
			w.turned++
			continue
		}
		w.p.RequestStarted(now, r, c)
		flying = append(flying, pending{r, c, now, w.sims[c.Server.ID].run(now, r.Object)})
	}
}

// Replays twice the load that warm servers carry, as when a hot account sends
// many times its usual. Guards against queues that make every answer late, and
// against spilling that makes every server do cold work: with patience above
// the objective or with cold spills, under a third of the capacity is served in
// time.
func TestOverloadServesMostOfTheCapacityInTime(t *testing.T) {
	list := servers("north", 4, 8)
	w := newWorld(picker(list), list, 40)
	const warmWork = 0.12
	capacity := 4 * 8 / warmWork
	seconds := 20.0
	w.replay(int(2*capacity), 107, time.Duration(seconds)*time.Second)
	require.Greater(t, float64(w.served), 0.55*capacity*seconds, "late %d, rejected %d", w.late, w.turned)
	require.Less(t, float64(w.late), 0.25*capacity*seconds)
}

// Replays half of the load that warm servers carry. Guards against rejecting
// and against late answers when there is room. Cold servers carry 80 requests a
// second, so the first seconds do not count.
func TestModerateLoadIsServedInTime(t *testing.T) {
	list := servers("north", 4, 8)
	w := newWorld(picker(list), list, 40)
	w.replay(120, 107, 4*time.Second)
	require.Greater(t, w.served+w.late, 3*80, "cold servers are used")
	w.served, w.late, w.turned = 0, 0, 0
	w.replay(120, 107, 16*time.Second)
	require.Zero(t, w.turned)
	require.Less(t, w.late, 20)
}

// Guards against requests that leave their region in numbers when its servers
// are full: more than the bound on shifts.
func TestSpilloverIsBounded(t *testing.T) {
	p := picker(servers("north", 1, 1), servers("south", 8, 8))
	busy := p.servers["north-0"]
	busy.others, busy.othersAt = 100, time.Hour
	moved := 0
	for i := range 1000 {
		c := p.Pick(time.Duration(i)*time.Millisecond, request(0))
		if c.Server == nil {
			require.NotEmpty(t, c.Reason)
			require.Positive(t, c.RetryAfter)
			continue
		}
		require.Equal(t, "south", c.Server.Region)
		moved++
	}
	require.LessOrEqual(t, moved, 1000*5/100+spillMax)
	require.Positive(t, moved)
}

// Guards against a request that runs outside its homes, and against one that
// is rejected because the flow prefers a region that is none of them.
func TestHomeRegionsAreRespected(t *testing.T) {
	p := picker(servers("north", 2, 4), servers("south", 2, 4))
	r := request(0)
	r.Allowed = func(region string) bool { return region == "south" }
	for range 100 {
		require.Equal(t, "south", p.Pick(0, r).Server.Region)
	}
	r.Allowed = func(string) bool { return false }
	require.Equal(t, NoServer, p.Pick(0, r).Reason)
}

// Guards against a second send of a request to the same server.
func TestTriedServersAreExcluded(t *testing.T) {
	p := picker(servers("north", 2, 4))
	r := request(0)
	r.Tried = []string{"north-0"}
	require.Equal(t, "north-1", p.Pick(0, r).Server.ID)
	r.Tried = []string{"north-0", "north-1"}
	require.Equal(t, NoServer, p.Pick(0, r).Reason)
}

// Guards against holding requests that cannot be answered in time.
func TestRequestThatCannotFinishInTimeIsRejectedAtOnce(t *testing.T) {
	p := picker(servers("north", 1, 1))
	p.servers["north-0"].others, p.servers["north-0"].othersAt = 50, time.Hour
	r := request(0)
	r.Remaining = 300 * time.Millisecond
	c := p.Pick(0, r)
	require.Nil(t, c.Server)
	require.Equal(t, NoServerInTime, c.Reason)
	require.GreaterOrEqual(t, c.RetryAfter, minRetryAfter)
	require.LessOrEqual(t, c.RetryAfter, maxRetryAfter)
}

// Guards against rejecting the most important requests first.
func TestPriorityDecidesWhichRequestsAreAccepted(t *testing.T) {
	p := picker(servers("north", 1, 2))
	s := p.servers["north-0"]
	accepted := make([]bool, 3)
	for load := 0.0; load < 40; load++ {
		s.others, s.othersAt = load, time.Hour
		for rank := range accepted {
			r := request(1)
			r.Priority = rank
			accepted[rank] = p.Pick(0, r).Server != nil
		}
		require.True(t, accepted[0] || !accepted[1], "load %v", load)
		require.True(t, accepted[1] || !accepted[2], "load %v", load)
	}
	require.False(t, accepted[0])
}

// Guards against a cold server that gets more than it tolerates from all VMs
// together. Replays a day second with ten VMs that all want it.
func TestColdServerGetsWhatItTolerates(t *testing.T) {
	const vms = 10
	list := servers("north", 1, 8)
	list[0].ColdUntil = 5 * time.Second
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i))
	}
	var pickers []*Picker
	for _, name := range names {
		p := picker(list)
		p.self = name
		p.SetVMs(0, names)
		pickers = append(pickers, p)
	}
	perSecond := make(map[int]int)
	for ms := range 5000 {
		now := time.Duration(ms) * time.Millisecond
		for _, p := range pickers {
			if c := p.Pick(now, request(0)); c.Server != nil {
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
	require.NotNil(t, pickers[0].Pick(6*time.Second, request(0)).Server)
}

// Guards against requests to a server that cannot be reached, and against a
// server that is never used again.
func TestUnreachableServerIsProbed(t *testing.T) {
	p := picker(servers("north", 2, 4))
	r := request(0)
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(0, r, c, Unreachable, time.Millisecond)
	for range 10 {
		require.NotEqual(t, c.Server.ID, p.Pick(0, request(0)).Server.ID)
	}
	require.Empty(t, p.DueProbes(firstSuspension-1))
	due := p.DueProbes(firstSuspension)
	require.Len(t, due, 1)
	require.Empty(t, p.DueProbes(firstSuspension), "one probe at a time")
	p.ProbeSucceeded(time.Second, due[0].ID, 2*time.Second)
	require.True(t, p.servers[due[0].ID].isCold(2*time.Second), "a probe tells that a server is cold")
	require.False(t, p.servers[due[0].ID].suspect)
}

// Guards against a server that is gone without a word and gets requests until
// several of them have waited their whole time.
func TestUnresponsiveServerIsProbed(t *testing.T) {
	p := picker(servers("north", 2, 4))
	r := request(0)
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(time.Second, r, c, Unresponsive, time.Second)
	for range 10 {
		require.NotEqual(t, c.Server.ID, p.Pick(time.Second, request(0)).Server.ID)
	}
	require.Len(t, p.DueProbes(time.Second+firstSuspension), 1)
	p.ProbeSucceeded(2*time.Second, c.Server.ID, 0)
	require.False(t, p.servers[c.Server.ID].suspect)
}

// Guards against a restarted server that inherits the marks of the one before,
// and against requests to it at full rate while it is cold.
func TestRestartUnderTheSameIDIsANewServer(t *testing.T) {
	list := servers("north", 1, 4)
	p := picker(list)
	p.servers["north-0"].slow = 20
	again := *list[0]
	again.Incarnation, again.ColdUntil = 77, 9*time.Second
	gone := p.Update(time.Second, service, map[string][]*steering.Server{"desk": {&again}})
	require.Len(t, gone, 1, "connections to the old one are closed")
	require.Equal(t, 1.0, p.servers["north-0"].slow)
	require.True(t, p.servers["north-0"].isCold(2*time.Second))
}

// Guards against a server that answers slowly, or fails or sheds part of its
// requests, and keeps its share of them.
func TestMisbehavingServersGetFewRequests(t *testing.T) {
	for name, result := range map[string]Result{"slow": Succeeded, "failing": Failed, "shedding": Shed} {
		t.Run(name, func(t *testing.T) {
			p := picker(servers("north", 4, 8))
			counts := make(map[string]int)
			for i := range 400 {
				now := time.Duration(i) * 20 * time.Millisecond
				r := request(0)
				c := p.Pick(now, r)
				p.RequestStarted(now, r, c)
				counts[c.Server.ID]++
				if c.Server.ID != "north-0" {
					p.RequestFinished(now, r, c, Succeeded, 100*time.Millisecond)
					continue
				}
				took := 100 * time.Millisecond
				if result == Succeeded {
					took = 1500 * time.Millisecond
				}
				p.RequestFinished(now, r, c, result, took)
			}
			require.Less(t, counts["north-0"], 60)
			now := time.Minute
			for _, s := range p.DueProbes(now) {
				p.ProbeSucceeded(now, s.ID, 0)
			}
			s := p.servers["north-0"]
			s.fade(now)
			require.Less(t, s.slow, 1.1)
			require.Less(t, s.failing+s.shedding, 0.05, "marks fade")
		})
	}
}

// Guards against a server that left while this VM was cut off and is used
// since its entry might have lapsed.
func TestExpiredServerIsProbedFirst(t *testing.T) {
	list := servers("north", 1, 4)
	p := picker(list)
	lapsed := *list[0]
	lapsed.Expired = true
	p.Update(time.Second, service, map[string][]*steering.Server{"desk": {&lapsed}})
	require.Nil(t, p.Pick(time.Second, request(0)).Server)
	require.Len(t, p.DueProbes(time.Second), 1)
	p.ProbeSucceeded(time.Second, "north-0", 0)
	require.NotNil(t, p.Pick(time.Second, request(0)).Server)
	p.Update(2*time.Second, service, map[string][]*steering.Server{"desk": {&lapsed}})
	require.NotNil(t, p.Pick(2*time.Second, request(0)).Server, "one probe is enough")
}

// Guards against a split whose shares drift: after any number of requests each
// part is within one request of its weight.
func TestSplitKeepsItsWeights(t *testing.T) {
	s := NewTrafficSplitter([]steering.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, 0.5)
	counts := make(map[string]int)
	for i := 1; i <= 1000; i++ {
		counts[s.Next()]++
		require.InDelta(t, float64(i)*0.1, float64(counts["b"]), 1.5)
	}
}

// Guards against capacity that counts servers which cannot be used.
func TestCapacity(t *testing.T) {
	p := picker(servers("north", 2, 8), servers("south", 1, 4))
	require.Equal(t, map[string]float64{"north": 16, "south": 4}, p.Capacity(0, "desk"))
	r := request(0)
	r.Tried = []string{"north-0"}
	c := p.Pick(0, r)
	p.RequestStarted(0, r, c)
	p.RequestFinished(0, r, c, Unreachable, 0)
	require.Equal(t, map[string]float64{"north": 8, "south": 4}, p.Capacity(0, "desk"))
	require.Nil(t, p.Capacity(0, "none"))
}

// Replays one object that is asked for four times as often as one server can
// answer, on servers that are otherwise idle. Guards against rejecting it
// because only its first server is used.
func TestHotObjectSpreads(t *testing.T) {
	list := servers("north", 8, 4)
	w := newWorld(picker(list), list, 40)
	w.replay(133, 1, 5*time.Second)
	w.served, w.late, w.turned = 0, 0, 0
	w.replay(133, 1, 15*time.Second)
	require.Less(t, w.turned+w.late, 133*15/20)
}

// BenchmarkPick is the choice of a server at the size of a region of the grown
// deployments and of one ten times larger.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := picker(servers("north", n, 8))
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				r := request(HashObject("lookup", fmt.Sprint(i%100)))
				c := p.Pick(now, r)
				p.RequestStarted(now, r, c)
				p.RequestFinished(now, r, c, Succeeded, 100*time.Millisecond)
			}
		})
	}
}

// Guards against forgetting an object that was asked for a moment ago while
// older ones are remembered, so that its next request counts as cold.
func TestOldestObjectIsEvicted(t *testing.T) {
	s := newServer(servers("north", 1, 8)[0])
	for i := range uint64(3 * warmObjects) {
		now := time.Duration(i) * time.Millisecond
		s.touched(now, i+1)
		s.touched(now, 1)
		require.True(t, s.isWarm(now, 1))
		require.LessOrEqual(t, len(s.warm), warmObjects)
	}
	for i := range uint64(warmObjects - 1) {
		require.True(t, s.isWarm(0, 3*warmObjects-i))
	}
}

// Replays the failure of the first server of an object while the others are in
// use. Guards against requests that are rejected for its objects although the
// other servers have room.
func TestObjectsOfAFailedServerMoveToTheNext(t *testing.T) {
	p := picker(servers("north", 4, 8))
	first := p.Pick(0, request(7)).Server
	for _, s := range p.servers {
		p.LoadReported(0, s.told.ID, 8, 0)
	}
	c := Choice{Server: first}
	p.RequestStarted(0, request(7), c)
	p.RequestFinished(0, request(7), c, Unreachable, time.Millisecond)
	served := make(map[string]bool)
	for range 10 {
		c := p.Pick(0, request(7))
		require.NotNil(t, c.Server, c.Reason)
		require.NotEqual(t, first.ID, c.Server.ID)
		served[c.Server.ID] = true
	}
	require.Len(t, served, 1, "one server takes its place, so that it gets warm")
	for _, s := range p.servers {
		p.LoadReported(0, s.told.ID, 8, 8)
		p.LoadReported(0, s.told.ID, 8, 8)
	}
	c = p.Pick(0, request(9999))
	for c.Server != nil {
		require.NotEqual(t, first.ID, c.Server.ID)
		p.RequestStarted(0, request(9999), c)
		c = p.Pick(0, request(9999))
	}
	require.Equal(t, Overloaded, c.Reason, "servers that have no room are not told as missing")
}
