package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkControlTraffic reports control messages and bytes sent, and CPU time,
// per VM and second of virtual time in an idle fleet. Bytes are those of the
// encoded messages without batch framing. CPU time includes the simulation's.
func BenchmarkControlTraffic(b *testing.B) {
	for _, n := range []int{4, 11, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSim(10, 0)
			s.seedCount = n
			for i := range n {
				s.start(fmt.Sprintf("vm%03d", i), 1)
			}
			// A message carries at most maxUpdates of the updates that the
			// simultaneous start of all VMs causes.
			s.run(time.Minute + time.Duration(n)*1200*time.Millisecond)
			s.messagesSent, s.bytesSent = 0, 0
			b.ResetTimer()
			for range b.N {
				s.run(time.Second)
			}
			vmSeconds := float64(b.N * n)
			b.ReportMetric(float64(s.messagesSent)/vmSeconds, "messages/VM/s")
			b.ReportMetric(float64(s.bytesSent)/vmSeconds, "bytes/VM/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/vmSeconds, "cpu-us/VM/s")
		})
	}
}
