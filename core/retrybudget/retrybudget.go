// Package retrybudget bounds the requests that are sent to a service more than
// once, over all VMs.
//
// The load pattern it answers: a service whose servers fail or shed part of
// their requests. Without a bound, repeats add load to what is overloaded
// already. Each VM spends at most a share of its own recent requests and an
// equal part of the fleet's slack, so that the sum over all VMs stays within
// the bound without messages.
package retrybudget

import "time"

const (
	// bucketSpan is the resolution of the sliding window.
	bucketSpan = 500 * time.Millisecond
	// safety leaves room for requests that are counted here and never reach
	// the service, and for VMs that do not know each other yet.
	safety = 0.7
)

// Limits are the fleet's bounds.
type Limits struct {
	// Ratio of repeats to requests, within Window.
	Ratio float64
	// Slack is the number of repeats that the fleet may send beside the ratio.
	Margin float64
	Window time.Duration
}

// Budget is the budget of one service at one VM.
type Budget struct {
	limits  Limits
	buckets []bucket
}

type bucket struct {
	index             int64
	requests, repeats float64
}

// New returns a budget without history.
func New(l Limits) *Budget {
	return &Budget{limits: l, buckets: make([]bucket, int(l.Window/bucketSpan)+1)}
}

// Request counts the first arrival of a request.
func (b *Budget) AddRequest(now time.Duration) { b.at(now).requests++ }

// Take counts a repeat if the budget allows it; vms is the size of the fleet.
func (b *Budget) Take(now time.Duration, vms int) bool {
	if b.Remaining(now, vms) < 1 {
		return false
	}
	b.at(now).repeats++
	return true
}

// Left returns how many repeats the budget allows now.
func (b *Budget) Remaining(now time.Duration, vms int) float64 {
	var requests, repeats float64
	current := int64(now / bucketSpan)
	for _, k := range b.buckets {
		if current-k.index < int64(len(b.buckets)) {
			requests += k.requests
			repeats += k.repeats
		}
	}
	allowed := safety * (b.limits.Ratio*requests + b.limits.Margin/float64(max(1, vms)))
	return allowed - repeats
}

func (b *Budget) at(now time.Duration) *bucket {
	index := int64(now / bucketSpan)
	k := &b.buckets[index%int64(len(b.buckets))]
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}
