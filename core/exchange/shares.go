package exchange

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiawind/cassiawind/core/ratelimit"
)

// lostDemand is the demand that VMs of one region reported for their accounts
// before they became silent. It is used until the new owners have measured it.
type lostDemand struct {
	region string
	demand map[string]float64
	until  time.Duration
}

// sentReport is the demand in a sent report and the time when it was sent.
type sentReport struct {
	demand map[string]float64
	sentAt time.Duration
}

type ownerKey struct{ region, account string }

// RateShare returns the fraction of an account's rate that this VM may use as the
// owner of the account in its region.
func (m *Machine) RateShare(now time.Duration, account string, rate float64) float64 {
	d, _ := m.Digest(now)
	if !m.CountsAsActive(now) {
		// The VMs that request tokens here do not use their own equal shares.
		return min(1, float64(1+m.tokenRequesters(now))*m.EqualShare())
	}
	// Each silent VM keeps an equal share, which it uses while it does not reach
	// the owner.
	aliveShare := float64(d.Alive) / float64(max(1, d.RosterSize))
	own, sum := m.ownDemand(now, d, account, rate*aliveShare)
	return aliveShare * ratelimit.DemandShare(rate*aliveShare, own, sum, m.aliveRegions(d))
}

// IsStarting reports whether this VM has not had a digest yet. Until then, its shares
// grow with the VMs that request tokens from it.
func (m *Machine) IsStarting() bool { return !m.hasDigest }

// recordLostDemand records the demand reported by VMs that became silent with a
// new digest. If VMs of several regions became silent at once, it is not known
// which of them reported what, and nothing is recorded.
func (m *Machine) recordLostDemand(now time.Duration, next Digest) {
	last, fresh := m.Digest(now)
	if !fresh || !last.Settled || !next.Settled {
		return
	}
	region := ""
	for _, vm := range next.Silent {
		if slices.Contains(last.Silent, vm) {
			continue
		}
		if region != "" && region != m.regionOf[vm] {
			return
		}
		region = m.regionOf[vm]
	}
	if region == "" {
		return
	}
	m.lost = lostDemand{region, make(map[string]float64), now + lostDemandIntervals*ReportInterval(len(m.roster))}
	for account, demand := range last.Demand {
		if missing := demand - next.Demand[account]; missing > 0 {
			m.lost.demand[account] = missing
		}
	}
}

// lostDemandIntervals is the number of report intervals until a digest includes
// the new owner's own measurement: a partial interval, a full one, and the way to
// the hub and back.
const lostDemandIntervals = 4

// ownDemand returns the demand of an account that this VM uses, and the matching
// sum over the fleet. A VM that has just become the owner of an account has not
// measured its demand yet. The demand reported by its predecessor is used only if
// the whole demand fits into the rate: then nothing is taken from others.
func (m *Machine) ownDemand(now time.Duration, d Digest, account string, rate float64) (own, sum float64) {
	own, sum = m.sentReports[d.Ack].demand[account], d.Demand[account]
	if now >= m.lost.until || m.lost.region != m.regionOf[m.self] {
		return own, sum
	}
	if missing := m.lost.demand[account] - own; missing > 0 && ratelimit.DemandFits(rate, sum+missing) {
		return own + missing, sum + missing
	}
	return own, sum
}

// EqualShare returns the fraction of a rate that a VM may use while it does not
// reach the owner of the account.
func (m *Machine) EqualShare() float64 { return 1 / float64(m.RosterSize()) }

// HandleTokenRequest records that another VM requested tokens from this one.
// id is anything that identifies that VM, such as its address.
func (m *Machine) HandleTokenRequest(now time.Duration, id string) { m.lastTokenRequestAt[id] = now }

// tokenRequesters returns the number of other VMs that requested tokens recently.
func (m *Machine) tokenRequesters(now time.Duration) int {
	n := 0
	for requester, at := range m.lastTokenRequestAt {
		if now-at > tokenRequestValidity {
			delete(m.lastTokenRequestAt, requester)
			continue
		}
		n++
	}
	return n
}

// tokenRequestValidity is how long a VM counts as a requester after its request.
const tokenRequestValidity = 2 * time.Second

func (m *Machine) aliveRegions(d Digest) int {
	regions := make(map[string]bool)
	for _, vm := range m.roster {
		if !slices.Contains(d.Silent, vm) {
			regions[m.regionOf[vm]] = true
		}
	}
	return max(1, len(regions))
}

// RateOwner returns the VM that owns an account in a region: the first of the
// region's VMs that are alive, in an order that depends on the account, so that
// accounts are spread over the VMs by their weights (weighted rendezvous hashing). It is empty if no VM of the region is known.
func (m *Machine) RateOwner(now time.Duration, region, account string) string {
	if excluded := m.excludedVMs(now); !slices.Equal(excluded, m.ownersExcluded) {
		m.ownersExcluded = excluded
		clear(m.owners)
	}
	key := ownerKey{region, account}
	if vm, ok := m.owners[key]; ok {
		return vm
	}
	best, bestScore := "", 0.0
	for _, vm := range m.roster {
		if m.regionOf[vm] != region || slices.Contains(m.ownersExcluded, vm) {
			continue
		}
		if score := m.ownerScore(vm, account); best == "" || score > bestScore {
			best, bestScore = vm, score
		}
	}
	m.owners[key] = best
	return best
}

// OwnersElsewhere returns the owners of an account in up to most other regions. turn
// selects the regions where there are more.
func (m *Machine) OwnersElsewhere(now time.Duration, account string, most, turn int) []string {
	var regions []string
	for _, region := range m.regions {
		if region != m.regionOf[m.self] {
			regions = append(regions, region)
		}
	}
	var owners []string
	for i := range min(most, len(regions)) {
		if owner := m.RateOwner(now, regions[(turn*most+i)%len(regions)], account); owner != "" {
			owners = append(owners, owner)
		}
	}
	return owners
}

// ownerScore returns the score of a VM as the owner of an account; the highest score
// owns it.
func (m *Machine) ownerScore(vm, account string) float64 {
	u := (float64(xxhash.Sum64String(vm+"/"+account)>>11) + 0.5) / (1 << 53)
	return math.Log(u) / m.ownerWeightOf[vm]
}

// ownerWeight returns the weight of a VM as an owner. The weight of a member is the
// product of link and processor; its root keeps the owners spread where both are
// larger. Members that state none count as 1.
func ownerWeight(vm Member) float64 {
	if vm.Weight <= 0 {
		return 1
	}
	return math.Sqrt(vm.Weight)
}

// excludedVMs returns the VMs that own no account according to the digest, or nil
// without a valid digest.
func (m *Machine) excludedVMs(now time.Duration) []string {
	d, fresh := m.Digest(now)
	if !fresh || !d.Settled {
		return nil
	}
	return m.excluded
}
