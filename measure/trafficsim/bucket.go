package trafficsim

import (
	"time"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// bucket is a token bucket. It stands for a quota limit whose units are held
// where they are needed; core/quota distributes it over the VMs.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, at: virtual.Epoch}
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// audit checks, apart from the bucket that admitted the requests, that no time
// window has more than burst + rate x time of them.
type audit struct {
	rate, burst, level float64
	at                 time.Time
	over               int
	count              int
}

// add counts one request that was sent to the region.
func (a *audit) add(now time.Time) {
	a.level = max(0, a.level-a.rate*now.Sub(a.at).Seconds()) + 1
	a.at = now
	a.count++
	if a.level > a.burst+1e-6 {
		a.over++
		a.level--
	}
}
