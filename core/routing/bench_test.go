package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	fullMapBlocks  = 980_000
	fullMapRegions = 2_000
)

// randomEntries returns n distinct blocks: IPv4 prefixes of /16 to /24 and
// IPv6 prefixes of /32 to /48, some of them within others.
func randomEntries(n int) []BlockEntry {
	rnd := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]struct{}, n)
	entries := make([]BlockEntry, 0, n)
	for len(entries) < n {
		var p netip.Prefix
		if rnd.IntN(5) > 0 {
			bits := 16 + min(8, rnd.IntN(20))
			p, _ = netip.AddrFrom4([4]byte{byte(1 + rnd.IntN(222)), byte(rnd.Uint32()), byte(rnd.Uint32())}).Prefix(bits)
		} else {
			a := [16]byte{0x20, byte(rnd.IntN(64)), byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32())}
			p, _ = netip.AddrFrom16(a).Prefix(32 + 4*rnd.IntN(5))
		}
		if _, found := seen[p]; found {
			continue
		}
		seen[p] = struct{}{}
		entries = append(entries, BlockEntry{Prefix: p, Region: regionNames[rnd.IntN(fullMapRegions)]})
	}
	return entries
}

var regionNames = func() []string {
	names := make([]string, fullMapRegions)
	for i := range names {
		names[i] = "site-" + strconv.Itoa(i)
	}
	return names
}()

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookup measures the lookup of a block alone, and together with the
// ordering of the entry VMs of a fleet of 11.
func BenchmarkLookup(b *testing.B) {
	entries := randomEntries(fullMapBlocks)
	before := heapBytes()
	blocks, err := NewBlocks(entries)
	if err != nil {
		b.Fatal(err)
	}
	size := heapBytes() - before
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = entries[(i*7919)%len(entries)].Prefix.Addr().Next()
	}
	lookup := func(b *testing.B, i int) string {
		region, ok := blocks.Lookup(addresses[i&(1<<16-1)])
		if !ok {
			b.Fatal(addresses[i&(1<<16-1)])
		}
		return region
	}
	b.Run("block", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			lookup(b, i)
		}
		b.ReportMetric(float64(size)/(1<<20), "MiB")
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	})
	b.Run("block and order of VMs", func(b *testing.B) {
		d := NewDirectory(healthyVMs(11, regionNames[:3]...), nil)
		var dst [maxChoices]EntryChoice
		for _, name := range regionNames {
			d.order(name)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			d.Locate(dst[:0], Query{ClientRegion: lookup(b, i), CallerHash: mixBits(uint64(i))})
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
	})
	runtime.KeepAlive(blocks)
}

// BenchmarkResident reports the resident memory of a process that holds the
// full block map and nothing else. Run it alone: go test -run xxx -bench
// Resident.
func BenchmarkResident(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 2))
	blocks, err := BuildBlocks(func(yield func(BlockEntry) bool) {
		// Distinct /24 blocks in address order need no table of blocks already
		// seen.
		for i := range fullMapBlocks {
			n := uint32(i)*17 + 1<<16
			p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(n >> 16), byte(n >> 8), byte(n), 0}), 24)
			if !yield(BlockEntry{Prefix: p, Region: regionNames[rnd.IntN(fullMapRegions)]}) {
				return
			}
		}
	})
	if err != nil {
		b.Fatal(err)
	}
	debug.FreeOSMemory()
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		b.Skip(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			b.ReportMetric(float64(kib)/1024, "MiB-resident")
		}
	}
	a := netip.MustParseAddr("1.0.0.1")
	for range b.N {
		blocks.Lookup(a)
	}
}

// Guards against lookups that allocate.
func TestLookupDoesNotAllocate(t *testing.T) {
	blocks, err := NewBlocks(randomEntries(1000))
	if err != nil {
		t.Fatal(err)
	}
	a := netip.MustParseAddr("100.1.1.1")
	if n := testing.AllocsPerRun(100, func() { blocks.Lookup(a) }); n != 0 {
		t.Fatal(n)
	}
}

func BenchmarkLocate(b *testing.B) {
	delays := map[string]float64{"b": 10, "c": 20, "d": 30, "e": 40}
	for _, n := range []int{11, 64, 512} {
		vms := healthyVMs(n, "a", "b", "c", "d", "e")
		b.Run(fmt.Sprintf("function/vms=%d", n), func(b *testing.B) {
			in := LocateInput{ClientRegion: "a", Caller: "10.0.0.1", VMs: vms, DelayMS: delays}
			b.ReportAllocs()
			for range b.N {
				Locate(in)
			}
		})
		b.Run(fmt.Sprintf("directory/vms=%d", n), func(b *testing.B) {
			d := NewDirectory(vms, map[string]map[string]float64{"a": delays})
			var dst [maxChoices]EntryChoice
			b.ReportAllocs()
			for i := range b.N {
				d.Locate(dst[:0], Query{ClientRegion: "a", CallerHash: mixBits(uint64(i))})
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{11, 64, 512} {
		for _, regions := range []int{3, 45} {
			b.Run(fmt.Sprintf("vms=%d/regions=%d", n, regions), func(b *testing.B) {
				var cfg []RegionConfig
				for i := range regions {
					cfg = append(cfg, RegionConfig{Name: strconv.Itoa(i), CapPerSecond: 1e9, CapLimit: "cap", DelayMS: map[string]float64{"0": float64(i)}})
				}
				r := NewRegions(cfg)
				r.SetVMs(n)
				r.SetDrained("0", true)
				in := ChooseInput{From: "0"}
				now := epoch
				b.ReportAllocs()
				for range b.N {
					now = now.Add(50 * time.Microsecond)
					c, err := r.Choose(now, in, takeAlways)
					if err != nil {
						b.Fatal(err)
					}
					r.Done(now, c.Region)
				}
			})
		}
	}
}
