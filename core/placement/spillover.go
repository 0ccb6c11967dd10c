package placement

import (
	"math"
	"time"
)

const (
	// spilloverPerRequest is the fraction of requests that may leave the region chosen by
	// the region flow because its servers are full.
	spilloverPerRequest = 0.05
	// spilloverMemory is the time constant with which an allowance that was not used is
	// forgotten. What is kept of the time before and what is added within 2 s stay below two
	// thirds of the limit of 15% on shifts, of which the region flow uses the rest, and within
	// the limit as traffic ends.
	spilloverMemory = 500 * time.Millisecond
)

// spilloverAllowance bounds the requests of one VM for one service that leave their region.
// The bound is a fraction of the requests over all VMs. Many VMs with few requests each must
// not keep a whole request each, so that less than one is used up as well: it moves phase,
// and a request leaves when phase has reached 1. VMs start with different phases.
type spilloverAllowance struct {
	// requests is the number of requests that may leave at updatedAt.
	requests  float64
	updatedAt time.Duration
	// phase is in [0, 1).
	phase float64
}

// addRequest adds the allowance of one request.
func (a *spilloverAllowance) addRequest(now time.Duration) {
	idle := now - a.updatedAt
	a.requests = a.requests*math.Exp(-idle.Seconds()/spilloverMemory.Seconds()) + spilloverPerRequest
	a.updatedAt = now
}

// take reports whether a request may leave, and uses the allowance up.
func (a *spilloverAllowance) take() bool {
	used := min(1, a.requests)
	a.requests -= used
	a.phase += used
	if a.phase < 1 {
		return false
	}
	a.phase--
	return true
}
