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

// init sets the seed and size of the random tests. Flags on the command line take
// precedence.
func init() {
	for name, value := range map[string]int{"seed": 20260101, "checks": safetyChecks, "steps": 60} {
		if err := flag.Set("rapid."+name, strconv.Itoa(value)); err != nil {
			panic(err)
		}
	}
}

// fleetModel runs a simulation with random faults.
type fleetModel struct{ s *sim }

func newFleetModel(t *rapid.T) *fleetModel {
	s := newSim(t, rapid.Uint64().Draw(t, "seed"))
	s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	s.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "dup")
	s.jitter = rapid.SampledFrom([]time.Duration{5, 200}).Draw(t, "jitter") * time.Millisecond
	s.tableJitter = rapid.SampledFrom([]time.Duration{10, 500}).Draw(t, "table jitter") * time.Millisecond
	s.lateProbability = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "late")
	s.loseAnswers = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost answers")
	for _, vm := range vmNames("a", rapid.IntRange(2, 7).Draw(t, "VMs")) {
		s.start(vm, s.randomClockRate())
	}
	s.run(10 * time.Second)
	return &fleetModel{s: s}
}

func (f *fleetModel) drawNode(t *rapid.T) *node {
	return f.s.nodes[rapid.SampledFrom(f.s.vms()).Draw(t, "vm")]
}

// restartEvicted starts a new incarnation of each VM that was evicted.
func (f *fleetModel) restartEvicted() {
	for _, vm := range f.s.vms() {
		if n := f.s.nodes[vm]; n.evicted && !n.killed {
			f.s.start(vm, f.s.randomClockRate())
		}
	}
}

func (f *fleetModel) run(d time.Duration) {
	f.s.run(d)
	f.restartEvicted()
}

// Guards against a VM that admits requests after it was evicted, under message
// loss, delay and duplication, clock rates that differ by up to 5%, pauses,
// network partitions and table faults. The simulation checks the property at
// every step.
func TestEvictedVMHoldsNoLease(t *testing.T) {
	evictions, served := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(t)
		actions := f.recoverableFaults()
		actions["restart"] = func(t *rapid.T) { f.s.start(f.drawNode(t).self.GetVm(), f.s.randomClockRate()) }
		actions["leave"] = func(t *rapid.T) { f.drawNode(t).leave() }
		actions["join"] = func(t *rapid.T) {
			if len(f.s.nodes) >= 9 {
				t.Skip("enough VMs")
			}
			f.s.start(vmNames("b", len(f.s.nodes))[len(f.s.nodes)-1], f.s.randomClockRate())
		}
		t.Repeat(actions)
		evictions += len(f.s.evictedAt)
		served += f.s.serving()
	})
	// Without evictions and leases the test would prove nothing.
	require.Greater(t, evictions, safetyChecks/2)
	require.Greater(t, served, safetyChecks/2)
	t.Log("evictions", evictions, "leases at the end", served)
}

// Guards against faults after which the fleet does not recover: votes without an
// eviction, changes whose outcome is never resolved, epochs that no VM announces.
// No VM is lost permanently, so a quorum always returns.
func TestFleetRecoversFromFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetModel(t)
		f.s.runUntil(5*time.Minute, "all VMs hold a lease before the faults", f.allServe)
		t.Repeat(f.recoverableFaults())
		f.endFaults()
		for _, vm := range f.s.vms() {
			if n := f.s.nodes[vm]; n.paused {
				n.resume()
			}
		}
		f.s.loss, f.s.lateProbability, f.s.loseAnswers = 0, 0, 0
		f.s.runUntil(2*time.Minute, "all VMs hold a lease after the faults", f.allServe)
	})
}

func (f *fleetModel) allServe() bool {
	f.restartEvicted()
	return f.s.serving() == len(f.s.nodes) && f.s.memberCount() == len(f.s.nodes)
}

func (f *fleetModel) endFaults() {
	f.s.isPartitioned = func(string, string) bool { return false }
	f.s.isDisconnectedFromTable = func(string) bool { return false }
	f.s.tableUp = true
}

// recoverableFaults returns the actions that lose no VM permanently.
func (f *fleetModel) recoverableFaults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			f.run(time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"run long": func(t *rapid.T) {
			f.run(time.Duration(rapid.IntRange(3, 20).Draw(t, "seconds")) * time.Second)
		},
		"silence": func(t *rapid.T) {
			n := f.drawNode(t)
			n.pause()
			f.run(time.Duration(rapid.IntRange(2500, 6000).Draw(t, "ms")) * time.Millisecond)
			n.resume()
		},
		"pause": func(t *rapid.T) { f.drawNode(t).pause() },
		"resume": func(t *rapid.T) {
			for _, vm := range f.s.vms() {
				if n := f.s.nodes[vm]; n.paused {
					n.resume()
					return
				}
			}
			t.Skip("no VM is paused")
		},
		"cut": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "pairs cut")
			f.s.isPartitioned = func(from, to string) bool { return mask>>(pairBit(from, to)%64)&1 == 1 }
		},
		"split": func(t *rapid.T) {
			side := rapid.Uint64().Draw(t, "side")
			f.s.isPartitioned = func(from, to string) bool { return side>>vmBit(from)&1 != side>>vmBit(to)&1 }
		},
		"heal":       func(*rapid.T) { f.endFaults() },
		"table down": func(*rapid.T) { f.s.tableUp = false },
		"table cut": func(t *rapid.T) {
			side := rapid.Uint64().Draw(t, "side")
			f.s.isDisconnectedFromTable = func(vm string) bool { return side>>vmBit(vm)&1 == 1 }
		},
		"": func(t *rapid.T) {
			for _, n := range f.s.allNodes {
				f.s.requireNoLeaseIfEvicted(n)
			}
		},
	}
}

func vmBit(vm string) int { return int(vm[0]+vm[1]*3+vm[2]) % 64 }

func pairBit(from, to string) int { return vmBit(from)*7 + vmBit(to) }
