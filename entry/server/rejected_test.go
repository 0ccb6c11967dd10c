package server

import (
	"sync"
	"testing"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
)

const (
	accountRate  = 500.0
	accountBurst = 100.0
	// warmUpDuration allows the units to move to the VMs with demand.
	warmUpDuration   = 5 * time.Second
	measuredDuration = 10 * time.Second
)

// Measures the rejected requests after one of four VMs stops without notice,
// for an account that sends at 80% of its rate. The test asserts nothing,
// because the figures depend on the machine.
func TestMeasureRejectedAfterHardStop(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints figures; run with -v")
	}
	t.Run("even over the VMs", func(t *testing.T) { measureRejected(t, []int{0, 1, 2, 3}, 3, []int{0, 1, 2}) })
	t.Run("on one VM, another stops", func(t *testing.T) { measureRejected(t, []int{0}, 3, []int{0}) })
	t.Run("on one VM, which stops", func(t *testing.T) { measureRejected(t, []int{0}, 0, []int{1}) })
}

// measureRejected sends requests to some VMs in turn, stops one VM and then
// sends requests to other VMs.
func measureRejected(t *testing.T, before []int, stopped int, after []int) {
	t.Parallel()
	c := newCluster(t, 4, func(d *declare.Config) {
		d.Accounts[0].RatePerSecond, d.Accounts[0].Burst = accountRate, accountBurst
	})
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return unitsHeld(c.vms...) == quota.TotalUnits })
	load := func(d time.Duration, targets []int) map[int]int {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / (0.8 * accountRate)))
		defer ticker.Stop()
		var group sync.WaitGroup
		var mu sync.Mutex
		statuses := map[int]int{}
		started := time.Now()
		for i := 0; time.Since(started) < d; i++ {
			<-ticker.C
			group.Go(func() {
				status := c.vms[targets[i%len(targets)]].get(firstKey, "/lots/1")
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		group.Wait()
		return statuses
	}
	statusesBefore := load(warmUpDuration, before)
	c.vms[stopped].cancel()
	t.Logf("%s: statuses before %v, in the 10 s after %v", t.Name(), statusesBefore, load(measuredDuration, after))
}
