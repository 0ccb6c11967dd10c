package capacity

import (
	"time"
)

// Sizes holds the sizes at which Run measures.
type Sizes struct {
	Members, EpochMembers, RestMembers, StartMembers []int
	KillMembers                                      int
	KilledVMs                                        []int
	QuotaMembers, Limits                             []int
	PropagationVMs, Files                            []int
	FileBytes                                        int
	TotalBlocks, FileBlocks, ChangedBlocks           []int
	LocateVMs                                        []int
	Hints, Connections, Servers                      []int
	DeclaredServers                                  []int
	BookingVMs, BookingRates                         []int
}

// DefaultSizes returns the sizes of docs/CAPACITY.md.
func DefaultSizes() Sizes {
	return Sizes{
		Members: []int{4, 11, 16, 64}, EpochMembers: []int{11, 64, 1024, 4100},
		RestMembers: []int{11, 32, 64}, StartMembers: []int{11, 64, 256, 1024},
		KillMembers: 16, KilledVMs: []int{1, 2, 4, 6},
		QuotaMembers: []int{4, 11, 64}, Limits: []int{8, 64, 512},
		PropagationVMs: []int{4, 11, 64, 128, 256, 1024}, Files: []int{98, 1000, 4000}, FileBytes: 10_000,
		TotalBlocks: []int{100_000, 300_000, 980_000}, FileBlocks: []int{100, 1000, 10_000}, ChangedBlocks: []int{1, 100, 10_000},
		LocateVMs: []int{11, 128, 1024, 4100},
		Hints:     []int{0, 17, 170}, Connections: []int{16, 64, 256}, Servers: []int{42, 120, 400},
		DeclaredServers: []int{42, 400, 2000},
		BookingVMs:      []int{11, 64, 1024}, BookingRates: []int{10, 100, 1000},
	}
}

const (
	startWarmUp   = 2 * time.Second
	startDuration = time.Second
	// settleBase and settlePerMember are the time in which the updates about a
	// simultaneous start reach all members, at 6 updates a message.
	settleBase      = time.Minute
	settlePerMember = 1200 * time.Millisecond
)

// Run measures all series. The transports are measured first, because their processor
// time is that of the whole process.
func Run(r *Recorder, s Sizes) error {
	steps := []func() error{
		func() error { return measureExchange(r, s.Hints) },
		func() error { return measureConnections(r, s.Connections) },
		func() error { return measurePolling(r, s.Servers) },
		func() error { return measureLease(r, s.Members) },
		func() error { return measureKills(r, s.KillMembers, s.KilledVMs) },
		func() error { return measureEpochSize(r, s.EpochMembers) },
		func() error {
			measureMembership(r, s.RestMembers, atRest, func(n int) time.Duration {
				return settleBase + time.Duration(n)*settlePerMember
			}, measureDuration)
			measureMembership(r, s.StartMembers, atStart, func(int) time.Duration { return startWarmUp }, startDuration)
			return nil
		},
		func() error { return measureQuota(r, s.QuotaMembers, s.Limits) },
		func() error { return measurePropagation(r, s.PropagationVMs) },
		func() error { return measureContent(r, s.Files, s.FileBytes) },
		func() error { return measureServers(r, s.DeclaredServers) },
		func() error { return measureBlocks(r, s.TotalBlocks, s.ChangedBlocks, s.FileBlocks) },
		func() error { measureLocate(r, s.LocateVMs); return nil },
		func() error { measureRecords(r, s.BookingVMs, s.BookingRates); return nil },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
