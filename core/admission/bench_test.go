package admission

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// BenchmarkOffer measures an Offer that queues a request and a Release, with
// all accounts backlogged.
func BenchmarkOffer(b *testing.B) {
	for _, accounts := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			s := New(Config{Slots: 16, MaxQueuedTotal: 4 * accounts})
			names := make([]string, accounts)
			for i := range names {
				names[i] = strconv.Itoa(i)
			}
			now := epoch
			var running []uint64
			offer := func(id uint64) {
				r := Request{ID: id, Account: names[id%uint64(accounts)], Deadline: now.Add(time.Hour)}
				if s.Offer(now, r).Verdict == Admitted {
					running = append(running, id)
				}
			}
			id := uint64(0)
			for range 16 + 2*accounts {
				offer(id)
				id++
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(100 * time.Microsecond)
				offer(id)
				id++
				next := s.Release(now, running[0])
				running = append(running[1:], next...)
			}
		})
	}
}
