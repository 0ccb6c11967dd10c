package balance

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkPick(b *testing.B) {
	for _, vms := range []int{11, 64, 512} {
		for _, servers := range []int{16, 512} {
			b.Run(fmt.Sprintf("vms=%d/servers=%d", vms, servers), func(b *testing.B) {
				p := newBalancer(servers, min(vms, 300))
				p.entryVMs = vms
				now := epoch
				for i, s := range p.servers {
					p.Report(now, s.Name, Report{Slots: 8, InFlight: i % 8})
				}
				b.ReportAllocs()
				for range b.N {
					now = now.Add(100 * time.Microsecond)
					s, err := p.Pick(now, PickInput{Region: "luzon"})
					if err != nil {
						b.Fatal(err)
					}
					p.Done(now, s.Name, Outcome{Latency: 20 * time.Millisecond})
				}
			})
		}
	}
}
