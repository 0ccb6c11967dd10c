package trafficsim

import (
	"time"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// bucket is a token bucket. It models a quota limit whose units are always held by
// the VMs that need them. In the real system, core/quota distributes the units.
type bucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, updatedAt: virtual.Epoch}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// capChecker checks that no time window has more requests than burst + rate x time.
// It is independent of the bucket that admitted the requests.
type capChecker struct {
	rate, burst, level float64
	updatedAt          time.Time
	excess             int
	count              int
}

// add counts one request that was sent to the region.
func (c *capChecker) add(now time.Time) {
	c.level = max(0, c.level-c.rate*now.Sub(c.updatedAt).Seconds()) + 1
	c.updatedAt = now
	c.count++
	if c.level > c.burst+1e-6 {
		c.excess++
		c.level--
	}
}
