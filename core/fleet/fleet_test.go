package fleet

import (
	"testing"
	"time"
)

// Guards against a start in which joiners exclude each other on the row.
func TestElevenVMsStartAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed)
		s.latency = func(from, to string) time.Duration {
			if from[0] == to[0] {
				return time.Millisecond
			}
			return 55 * time.Millisecond
		}
		for _, vm := range threeRegions() {
			s.start(vm, s.rate())
		}
		took := s.runUntil(8*time.Second, "all serve", func() bool { return s.serving() == 11 })
		t.Log("all serve after", took, "conflicts", s.calls["conflict"], "row reads", s.calls["read "+RowKey])
	}
}
