package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// BenchmarkTake measures an admission and a refusal without waiting.
func BenchmarkTake(b *testing.B) {
	for name, l := range map[string]Limit{"admit": {testLimit, 1e12, 1e12}, "refuse": {testLimit, 1e-3, 1}} {
		b.Run(name, func(b *testing.B) {
			n := newTestNetwork(b, 11, l)
			n.run(2 * time.Second)
			m, now := n.nodes[0].m, n.now
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Microsecond)
				m.Take(now, testLimit, 1)
			}
		})
	}
}

// BenchmarkControl reports the messages and bytes of this package per VM and
// second for several numbers of VMs and limits. One limit in eight has traffic of
// 80% of its rate, evenly spread. Hints are counted once for each receiver.
func BenchmarkControl(b *testing.B) {
	const seconds = 10
	for _, vms := range []int{4, 11, 64} {
		for _, limits := range []int{8, 64, 512} {
			b.Run(fmt.Sprintf("vms=%d/limits=%d", vms, limits), func(b *testing.B) {
				for range b.N {
					messages, size := measureControlTraffic(b, vms, limits, seconds)
					b.ReportMetric(messages/seconds/float64(vms), "msg/VM/s")
					b.ReportMetric(size/seconds/float64(vms), "B/VM/s")
				}
			})
		}
	}
}

func measureControlTraffic(b *testing.B, vms, limits, seconds int) (messages, size float64) {
	var all []Limit
	for i := range limits {
		all = append(all, Limit{Name: AccountLimit(fmt.Sprintf("client-%03d", i)), RatePerSecond: 100, Burst: 100})
	}
	n := newTestNetwork(b, vms, all...)
	n.skipChecks = true
	n.run(5 * time.Second)
	deliver := n.deliveryDelays
	n.deliveryDelays = func(p packet) []time.Duration {
		messages++
		size += float64(proto.Size(p.msg))
		return deliver(p)
	}
	n.onHints = func(hints []*peerv1.QuotaHint) {
		size += float64(proto.Size(&peerv1.Heartbeat{Hints: hints}) * (vms - 1))
	}
	const step = 12500 * time.Microsecond
	for at := 0; at < seconds*int(time.Second/step); at++ {
		for i := 0; i < limits; i += 8 {
			v := n.nodes[n.rnd.IntN(vms)]
			n.post(v, v.m.Take(n.now, all[i].Name, 1).Sends)
		}
		n.run(step)
	}
	return messages, size
}
