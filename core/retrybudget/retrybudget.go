// Package retrybudget bounds the retries of requests to a service over all VMs.
//
// It handles services whose servers fail or shed part of their requests: without a
// bound, retries add load to servers that are already overloaded. Each VM spends at
// most a fraction of its own recent requests plus an equal share of the fleet's
// margin. The sum over all VMs thus stays within the bound without any messages.
package retrybudget

import "time"

const (
	// bucketDuration is the resolution of the sliding window.
	bucketDuration = 500 * time.Millisecond
	// safetyFactor leaves a margin for requests that are counted here and never
	// reach the service, and for VMs that do not know each other yet.
	safetyFactor = 0.7
)

// Limits bound the retries of the fleet.
type Limits struct {
	// Ratio is the allowed ratio of retries to requests within Window.
	Ratio float64
	// Margin is the number of retries that the fleet may send in addition.
	Margin float64
	Window time.Duration
}

// Budget is the retry budget of one service at one VM.
type Budget struct {
	limits  Limits
	buckets []bucket
}

type bucket struct {
	index             int64
	requests, retries float64
}

// New returns a Budget without recorded requests.
func New(l Limits) *Budget {
	return &Budget{limits: l, buckets: make([]bucket, int(l.Window/bucketDuration)+1)}
}

// AddRequest counts the arrival of a request; its retries are not counted here.
func (b *Budget) AddRequest(now time.Duration) { b.currentBucket(now).requests++ }

// Take counts a retry if the budget allows it; vms is the size of the fleet.
func (b *Budget) Take(now time.Duration, vms int) bool {
	if b.Remaining(now, vms) < 1 {
		return false
	}
	b.currentBucket(now).retries++
	return true
}

// Remaining returns the number of retries that the budget allows at now.
func (b *Budget) Remaining(now time.Duration, vms int) float64 {
	var requests, retries float64
	current := int64(now / bucketDuration)
	for _, bucket := range b.buckets {
		if current-bucket.index < int64(len(b.buckets)) {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	allowed := safetyFactor * (b.limits.Ratio*requests + b.limits.Margin/float64(max(1, vms)))
	return allowed - retries
}

func (b *Budget) currentBucket(now time.Duration) *bucket {
	index := int64(now / bucketDuration)
	slot := &b.buckets[index%int64(len(b.buckets))]
	if slot.index != index {
		*slot = bucket{index: index}
	}
	return slot
}
