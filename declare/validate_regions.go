package declare

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

const (
	suffixCap             = ".cap_per_second"
	suffixCapBurst        = ".cap_burst"
	suffixRamp            = ".ramp_per_second"
	suffixDelayFormat     = ".delay_ms.%s"
	suffixFailureDomains  = ".failure_domains"
	suffixDomainFormat    = ".failure_domains[%d]"
	allowedDomains        = "at least one failure domain"
	allowedOtherRegion    = "the name of another declared region"
	allowedSingleRegion   = "a failure domain of a single region; it also belongs to region %s"
	allowedMillisecondsTo = "0 to %d milliseconds"
)

func (k *checker) checkRegions() {
	for i, r := range k.config.Regions {
		k.checkRange(listRegions, i, suffixCap, r.CapPerSecond, minRatePerSecond, maxRatePerSecond)
		k.checkRange(listRegions, i, suffixCapBurst, r.CapBurst, minBurst, maxBurst)
		k.checkRange(listRegions, i, suffixRamp, r.RampPerSecond, minRamp, maxRamp)
		k.checkDelays(i, r)
		k.checkDomains(i, r)
	}
}

func (k *checker) checkDelays(i int, r Region) {
	for _, other := range slices.Sorted(maps.Keys(r.DelayMS)) {
		suffix := fmt.Sprintf(suffixDelayFormat, other)
		if other == r.Name || !k.regions[other] {
			k.addError(listRegions, i, suffix, ErrUndeclared, other, allowedOtherRegion)
		}
		if delay := r.DelayMS[other]; !(delay >= 0 && delay <= maxDelayMS) {
			k.addError(listRegions, i, suffix, ErrOutOfRange, delay, fmt.Sprintf(allowedMillisecondsTo, maxDelayMS))
		}
	}
}

func (k *checker) checkDomains(i int, r Region) {
	if len(r.FailureDomains) == 0 {
		k.addError(listRegions, i, suffixFailureDomains, ErrMissing, emptyValueText, allowedDomains)
	}
	for n, domain := range r.FailureDomains {
		suffix := fmt.Sprintf(suffixDomainFormat, n)
		k.checkName(listRegions, i, suffix, domain)
		if owner, seen := k.domains[domain]; seen {
			k.addError(listRegions, i, suffix, ErrDuplicate, domain, fmt.Sprintf(allowedSingleRegion, owner))
			continue
		}
		k.domains[domain] = r.Name
	}
}

const (
	suffixFrom              = ".from"
	suffixTo                = ".to"
	suffixLimit             = ".limit_per_second"
	allowedDifferentRegions = "two different regions"
	allowedUniqueLink       = "one link for each ordered pair of regions"
	linkFormat              = "%s to %s"
	allowedLinkSum          = "at most %v, the sum of the links to the region, because no client block has it as nearest region"
	allowedNoOverlap        = "a block whose field within names the smallest enclosing block, %s"
)

func (k *checker) checkLinks() {
	type pair struct{ from, to string }
	seen := map[pair]bool{}
	for i, link := range k.config.Links {
		k.checkReference(listLinks, i, suffixFrom, link.From, k.regions, allowedRegion)
		k.checkReference(listLinks, i, suffixTo, link.To, k.regions, allowedRegion)
		k.checkRange(listLinks, i, suffixLimit, link.LimitPerSecond, minRatePerSecond, maxRatePerSecond)
		if link.From == link.To {
			k.addError(listLinks, i, suffixTo, ErrContradiction, link.To, allowedDifferentRegions)
		}
		p := pair{from: link.From, to: link.To}
		if seen[p] {
			k.addError(listLinks, i, suffixTarget, ErrDuplicate, fmt.Sprintf(linkFormat, link.From, link.To), allowedUniqueLink)
		}
		seen[p] = true
	}
}

// checkReachable compares region caps with links. Callers use entry VMs near
// them. A region that is nearest to some client block therefore receives
// traffic that crosses no link, and its cap is independent of the links. A
// region that is nearest to no client block receives all of its traffic over
// links. A cap above the sum of their limits would promise capacity that cannot
// be reached. Without client blocks nothing is known about the callers, so
// nothing is checked.
func (k *checker) checkReachable() {
	if len(k.config.Blocks) == 0 {
		return
	}
	nearest := map[string]bool{}
	for i := range k.config.Blocks {
		nearest[k.config.Blocks[i].Region] = true
	}
	linkCapacity := map[string]float64{}
	for _, link := range k.config.Links {
		linkCapacity[link.To] += link.LimitPerSecond
	}
	for i, r := range k.config.Regions {
		if !nearest[r.Name] && r.CapPerSecond > linkCapacity[r.Name] {
			k.addError(listRegions, i, suffixCap, ErrUnreachable, r.CapPerSecond, fmt.Sprintf(allowedLinkSum, linkCapacity[r.Name]))
		}
	}
}

const (
	suffixPrefix       = ".prefix"
	suffixWithin       = ".within"
	allowedPrefix      = "a block in canonical CIDR form"
	allowedCanonical   = "the canonical form %s"
	allowedUniqueBlock = "a block that is declared once; it is also declared in %s at %s"
	allowedEnclosing   = "the smallest enclosing block, %s"
	allowedNoWithin    = "nothing, because no declared block encloses this one"
)

// parsedBlock is a client block with its parsed prefix. It refers to the
// configuration by index, so that strings are not held twice.
type parsedBlock struct {
	prefix netip.Prefix
	index  int32
}

// checkBlocks checks all client blocks in one pass over the sorted blocks. The
// stack holds the blocks that enclose the current one.
func (k *checker) checkBlocks() {
	blocks := k.parseBlocks()
	slices.SortFunc(blocks, compareBlocks)
	var stack []parsedBlock
	for _, b := range blocks {
		for len(stack) > 0 && !encloses(stack[len(stack)-1].prefix, b.prefix) {
			stack = stack[:len(stack)-1]
		}
		if len(stack) > 0 && stack[len(stack)-1].prefix == b.prefix {
			file, path := k.origins.locate(listBlocks, int(stack[len(stack)-1].index), suffixPrefix)
			k.addError(listBlocks, int(b.index), suffixPrefix, ErrDuplicate, b.prefix, fmt.Sprintf(allowedUniqueBlock, file, path))
			continue
		}
		k.checkWithin(b, stack)
		stack = append(stack, b)
	}
}

// checkWithin compares the field within of a block with the enclosing block.
func (k *checker) checkWithin(b parsedBlock, stack []parsedBlock) {
	i := int(b.index)
	within := k.config.Blocks[i].Within
	if len(stack) == 0 {
		if within != "" {
			k.addError(listBlocks, i, suffixWithin, ErrUndeclared, within, allowedNoWithin)
		}
		return
	}
	enclosing := k.config.Blocks[stack[len(stack)-1].index].Prefix
	switch within {
	case enclosing:
	case "":
		k.addError(listBlocks, i, suffixPrefix, ErrOverlap, b.prefix, fmt.Sprintf(allowedNoOverlap, enclosing))
	default:
		k.addError(listBlocks, i, suffixWithin, ErrOverlap, within, fmt.Sprintf(allowedEnclosing, enclosing))
	}
}

func (k *checker) parseBlocks() []parsedBlock {
	blocks := make([]parsedBlock, 0, len(k.config.Blocks))
	for i := range k.config.Blocks {
		b := &k.config.Blocks[i]
		k.checkReference(listBlocks, i, suffixRegion, b.Region, k.regions, allowedRegion)
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil || prefix.Addr().Is4In6() {
			k.addError(listBlocks, i, suffixPrefix, ErrMalformed, b.Prefix, allowedPrefix)
			continue
		}
		// Compares the formatted prefix without allocating a string for each
		// block.
		var buffer [maxPrefixText]byte
		if canonical := prefix.Masked(); string(canonical.AppendTo(buffer[:0])) != b.Prefix {
			k.addError(listBlocks, i, suffixPrefix, ErrMalformed, b.Prefix, fmt.Sprintf(allowedCanonical, canonical))
			continue
		}
		blocks = append(blocks, parsedBlock{prefix: prefix, index: int32(i)})
	}
	return blocks
}

// maxPrefixText is an upper bound of the length of a formatted prefix, in
// bytes.
const maxPrefixText = 64

// compareBlocks orders blocks by address and then from the shorter to the
// longer prefix, so that a block follows the blocks that enclose it.
func compareBlocks(a, b parsedBlock) int {
	if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
		return c
	}
	if c := a.prefix.Bits() - b.prefix.Bits(); c != 0 {
		return c
	}
	return int(a.index - b.index)
}

func encloses(outer, inner netip.Prefix) bool {
	return outer.Bits() <= inner.Bits() && outer.Contains(inner.Addr())
}
