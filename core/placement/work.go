package placement

import "time"

const (
	// coldWorkOfObjective and warmWorkOfObjective are the assumed work of a
	// class before any was measured, as parts of its latency objective.
	coldWorkOfObjective = 1.1
	warmWorkOfObjective = 0.4
	// workWeight is the weight of the newest request in the measured work.
	workWeight = 0.05
)

// class is the measured work of the requests of one route.
type class struct {
	// cold and warm are in milliseconds, without waiting and travel.
	cold, warm float64
}

func newClass(objective time.Duration) *class {
	ms := float64(objective) / float64(time.Millisecond)
	return &class{cold: ms * coldWorkOfObjective, warm: ms * warmWorkOfObjective}
}

func (c *class) observe(warm bool, ms float64) {
	if warm {
		c.warm += (ms - c.warm) * workWeight
	} else {
		c.cold += (ms - c.cold) * workWeight
	}
	// Some requests that were taken for cold meet a server that other VMs have
	// warmed, so that the measured difference shrinks below the real one.
	c.cold = max(c.cold, c.warm*minColdRatio)
}

// minColdRatio is the least ratio of cold to warm work on affinity routes.
const minColdRatio = 1.5
