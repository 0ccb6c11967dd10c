package placement

import "time"

const (
	// initialColdWorkOfObjective and initialWarmWorkOfObjective are the work that
	// is assumed for a route before any was measured, as fractions of its
	// objective.
	initialColdWorkOfObjective = 1.1
	initialWarmWorkOfObjective = 0.4
	// workWeight is the weight of the newest request in the measured work.
	workWeight = 0.05
)

// workEstimate is the measured work of the requests of one route.
type workEstimate struct {
	// coldMS and warmMS exclude queueing and network time.
	coldMS, warmMS float64
}

func newWorkEstimate(objective time.Duration) *workEstimate {
	objectiveMS := float64(objective) / float64(time.Millisecond)
	return &workEstimate{coldMS: objectiveMS * initialColdWorkOfObjective, warmMS: objectiveMS * initialWarmWorkOfObjective}
}

func (e *workEstimate) observe(warm bool, workMS float64) {
	if warm {
		e.warmMS += (workMS - e.warmMS) * workWeight
	} else {
		e.coldMS += (workMS - e.coldMS) * workWeight
	}
	// Some requests that were taken for cold meet a server that other VMs have
	// warmed, which makes the measured difference smaller than the real one.
	e.coldMS = max(e.coldMS, e.warmMS*minColdRatio)
}

// minColdRatio is the smallest ratio of cold to warm work on affinity routes.
const minColdRatio = 1.5
