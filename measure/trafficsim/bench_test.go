package trafficsim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// BenchmarkRequest measures all decisions for one forwarded request: the choice of
// region, slot and backend server, and the release of each.
func BenchmarkRequest(b *testing.B) {
	for _, d := range Deployments {
		for _, vms := range []int{11, 64, 512} {
			b.Run(fmt.Sprintf("%s/vms=%d", d.Name, vms), func(b *testing.B) {
				regions := routing.NewRegions([]routing.RegionConfig{{Name: d.Regions[0], CapPerSecond: 1e9, CapLimit: d.Regions[0]}})
				regions.SetVMs(vms)
				scheduler := admission.New(admission.Config{Slots: 16})
				balancer := balance.New(balance.Config{}, rand.New(rand.NewPCG(1, 1)))
				balancer.SetServers(virtual.Epoch, d.servers(), vms)
				take := func(string) bool { return true }
				now := virtual.Epoch
				b.ReportAllocs()
				for i := range b.N {
					now = now.Add(100 * time.Microsecond)
					choice, err := regions.Choose(now, routing.ChooseInput{From: d.Regions[0]}, take)
					if err != nil {
						b.Fatal(err)
					}
					id := uint64(i)
					scheduler.Offer(now, admission.Request{ID: id, Account: accountPrefix, Deadline: now.Add(time.Second)})
					s, err := balancer.Pick(now, balance.PickInput{Region: choice.Region})
					if err != nil {
						b.Fatal(err)
					}
					balancer.Done(now, s.Name, balance.Outcome{Latency: time.Millisecond})
					scheduler.Release(now, id)
					regions.Done(now, choice.Region)
				}
			})
		}
	}
}
