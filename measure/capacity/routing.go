package capacity

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/cassiawind/cassiawind/core/routing"
)

const (
	roleLookup = "caller's lookup"

	unitPerCore    = "1/core/s"
	unitAllocation = "allocations"

	regionsTarget = 45
	// regionShift is a prime by which the regions of the blocks are shifted in
	// each revision.
	regionShift   = 7
	blocksPerFile = 10_000
	lookupCalls   = 2_000_000
	locateCalls   = 20_000
	addressCount  = 1 << 16
	addressStep   = 7919
)

// Series of the lookup.
var (
	blockHeap     = Series{roleLookup, "memory of the block table", unitBytes, byTotal, noConditions}
	blockLookups  = Series{roleLookup, "Blocks.Lookup", unitPerCore, byTotal, noConditions}
	blockAllocs   = Series{roleLookup, "allocations of Blocks.Lookup, 2,000,000 calls", unitAllocation, byTotal, noConditions}
	blockUpdate   = Series{roleConfig, "time of Blocks.Update", unitCPUMicros, byChanged, noConditions}
	locateRate    = Series{roleLookup, "Directory.Locate", unitPerCore, byVMs, noConditions}
	locateTime    = Series{roleLookup, "time of Directory.Locate", unitCPUMicros, byVMs, noConditions}
	locateAllocs  = Series{roleLookup, "allocations of Directory.Locate, 20,000 calls", unitAllocation, byVMs, noConditions}
	directoryTime = Series{roleLookup, "time of NewDirectory", unitCPUMicros, byVMs, noConditions}
)

func regionName(i int) string { return fmt.Sprintf(regionFormat, i) }

// randomBlocks returns distinct client blocks. One in five is an IPv6 prefix of
// length 32 to 48, the others are IPv4 prefixes of length 16 to 24.
func randomBlocks(n int) []routing.BlockEntry {
	rnd := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]struct{}, n)
	entries := make([]routing.BlockEntry, 0, n)
	for len(entries) < n {
		var p netip.Prefix
		if rnd.IntN(5) > 0 {
			p, _ = netip.AddrFrom4([4]byte{byte(1 + rnd.IntN(222)), byte(rnd.Uint32()), byte(rnd.Uint32())}).Prefix(16 + min(8, rnd.IntN(20)))
		} else {
			a := [16]byte{0x20, byte(rnd.IntN(64)), byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32())}
			p, _ = netip.AddrFrom16(a).Prefix(32 + 4*rnd.IntN(5))
		}
		if _, found := seen[p]; found {
			continue
		}
		seen[p] = struct{}{}
		entries = append(entries, routing.BlockEntry{Prefix: p, Region: regionName(rnd.IntN(regionsTarget))})
	}
	return entries
}

// blocksContent returns a file of client blocks. Each revision after 0 gives the blocks
// other regions.
func blocksContent(blocks []routing.BlockEntry, revision int) []byte {
	var b bytes.Buffer
	b.WriteString(blocksPrefix)
	for i, e := range blocks {
		if i > 0 {
			b.WriteByte(listSeparator)
		}
		region := e.Region
		if revision > 0 {
			region = regionName((i + revision*regionShift) % regionsTarget)
		}
		fmt.Fprintf(&b, blockJSONFormat, e.Prefix, region)
	}
	b.WriteString(listSuffix)
	return b.Bytes()
}

// measureBlocks measures the table of client blocks and the compilation of the files
// that declare them.
func measureBlocks(r *Recorder, totals, changedBlocks, fileSizes []int) error {
	for _, n := range totals {
		entries := randomBlocks(n)
		before := liveHeap()
		blocks, err := routing.NewBlocks(entries)
		if err != nil {
			return err
		}
		size := float64(n)
		r.Add(blockHeap, noConditions, size, float64(liveHeap()-before))
		measureLookup(r, blocks, entries)
		for _, c := range changedBlocks {
			if err := measureUpdate(r, blocks, entries, c); err != nil {
				return err
			}
		}
		runtime.KeepAlive(blocks)
		if err := measureCompile(r, entries, fileSizes); err != nil {
			return err
		}
	}
	return nil
}

func measureLookup(r *Recorder, blocks *routing.Blocks, entries []routing.BlockEntry) {
	addresses := make([]netip.Addr, addressCount)
	for i := range addresses {
		addresses[i] = entries[i*addressStep%len(entries)].Prefix.Addr().Next()
	}
	found := 0
	allocated, startedAt := allocations(), time.Now()
	for i := range lookupCalls {
		if _, ok := blocks.Lookup(addresses[i%addressCount]); ok {
			found++
		}
	}
	took := time.Since(startedAt)
	r.Add(blockLookups, noConditions, float64(len(entries)), float64(found)/took.Seconds())
	r.Add(blockAllocs, noConditions, float64(len(entries)), float64(allocations()-allocated))
}

func measureUpdate(r *Recorder, blocks *routing.Blocks, entries []routing.BlockEntry, changed int) error {
	remove := make([]netip.Prefix, changed)
	add := make([]routing.BlockEntry, changed)
	for i := range changed {
		remove[i] = entries[i].Prefix
		add[i] = routing.BlockEntry{Prefix: entries[i].Prefix, Region: regionName(i % regionsTarget)}
	}
	const roundCount = 10
	startedAt := time.Now()
	for range roundCount {
		if _, err := blocks.Update(remove, add); err != nil {
			return err
		}
	}
	took := time.Since(startedAt).Seconds() * microseconds / roundCount
	r.Add(blockUpdate, fmt.Sprintf(totalFormat, len(entries)), float64(changed), took)
	return nil
}

// measureLocate measures the selection of entry VMs for a caller. The region of the
// caller has one in regionsTarget of the VMs, or one in presentRegions in a fleet of at
// most fullMeshLimit VMs.
func measureLocate(r *Recorder, vms []int) {
	for _, n := range vms {
		regions := presentRegions
		if n > fullMeshLimit {
			regions = regionsTarget
		}
		entryVMs := make([]routing.EntryVM, n)
		for i := range entryVMs {
			m := newMember(i)
			entryVMs[i] = routing.EntryVM{
				VM: m.Vm, Address: m.CallerAddress, Region: regionName(i % regions),
				FailureDomain: m.FailureDomain, Healthy: true, Headroom: 1,
			}
		}
		startedAt := time.Now()
		const builds = 20
		var directory *routing.Directory
		for range builds {
			directory = routing.NewDirectory(entryVMs, nil)
		}
		r.Add(directoryTime, noConditions, float64(n), time.Since(startedAt).Seconds()*microseconds/builds)
		buffer := make([]routing.EntryChoice, 0, heartbeatPeers)
		query := routing.Query{ClientRegion: regionName(0)}
		directory.Locate(buffer, query)
		allocated, startedAt := allocations(), time.Now()
		for i := range uint64(locateCalls) {
			query.CallerHash = i * addressStep
			directory.Locate(buffer, query)
		}
		took := time.Since(startedAt)
		r.Add(locateRate, noConditions, float64(n), locateCalls/took.Seconds())
		r.Add(locateTime, noConditions, float64(n), took.Seconds()*microseconds/locateCalls)
		r.Add(locateAllocs, noConditions, float64(n), float64(allocations()-allocated))
	}
}
