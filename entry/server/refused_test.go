package server

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
)

const (
	refusedRate = 500.0
	// refusedWarmUp lets units move to where the demand is.
	refusedWarmUp   = 5 * time.Second
	refusedMeasured = 10 * time.Second
)

// Measures the refused requests after a hard stop of one of four VMs, for an
// account that sends at 80% of its rate. It asserts nothing: the figures depend
// on the machine.
func TestMeasureRefusedAfterHardStop(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints figures; run with -v")
	}
	t.Run("even over the VMs", func(t *testing.T) { measureRefused(t, 4, 3) })
	t.Run("on one VM, another stops", func(t *testing.T) { measureRefused(t, 1, 3) })
	t.Run("on one VM, which stops", func(t *testing.T) { measureRefused(t, 1, 0) })
}

// measureRefused sends to the first VMs in turn. When the VM with the index
// stopped ends, its requests go to the others.
func measureRefused(t *testing.T, senders, stopped int) {
	t.Parallel()
	c := newCluster(t, 4, func(d *declare.Config) {
		d.Accounts[0].RatePerSecond, d.Accounts[0].Burst = refusedRate, refusedRate
	})
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return units(c.vms...) == quota.TotalUnits })
	ticker := time.NewTicker(time.Duration(float64(time.Second) / (0.8 * refusedRate)))
	defer ticker.Stop()
	targets := c.vms[:senders]
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	started := time.Now()
	ended := time.Time{}
	for i := 0; ended.IsZero() || time.Since(ended) < refusedMeasured; i++ {
		<-ticker.C
		if ended.IsZero() && time.Since(started) >= refusedWarmUp {
			ended = time.Now()
			c.vms[stopped].cancel()
			targets = without(targets, c.vms[stopped], c.vms[1])
		}
		measured := !ended.IsZero()
		v := targets[i%len(targets)]
		group.Go(func() {
			status := v.get(keyOne, "/lots/1")
			if measured {
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			}
		})
	}
	group.Wait()
	sum := 0
	for _, n := range statuses {
		sum += n
	}
	refused := sum - statuses[http.StatusOK]
	t.Logf("%s: refused %d of %d (%.2f%%), by status %v", t.Name(), refused, sum, 100*float64(refused)/float64(sum), statuses)
}

// without returns the VMs but one, or the substitute if none is left.
func without(vms []*vm, gone, substitute *vm) []*vm {
	var rest []*vm
	for _, v := range vms {
		if v != gone {
			rest = append(rest, v)
		}
	}
	if len(rest) == 0 {
		return []*vm{substitute}
	}
	return rest
}
