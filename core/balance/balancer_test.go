package balance

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func fixedRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func serversOf(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{Name: "s" + strconv.Itoa(i), Region: "luzon", Slots: 8, MaxConnections: 360}
	}
	return out
}

func newBalancer(n, entryVMs int) *Balancer {
	b := New(Config{}, fixedRand(1))
	b.SetServers(epoch, serversOf(n), entryVMs)
	return b
}

// simulate sends one request per interval and responds to it after the
// latency of its server; with a latency of 0, the server never responds. It
// returns the number of requests per server.
func simulate(b *Balancer, from time.Time, d, interval time.Duration, latency func(name string) time.Duration, onStep func(now time.Time)) map[string]int {
	type pendingResponse struct {
		at   time.Time
		name string
	}
	var pending []pendingResponse
	sent := map[string]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(interval) {
		remaining := pending[:0]
		for _, a := range pending {
			if now.Before(a.at) {
				remaining = append(remaining, a)
				continue
			}
			b.Done(now, a.name, Outcome{Latency: latency(a.name)})
		}
		pending = remaining
		if onStep != nil {
			onStep(now)
		}
		s, err := b.Pick(now, PickInput{Region: "luzon"})
		if err != nil {
			continue
		}
		sent[s.Name]++
		if l := latency(s.Name); l > 0 {
			pending = append(pending, pendingResponse{at: now.Add(l), name: s.Name})
		}
	}
	for _, a := range pending {
		b.Done(a.at, a.name, Outcome{Latency: latency(a.name)})
	}
	return sent
}

func constantLatency(string) time.Duration { return 20 * time.Millisecond }

func statusOf(b *Balancer, now time.Time, name string) ServerStatus {
	for _, s := range b.Status(now) {
		if s.Name == name {
			return s
		}
	}
	return ServerStatus{}
}

// Guards against new work for a leaving server: after its report, when its
// reports stop after that, and when an older report arrives late.
func TestLeavingServerGetsNoWork(t *testing.T) {
	b := newBalancer(2, 1)
	b.Report(epoch, "s0", Report{At: epoch, State: StateLeaving, Slots: 8})
	b.Report(epoch, "s0", Report{At: epoch.Add(-time.Second), State: StateServing, Slots: 8})
	sent := simulate(b, epoch, time.Minute, 100*time.Millisecond, constantLatency, nil)
	require.Zero(t, sent["s0"])
	_, err := b.Pick(epoch, PickInput{Region: "luzon", Exclude: []string{"s1"}})
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	require.ErrorIs(t, err, ErrNoServer)
	require.Equal(t, NoServerError{RetryAfter: retryAfterUnavailable, Leaving: 1, Excluded: 1}, *none)
}

// Guards against a configured drain that is ignored.
func TestDrainedServerGetsNoWork(t *testing.T) {
	b := newBalancer(3, 1)
	servers := serversOf(3)
	servers[1].Draining = true
	b.SetServers(epoch, servers, 1)
	require.Zero(t, simulate(b, epoch, time.Second, time.Millisecond, constantLatency, nil)["s1"])
}

// reportAll returns a function that reports all servers but one every second.
func reportAll(b *Balancer, n int, except string) func(time.Time) {
	last := time.Time{}
	return func(now time.Time) {
		if now.Sub(last) < time.Second {
			return
		}
		last = now
		for i := range n {
			if name := "s" + strconv.Itoa(i); name != except {
				b.Report(now, name, Report{Slots: 8, InFlight: 2})
			}
		}
	}
}

// Guards against new work, for more than 3 s, for a server that leaves and
// stops reporting.
func TestMissingReportsEndNewWork(t *testing.T) {
	b := newBalancer(10, 1)
	reportAll(b, 10, "")(epoch)
	onStep := reportAll(b, 10, "s3")
	require.NotZero(t, simulate(b, epoch, 2*time.Second, time.Millisecond, constantLatency, onStep)["s3"])
	simulate(b, epoch.Add(2*time.Second), time.Second, time.Millisecond, constantLatency, onStep)
	require.Zero(t, simulate(b, epoch.Add(3*time.Second), 30*time.Second, time.Millisecond, constantLatency, onStep)["s3"])
	require.Equal(t, EjectNoReport, statusOf(b, epoch.Add(33*time.Second), "s3").Ejected)
}

// Guards against normal work for servers that stop reporting when there are
// more of them than may be ejected.
func TestMissingReportsBeyondTheBound(t *testing.T) {
	b := newBalancer(10, 1)
	reportAll(b, 10, "")(epoch)
	last := epoch
	onStep := func(now time.Time) {
		if now.Sub(last) < time.Second {
			return
		}
		last = now
		for i := 4; i < 10; i++ {
			b.Report(now, "s"+strconv.Itoa(i), Report{Slots: 8, InFlight: 2})
		}
	}
	simulate(b, epoch, 3*time.Second, time.Millisecond, constantLatency, onStep)
	sent := simulate(b, epoch.Add(3*time.Second), 10*time.Second, time.Millisecond, constantLatency, onStep)
	require.Less(t, sent["s0"]+sent["s1"]+sent["s2"]+sent["s3"], 10_000*4/10/20)
}

// Guards against ejections because the reports of all servers stop.
func TestAllReportsStop(t *testing.T) {
	b := newBalancer(10, 1)
	reportAll(b, 10, "")(epoch)
	sent := simulate(b, epoch, 30*time.Second, time.Millisecond, constantLatency, nil)
	for i := range 10 {
		require.Greater(t, sent["s"+strconv.Itoa(i)], 1500)
	}
}

// Guards against more than a few requests to a server that accepts requests
// and never responds, while its reports claim that it is idle.
func TestUnresponsiveServer(t *testing.T) {
	b := newBalancer(10, 1)
	latency := func(name string) time.Duration {
		if name == "s4" {
			return 0
		}
		return 20 * time.Millisecond
	}
	onStep := func(now time.Time) { b.Report(now, "s4", Report{Slots: 8}) }
	sent := simulate(b, epoch, 4*time.Second, 2*time.Millisecond, latency, onStep)
	require.LessOrEqual(t, sent["s4"], 8)
	require.Equal(t, EjectUnresponsive, statusOf(b, epoch.Add(4*time.Second), "s4").Ejected)
}

// Guards against a slow server that attracts work by reporting no load.
func TestUnderreportedLoad(t *testing.T) {
	b := newBalancer(10, 2)
	latency := func(name string) time.Duration {
		if name == "s4" {
			return 50 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	last := epoch
	onStep := func(now time.Time) {
		if now.Sub(last) < 500*time.Millisecond {
			return
		}
		last = now
		for i := range 10 {
			inFlight := 4
			if i == 4 {
				inFlight = 0
			}
			b.Report(now, "s"+strconv.Itoa(i), Report{Slots: 8, InFlight: inFlight})
		}
	}
	sent := simulate(b, epoch, 10*time.Second, time.Millisecond, latency, onStep)
	require.Less(t, sent["s4"], 10_000/10)
	require.Less(t, statusOf(b, epoch.Add(10*time.Second), "s4").Trust, 0.1)
	require.Greater(t, statusOf(b, epoch.Add(10*time.Second), "s5").Trust, 0.9)
}

// Guards against an overload of a new server because each VM sends it more
// than its share at once.
func TestColdServerIsNotOverloaded(t *testing.T) {
	b := newBalancer(9, 11)
	simulate(b, epoch, 5*time.Second, time.Millisecond, constantLatency, nil)
	joined := epoch.Add(5 * time.Second)
	b.SetServers(joined, serversOf(10), 11)
	first := simulate(b, joined, time.Second, time.Millisecond, constantLatency, nil)
	require.Less(t, first["s9"], 1000/10/3)
	later := simulate(b, joined.Add(11*time.Second), 4*time.Second, time.Millisecond, constantLatency, nil)
	require.InDelta(t, 4000/10, later["s9"], 100)
}

// Guards against a herd effect: all VMs see the same old report of one idle
// server.
func TestNoHerdOnStaleReport(t *testing.T) {
	const vms = 11
	chosen := 0
	for v := range vms {
		b := New(Config{}, fixedRand(uint64(v)))
		b.SetServers(epoch, serversOf(16), vms)
		for i := range 16 {
			load := 7
			if i == 5 {
				load = 0
			}
			b.Report(epoch, "s"+strconv.Itoa(i), Report{Slots: 8, InFlight: load})
		}
		for range 4 {
			s, err := b.Pick(epoch.Add(500*time.Millisecond), PickInput{})
			require.NoError(t, err)
			if s.Name == "s5" {
				chosen++
			}
		}
	}
	require.LessOrEqual(t, chosen, 8+vms/2) // of 44 requests, for 8 free slots
}

// Guards against more connections to a server than its limit over all VMs.
func TestConnectionLimitIsDivided(t *testing.T) {
	b := newBalancer(1, 11)
	require.Equal(t, 360/11, b.ConnectionLimit("s0"))
	for range 360 / 11 {
		_, err := b.Pick(epoch, PickInput{})
		require.NoError(t, err)
	}
	_, err := b.Pick(epoch, PickInput{})
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	require.Equal(t, NoServerError{RetryAfter: retryAfterFull, Full: 1}, *none)
}

// Guards against requests that leave the region against whose cap they were
// counted.
func TestRegionIsKept(t *testing.T) {
	b := newBalancer(2, 1)
	_, err := b.Pick(epoch, PickInput{Region: "visayas"})
	require.ErrorIs(t, err, ErrNoServer)
	s, err := b.Pick(epoch, PickInput{Region: "visayas", AllowOtherRegions: true})
	require.NoError(t, err)
	require.Equal(t, "luzon", s.Region)
}

// Guards against too many ejected servers, and against work for servers that
// are ejected, leaving, excluded or at their connection limit.
func TestEjectionBoundProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		b := New(Config{UnresponsiveTimeout: 300 * time.Millisecond}, fixedRand(rapid.Uint64().Draw(t, "seed")))
		b.SetServers(epoch, serversOf(n), 40)
		now := epoch
		leaving := map[string]bool{}
		var inFlight []string
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			name := "s" + strconv.Itoa(rapid.IntRange(0, n-1).Draw(t, "server"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				state := State(rapid.IntRange(0, 2).Draw(t, "state"))
				leaving[name] = state == StateLeaving
				b.Report(now, name, Report{State: state, Slots: 8, InFlight: rapid.IntRange(0, 20).Draw(t, "load")})
			case 1, 2:
				if len(inFlight) > 0 {
					class := Class(rapid.IntRange(0, 5).Draw(t, "class"))
					b.Done(now, inFlight[0], Outcome{Class: class, Latency: time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond})
					inFlight = inFlight[1:]
				}
			default:
				if s, err := b.Pick(now, PickInput{Exclude: []string{name}}); err == nil {
					inFlight = append(inFlight, s.Name)
					status := statusOf(b, now, s.Name)
					require.NotEqual(t, name, s.Name)
					require.False(t, leaving[s.Name])
					require.Equal(t, NotEjected, status.Ejected)
					require.LessOrEqual(t, status.InFlight, status.ConnectionLimit)
				}
			}
			ejected := 0
			for _, s := range b.Status(now) {
				if s.Ejected != NotEjected {
					ejected++
				}
			}
			require.LessOrEqual(t, ejected, n/5)
		}
	})
}

// Guards against more ejected servers than allowed after other servers were
// removed.
func TestBoundFallsWithServers(t *testing.T) {
	b := newBalancer(10, 1)
	for _, name := range []string{"s0", "s1"} {
		for range maxConsecutiveNoResponses {
			b.Done(epoch, name, Outcome{Class: ClassTimeout})
		}
	}
	b.sweep(epoch)
	require.Equal(t, EjectUnresponsive, statusOf(b, epoch, "s1").Ejected)
	b.SetServers(epoch, serversOf(5), 1)
	ejected := 0
	for _, s := range b.Status(epoch.Add(sweepInterval)) {
		if s.Ejected != NotEjected {
			ejected++
		}
	}
	require.Equal(t, 1, ejected)
}

// Guards against traffic to a region that has failed as a whole, of whose
// servers only a part may be ejected, and against a region that stays failed
// after it has recovered.
func TestRegionFailed(t *testing.T) {
	b := New(Config{}, fixedRand(1))
	servers := serversOf(6)
	for i := range 3 {
		servers[i].Region = "visayas"
	}
	b.SetServers(epoch, servers, 1)
	reportAll(b, 6, "")(epoch)
	now := epoch
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for i := 3; i < 6; i++ {
			b.Report(now, "s"+strconv.Itoa(i), Report{Slots: 8})
		}
	}
	require.True(t, b.RegionFailed(now, "visayas"))
	require.False(t, b.RegionFailed(now, "luzon"))
	require.False(t, b.RegionFailed(now, "mindanao"))
	b.Report(now, "s1", Report{Slots: 8})
	require.False(t, b.RegionFailed(now, "visayas"))
	for i := range 3 {
		b.Report(now, "s"+strconv.Itoa(i), Report{Slots: 8})
		for range maxConsecutiveNoResponses {
			b.Done(now.Add(time.Millisecond), "s"+strconv.Itoa(i), Outcome{Class: ClassConnectFailed})
		}
	}
	require.True(t, b.RegionFailed(now, "visayas"))
}
