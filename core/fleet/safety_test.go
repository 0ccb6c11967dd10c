package fleet

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// safetyChecks is the number of cases of each random test.
const safetyChecks = 200

// Fixes what the random tests do, unless the command line says otherwise.
func init() {
	for name, value := range map[string]int{"seed": 20260101, "checks": safetyChecks, "steps": 60} {
		if err := flag.Set("rapid."+name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
}

// fleetModel drives a sim with random faults.
type fleetModel struct{ s *sim }

func newFleetModel(t *rapid.T) *fleetModel {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"))
	s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	s.dup = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "dup")
	s.jitter = rapid.SampledFrom([]time.Duration{5, 200}).Draw(t, "jitter") * time.Millisecond
	s.tableJitter = rapid.SampledFrom([]time.Duration{10, 500}).Draw(t, "table jitter") * time.Millisecond
	s.late = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late")
	s.loseAnswers = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost answers")
	for _, vm := range names("a", rapid.IntRange(2, 7).Draw(t, "VMs")) {
		s.start(vm, s.rate())
	}
	s.run(10 * time.Second)
	return &fleetModel{s: s}
}

func (f *fleetModel) pick(t *rapid.T) *node {
	return f.s.nodes[rapid.SampledFrom(f.s.vms()).Draw(t, "vm")]
}

// restartEvicted starts a new incarnation of each VM that was evicted.
func (f *fleetModel) restartEvicted() {
	for _, vm := range f.s.vms() {
		if n := f.s.nodes[vm]; n.evicted && !n.dead {
			f.s.start(vm, f.s.rate())
		}
	}
}

func (f *fleetModel) run(d time.Duration) {
	f.s.run(d)
	f.restartEvicted()
}

// Guards against a VM that admits requests after the fleet has evicted it,
// under message loss, delay and duplication, clock rates within 5%, pauses,
// cuts and table faults. The sim checks the property at every step.
func TestEvictedVMHoldsNoLease(t *testing.T) {
	evictions, served := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(t)
		actions := f.faults()
		actions["restart"] = func(t *rapid.T) { f.s.start(f.pick(t).self.GetVm(), f.s.rate()) }
		actions["leave"] = func(t *rapid.T) { f.pick(t).leave() }
		actions["join"] = func(t *rapid.T) {
			if len(f.s.nodes) >= 9 {
				t.Skip("enough VMs")
			}
			f.s.start(names("b", len(f.s.nodes))[len(f.s.nodes)-1], f.s.rate())
		}
		t.Repeat(actions)
		evictions += len(f.s.evictedAt)
		served += f.s.serving()
	})
	// Without evictions and leases the property would hold trivially.
	require.Greater(t, evictions, safetyChecks/2)
	require.Greater(t, served, safetyChecks/2)
	t.Log("evictions", evictions, "leases at the end", served)
}

// Guards against faults that leave the fleet stuck after they have ended: votes
// without an eviction, changes whose outcome is never resolved, epochs that
// nobody announces. No VM is lost for good, so a quorum always returns.
func TestFleetRecoversFromFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(t)
		f.s.runUntil(5*time.Minute, "all serve at first", f.allServe)
		t.Repeat(f.faults())
		f.heal()
		for _, vm := range f.s.vms() {
			if n := f.s.nodes[vm]; n.paused {
				n.resume()
			}
		}
		f.s.loss, f.s.late, f.s.loseAnswers = 0, 0, 0
		f.s.runUntil(2*time.Minute, "all serve at last", f.allServe)
	})
}

func (f *fleetModel) allServe() bool {
	f.restartEvicted()
	return f.s.serving() == len(f.s.nodes) && f.s.memberCount() == len(f.s.nodes)
}

func (f *fleetModel) heal() {
	f.s.cut = func(string, string) bool { return false }
	f.s.cutTable = func(string) bool { return false }
	f.s.tableUp = true
}

// faults are the actions that lose no VM for good.
func (f *fleetModel) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			f.run(time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"run long": func(t *rapid.T) {
			f.run(time.Duration(rapid.IntRange(3, 20).Draw(t, "seconds")) * time.Second)
		},
		"silence": func(t *rapid.T) {
			n := f.pick(t)
			n.pause()
			f.run(time.Duration(rapid.IntRange(2500, 6000).Draw(t, "ms")) * time.Millisecond)
			n.resume()
		},
		"pause": func(t *rapid.T) { f.pick(t).pause() },
		"resume": func(t *rapid.T) {
			for _, vm := range f.s.vms() {
				if n := f.s.nodes[vm]; n.paused {
					n.resume()
					return
				}
			}
			t.Skip("none is paused")
		},
		"cut": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "pairs cut")
			f.s.cut = func(from, to string) bool { return mask>>(pairBit(from, to)%64)&1 == 1 }
		},
		"split": func(t *rapid.T) {
			side := rapid.Uint64().Draw(t, "side")
			f.s.cut = func(from, to string) bool { return side>>vmBit(from)&1 != side>>vmBit(to)&1 }
		},
		"heal":       func(*rapid.T) { f.heal() },
		"table down": func(*rapid.T) { f.s.tableUp = false },
		"table cut": func(t *rapid.T) {
			side := rapid.Uint64().Draw(t, "side")
			f.s.cutTable = func(vm string) bool { return side>>vmBit(vm)&1 == 1 }
		},
		"": func(t *rapid.T) {
			for _, n := range f.s.all {
				f.s.check(n)
			}
		},
	}
}

func vmBit(vm string) int { return int(vm[0]+vm[1]*3+vm[2]) % 64 }

func pairBit(from, to string) int { return vmBit(from)*7 + vmBit(to) }
