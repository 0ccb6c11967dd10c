package fleet

import (
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// BenchmarkHeartbeats reports control messages and bytes sent, table calls and
// CPU time per VM and second of virtual time in an idle fleet. Bytes are those of
// the encoded messages without batch framing and without quota hints. CPU time is
// that spent in the machines, without encoding and transport.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{4, 11, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := idleFleet(b, n)
			s.run(30 * time.Second)
			clear(s.callCounts)
			s.messagesSent, s.bytesSent, s.machineTime = 0, 0, 0
			b.ResetTimer()
			for range b.N {
				s.run(time.Second)
			}
			calls := 0
			for _, count := range s.callCounts {
				calls += count
			}
			vmSeconds := float64(b.N * n)
			b.ReportMetric(float64(s.messagesSent)/vmSeconds, "messages/VM/s")
			b.ReportMetric(float64(s.bytesSent)/vmSeconds, "bytes/VM/s")
			b.ReportMetric(float64(calls)/float64(b.N), "table-calls/fleet/s")
			b.ReportMetric(float64(s.machineTime.Microseconds())/vmSeconds, "cpu-us/VM/s")
		})
	}
}

// idleFleet returns a fleet of n members that starts from a fleet row with all of
// them, so that the VMs of a large fleet do not have to join one by one.
func idleFleet(b *testing.B, n int) *sim {
	s := newSim(b, 1)
	f := &peerv1.Fleet{Epoch: 1}
	for _, vm := range vmNames("a", n) {
		node := s.start(vm, 1)
		node.self.PeerAddress, node.self.CallerAddress = "10.20.30.40:7001", "10.20.30.40:8080"
		f.Members = append(f.Members, node.self)
	}
	for _, vm := range vmNames("a", n) {
		m := s.nodes[vm].m
		m.recordEpoch(s.nodes[vm].local(), f, 1)
		m.holder.RecordContact(s.nodes[vm].local())
		m.takeOutput()
	}
	write, err := rowWrite(f, 0)
	if err != nil {
		b.Fatal(err)
	}
	s.apply(Op{Writes: []platform.Write{write}})
	return s
}
