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
	// regionCycle is a prime that varies the region of a changed block.
	regionCycle   = 7
	blocksPerFile = 10_000
	lookups       = 2_000_000
	locates       = 20_000
	addressesUsed = 1 << 16
	addressStep   = 7919
)

// Series of the lookup.
var (
	blockHeap     = Series{roleLookup, "memory of the block table", unitBytes, byTotal, atEmpty}
	blockLookups  = Series{roleLookup, "Blocks.Lookup", unitPerCore, byTotal, atEmpty}
	blockAllocs   = Series{roleLookup, "allocations of Blocks.Lookup, 2,000,000 calls", unitAllocation, byTotal, atEmpty}
	blockUpdate   = Series{roleConfig, "time of Blocks.Update", unitMicro, byChanged, atEmpty}
	locateRate    = Series{roleLookup, "Directory.Locate", unitPerCore, byVMs, atEmpty}
	locateTime    = Series{roleLookup, "time of Directory.Locate", unitMicro, byVMs, atEmpty}
	locateAllocs  = Series{roleLookup, "allocations of Directory.Locate, 20,000 calls", unitAllocation, byVMs, atEmpty}
	directoryTime = Series{roleLookup, "time of NewDirectory", unitMicro, byVMs, atEmpty}
)

func regionName(i int) string { return fmt.Sprintf(regionFormat, i) }

// blockEntries returns distinct blocks: IPv4 /16 to /24 and, for one in five,
// IPv6 /32 to /48.
func blockEntries(n int) []routing.BlockEntry {
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

// blocksContent returns a file of client blocks. Each turn gives other regions.
func blocksContent(blocks []routing.BlockEntry, turn int) []byte {
	var b bytes.Buffer
	b.WriteString(blocksHead)
	for i, e := range blocks {
		if i > 0 {
			b.WriteByte(listSeparator)
		}
		region := e.Region
		if turn > 0 {
			region = regionName((i + turn*regionCycle) % regionsTarget)
		}
		fmt.Fprintf(&b, blockForm, e.Prefix, region)
	}
	b.WriteString(regionsTail)
	return b.Bytes()
}

// measureBlocks measures the table of client blocks and the compilation of its
// files.
func measureBlocks(r *Recorder, totals, changed, files []int) error {
	for _, n := range totals {
		entries := blockEntries(n)
		before := liveHeap()
		blocks, err := routing.NewBlocks(entries)
		if err != nil {
			return err
		}
		size := float64(n)
		r.Add(blockHeap, atEmpty, size, float64(liveHeap()-before))
		measureLookup(r, blocks, entries)
		for _, c := range changed {
			if err := measureUpdate(r, blocks, entries, c); err != nil {
				return err
			}
		}
		runtime.KeepAlive(blocks)
		if err := measureCompile(r, entries, files); err != nil {
			return err
		}
	}
	return nil
}

func measureLookup(r *Recorder, blocks *routing.Blocks, entries []routing.BlockEntry) {
	addresses := make([]netip.Addr, addressesUsed)
	for i := range addresses {
		addresses[i] = entries[i*addressStep%len(entries)].Prefix.Addr().Next()
	}
	found := 0
	allocated, began := allocations(), time.Now()
	for i := range lookups {
		if _, ok := blocks.Lookup(addresses[i%addressesUsed]); ok {
			found++
		}
	}
	took := time.Since(began)
	r.Add(blockLookups, atEmpty, float64(len(entries)), float64(found)/took.Seconds())
	r.Add(blockAllocs, atEmpty, float64(len(entries)), float64(allocations()-allocated))
}

func measureUpdate(r *Recorder, blocks *routing.Blocks, entries []routing.BlockEntry, changed int) error {
	remove := make([]netip.Prefix, changed)
	add := make([]routing.BlockEntry, changed)
	for i := range changed {
		remove[i] = entries[i].Prefix
		add[i] = routing.BlockEntry{Prefix: entries[i].Prefix, Region: regionName(i % regionsTarget)}
	}
	const turns = 10
	began := time.Now()
	for range turns {
		if _, err := blocks.Update(remove, add); err != nil {
			return err
		}
	}
	took := time.Since(began).Seconds() * microseconds / turns
	r.Add(blockUpdate, fmt.Sprintf(totalAt, len(entries)), float64(changed), took)
	return nil
}

// measureLocate measures the order of entry VMs for a caller of a region with a
// forty-fifth of the VMs, or a third of a small fleet.
func measureLocate(r *Recorder, vms []int) {
	for _, n := range vms {
		regions := regionsToday
		if n > groupsAbove {
			regions = regionsTarget
		}
		list := make([]routing.EntryVM, n)
		for i := range list {
			m := newMember(i)
			list[i] = routing.EntryVM{
				VM: m.Vm, Address: m.CallerAddress, Region: regionName(i % regions),
				FailureDomain: m.FailureDomain, Healthy: true, Headroom: 1,
			}
		}
		began := time.Now()
		const builds = 20
		var d *routing.Directory
		for range builds {
			d = routing.NewDirectory(list, nil)
		}
		r.Add(directoryTime, atEmpty, float64(n), time.Since(began).Seconds()*microseconds/builds)
		buffer := make([]routing.EntryChoice, 0, groupPeers)
		query := routing.Query{ClientRegion: regionName(0)}
		d.Locate(buffer, query)
		allocated, began := allocations(), time.Now()
		for i := range uint64(locates) {
			query.CallerHash = i * addressStep
			d.Locate(buffer, query)
		}
		took := time.Since(began)
		r.Add(locateRate, atEmpty, float64(n), locates/took.Seconds())
		r.Add(locateTime, atEmpty, float64(n), took.Seconds()*microseconds/locates)
		r.Add(locateAllocs, atEmpty, float64(n), float64(allocations()-allocated))
	}
}
