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
	allowedSomeDomains    = "at least one failure domain"
	allowedOtherRegion    = "the name of another declared region"
	allowedDomainOnce     = "a failure domain of one region; region %s has it too"
	allowedMillisecondsTo = "0 to %d milliseconds"
)

func (k *checker) checkRegions() {
	for i, r := range k.config.Regions {
		k.within(listRegions, i, suffixCap, r.CapPerSecond, minRatePerSecond, maxRatePerSecond)
		k.within(listRegions, i, suffixCapBurst, r.CapBurst, minBurst, maxBurst)
		k.within(listRegions, i, suffixRamp, r.RampPerSecond, minRamp, maxRamp)
		k.checkDelays(i, r)
		k.checkDomains(i, r)
	}
}

func (k *checker) checkDelays(i int, r Region) {
	for _, other := range slices.Sorted(maps.Keys(r.DelayMS)) {
		suffix := fmt.Sprintf(suffixDelayFormat, other)
		if other == r.Name || !k.regions[other] {
			k.add(listRegions, i, suffix, ErrUndeclared, other, allowedOtherRegion)
		}
		if delay := r.DelayMS[other]; !(delay >= 0 && delay <= maxDelayMS) {
			k.add(listRegions, i, suffix, ErrOutOfRange, delay, fmt.Sprintf(allowedMillisecondsTo, maxDelayMS))
		}
	}
}

func (k *checker) checkDomains(i int, r Region) {
	if len(r.FailureDomains) == 0 {
		k.add(listRegions, i, suffixFailureDomains, ErrMissing, emptyValueText, allowedSomeDomains)
	}
	for n, domain := range r.FailureDomains {
		suffix := fmt.Sprintf(suffixDomainFormat, n)
		k.name(listRegions, i, suffix, domain)
		if owner, seen := k.domains[domain]; seen {
			k.add(listRegions, i, suffix, ErrDuplicate, domain, fmt.Sprintf(allowedDomainOnce, owner))
			continue
		}
		k.domains[domain] = r.Name
	}
}

const (
	suffixFrom       = ".from"
	suffixTo         = ".to"
	suffixLimit      = ".limit_per_second"
	allowedTwoEnds   = "two different regions"
	allowedLinkOnce  = "one link for each ordered pair of regions"
	linkFormat       = "%s to %s"
	allowedLinkSum   = "at most %v, the sum of the links to the region, because no client block has it as nearest region"
	allowedNoOverlap = "a block that names the smallest enclosing block, %s, in within"
)

func (k *checker) checkLinks() {
	type pair struct{ from, to string }
	seen := map[pair]bool{}
	for i, link := range k.config.Links {
		k.known(listLinks, i, suffixFrom, link.From, k.regions, allowedRegion)
		k.known(listLinks, i, suffixTo, link.To, k.regions, allowedRegion)
		k.within(listLinks, i, suffixLimit, link.LimitPerSecond, minRatePerSecond, maxRatePerSecond)
		if link.From == link.To {
			k.add(listLinks, i, suffixTo, ErrContradiction, link.To, allowedTwoEnds)
		}
		p := pair{from: link.From, to: link.To}
		if seen[p] {
			k.add(listLinks, i, suffixTarget, ErrDuplicate, fmt.Sprintf(linkFormat, link.From, link.To), allowedLinkOnce)
		}
		seen[p] = true
	}
}

// checkReach compares region caps with links. Callers use entry VMs near them,
// so a region that is nearest to some client block gets traffic without
// crossing a link, and its cap is independent of the links. A region that is
// nearest to no client block gets all of its traffic over links: a cap above the
// sum of their limits promises capacity that cannot be reached. Without any
// client blocks nothing is known about callers, and nothing is checked.
func (k *checker) checkReach() {
	if len(k.config.Blocks) == 0 {
		return
	}
	nearest := map[string]bool{}
	for i := range k.config.Blocks {
		nearest[k.config.Blocks[i].Region] = true
	}
	into := map[string]float64{}
	for _, link := range k.config.Links {
		into[link.To] += link.LimitPerSecond
	}
	for i, r := range k.config.Regions {
		if !nearest[r.Name] && r.CapPerSecond > into[r.Name] {
			k.add(listRegions, i, suffixCap, ErrUnreachable, r.CapPerSecond, fmt.Sprintf(allowedLinkSum, into[r.Name]))
		}
	}
}

const (
	suffixPrefix     = ".prefix"
	suffixWithin     = ".within"
	allowedPrefix    = "a block in canonical CIDR form"
	allowedCanonical = "the canonical form %s"
	allowedBlockOnce = "a block that is declared once; it is also declared in %s at %s"
	allowedEnclosing = "the smallest enclosing block, %s"
	allowedNoWithin  = "nothing, because no declared block encloses this one"
)

// parsedBlock is a client block in the order of its address. The index refers
// to the configuration, so that the texts are not held twice.
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
			file, path := k.origins.of(listBlocks, int(stack[len(stack)-1].index), suffixPrefix)
			k.add(listBlocks, int(b.index), suffixPrefix, ErrDuplicate, b.prefix, fmt.Sprintf(allowedBlockOnce, file, path))
			continue
		}
		k.checkWithin(b, stack)
		stack = append(stack, b)
	}
}

// checkWithin compares the block's field within with the enclosing block.
func (k *checker) checkWithin(b parsedBlock, stack []parsedBlock) {
	i := int(b.index)
	within := k.config.Blocks[i].Within
	if len(stack) == 0 {
		if within != "" {
			k.add(listBlocks, i, suffixWithin, ErrUndeclared, within, allowedNoWithin)
		}
		return
	}
	enclosing := k.config.Blocks[stack[len(stack)-1].index].Prefix
	switch within {
	case enclosing:
	case "":
		k.add(listBlocks, i, suffixPrefix, ErrOverlap, b.prefix, fmt.Sprintf(allowedNoOverlap, enclosing))
	default:
		k.add(listBlocks, i, suffixWithin, ErrOverlap, within, fmt.Sprintf(allowedEnclosing, enclosing))
	}
}

func (k *checker) parseBlocks() []parsedBlock {
	blocks := make([]parsedBlock, 0, len(k.config.Blocks))
	for i := range k.config.Blocks {
		b := &k.config.Blocks[i]
		k.known(listBlocks, i, suffixRegion, b.Region, k.regions, allowedRegion)
		prefix, err := netip.ParsePrefix(b.Prefix)
		if err != nil || prefix.Addr().Is4In6() {
			k.add(listBlocks, i, suffixPrefix, ErrMalformed, b.Prefix, allowedPrefix)
			continue
		}
		// Comparing the formatted prefix without allocating a text for each.
		var buffer [maxPrefixText]byte
		if canonical := prefix.Masked(); string(canonical.AppendTo(buffer[:0])) != b.Prefix {
			k.add(listBlocks, i, suffixPrefix, ErrMalformed, b.Prefix, fmt.Sprintf(allowedCanonical, canonical))
			continue
		}
		blocks = append(blocks, parsedBlock{prefix: prefix, index: int32(i)})
	}
	return blocks
}

// maxPrefixText is the length of the longest IPv6 prefix in text, in bytes.
const maxPrefixText = 64

// compareBlocks orders by address and then from the shorter prefix to the
// longer, so that a block follows the blocks that enclose it.
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
