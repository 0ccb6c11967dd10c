package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// simulation runs each admitted request for a fixed time, in steps of 1 ms.
type simulation struct {
	s             *Scheduler
	now           time.Time
	service       time.Duration
	nextID        uint64
	account       map[uint64]string
	class         map[uint64]Class
	endsAt        map[uint64]time.Time
	order         []uint64
	served        map[string]int
	servedByClass [numClasses]int
	rejected      map[string]int
}

func newSimulation(cfg Config, service time.Duration) *simulation {
	return &simulation{
		s: New(cfg), now: epoch, service: service, account: map[uint64]string{}, class: map[uint64]Class{},
		endsAt: map[uint64]time.Time{}, served: map[string]int{}, rejected: map[string]int{},
	}
}

func (m *simulation) offer(r Request) Decision {
	m.nextID++
	r.ID = m.nextID
	m.account[r.ID], m.class[r.ID] = r.Account, r.Class
	d := m.s.Offer(m.now, r)
	switch d.Verdict {
	case Admitted:
		m.run([]uint64{r.ID})
	case Rejected:
		m.rejected[r.Account]++
	}
	if d.Displaced != nil {
		m.rejected[d.Displaced.Account]++
	}
	return d
}

func (m *simulation) run(ids []uint64) {
	for _, id := range ids {
		m.endsAt[id] = m.now.Add(m.service)
		m.order = append(m.order, id)
	}
}

func (m *simulation) step() {
	m.now = m.now.Add(time.Millisecond)
	for _, id := range m.order {
		if end, ok := m.endsAt[id]; ok && !m.now.Before(end) {
			delete(m.endsAt, id)
			m.served[m.account[id]]++
			m.servedByClass[m.class[id]]++
			m.run(m.s.Release(m.now, id))
		}
	}
	for _, e := range m.s.Expire(m.now) {
		m.rejected[e.Account]++
	}
}

// Guards against a slot that stays free while a request waits.
func TestReleaseAdmitsNext(t *testing.T) {
	s := New(Config{Slots: 1})
	require.Equal(t, Admitted, s.Offer(epoch, Request{ID: 1, Account: "a"}).Verdict)
	require.Equal(t, Queued, s.Offer(epoch, Request{ID: 2, Account: "a"}).Verdict)
	require.Equal(t, []uint64{2}, s.Release(epoch.Add(time.Millisecond), 1))
}

// Guards against requests that were queued without any slots and wait forever
// after an increase.
func TestSlotsIncrease(t *testing.T) {
	s := New(Config{})
	require.Equal(t, Queued, s.Offer(epoch, Request{ID: 1, Account: "a"}).Verdict)
	s.SetSlots(epoch, 1)
	require.Equal(t, []uint64{1}, s.Admit(epoch))
}

// Guards against starvation of one class by a flood of the other, also with
// so few slots that both classes have the same slot as their minimum.
func TestClassNotStarved(t *testing.T) {
	for _, slots := range []int{1, 2, 10} {
		for _, flood := range []Class{Lookup, Booking} {
			m := newSimulation(Config{Slots: slots, MaxQueuedPerAccount: 32}, 10*time.Millisecond)
			other := Booking - flood
			for range 2000 {
				for range slots {
					m.offer(Request{Account: "a", Class: flood})
				}
				m.offer(Request{Account: "b", Class: other})
				m.step()
			}
			share := float64(m.servedByClass[other]) / float64(m.servedByClass[0]+m.servedByClass[1])
			require.GreaterOrEqual(t, share, 0.29, "slots %d, flood of class %d", slots, flood)
		}
	}
}

// Guards against starvation of a small client account by another one that
// sends 5 times its rate.
func TestSmallAccountKeepsItsRate(t *testing.T) {
	m := newSimulation(Config{Slots: 4}, 10*time.Millisecond) // 400 requests per second
	sent := 0
	for ms := range 5000 {
		deadline := m.now.Add(500 * time.Millisecond)
		for range 2 {
			m.offer(Request{Account: "large", Weight: 3, Deadline: deadline})
		}
		if ms%11 == 0 { // 91 per second; its fair share is 100
			m.offer(Request{Account: "small", Weight: 1, Deadline: deadline})
			sent++
		}
		m.step()
	}
	require.GreaterOrEqual(t, float64(m.served["small"]), 0.98*float64(sent))
	require.Zero(t, m.rejected["small"])
	require.Greater(t, m.rejected["large"], 5000)
}

// Guards against starvation of an account after the guaranteed share of a
// class has served it beyond its fair share, and against starvation of others
// by such an account.
func TestGuaranteedShareCausesNoStarvation(t *testing.T) {
	m := newSimulation(Config{Slots: 10, MinBookingShare: 0.5}, 10*time.Millisecond)
	for range 2000 {
		m.offer(Request{Account: "booker", Class: Booking})
		for range 2 {
			m.offer(Request{Account: "a"})
		}
		m.step()
	}
	before := m.served["late"]
	for range 300 {
		m.offer(Request{Account: "booker"})
		m.offer(Request{Account: "late"})
		m.offer(Request{Account: "a"})
		m.step()
	}
	require.Greater(t, m.served["late"]-before, 60)
	require.Greater(t, m.servedByClass[Lookup], 700)
}

// Guards against a request that stays queued although it cannot finish by its
// deadline, on arrival and later.
func TestRequestsThatMissTheirDeadlineAreRejectedEarly(t *testing.T) {
	s := New(Config{Slots: 1, InitialServiceTime: 100 * time.Millisecond})
	deadline := epoch.Add(450 * time.Millisecond)
	require.Equal(t, Admitted, s.Offer(epoch, Request{ID: 1, Account: "a"}).Verdict)
	require.Equal(t, Queued, s.Offer(epoch, Request{ID: 2, Account: "a", Deadline: deadline}).Verdict)
	require.Equal(t, Queued, s.Offer(epoch, Request{ID: 3, Account: "a", Deadline: deadline}).Verdict)
	d := s.Offer(epoch, Request{ID: 4, Account: "a", Deadline: deadline})
	require.Equal(t, Rejected, d.Verdict)
	require.Equal(t, ReasonWaitExceedsDeadline, d.Reason)
	require.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
	require.Empty(t, s.Expire(epoch.Add(140*time.Millisecond)))
	expired := s.Expire(epoch.Add(200 * time.Millisecond)) // request 1 takes longer than expected
	require.Len(t, expired, 1)
	require.Equal(t, uint64(3), expired[0].ID)
	require.Equal(t, Rejected, s.Offer(deadline, Request{ID: 5, Account: "a", Deadline: deadline}).Verdict)
}

// Guards against one account that fills the queues of the service, so that
// requests of other accounts are rejected.
func TestFullQueuesDisplaceTheLongest(t *testing.T) {
	s := New(Config{Slots: 1, MaxQueuedTotal: 4})
	for id := range uint64(5) {
		require.NotEqual(t, Rejected, s.Offer(epoch, Request{ID: id, Account: "large"}).Verdict)
	}
	require.Equal(t, ReasonQueuesFull, s.Offer(epoch, Request{ID: 5, Account: "large"}).Reason)
	d := s.Offer(epoch, Request{ID: 6, Account: "small"})
	require.Equal(t, Queued, d.Verdict)
	require.Equal(t, uint64(4), d.Displaced.ID)
	require.Equal(t, 4, s.Queued())
}

// Guards against more requests in flight than slots, free slots while
// requests wait, and requests that are lost or admitted twice.
func TestSlotsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		s := New(Config{Slots: slots, MaxQueuedPerAccount: 10, MaxQueuedTotal: 20})
		now, state := epoch, map[uint64]Verdict{}
		var running, ids []uint64
		admit := func(admitted []uint64) {
			for _, id := range admitted {
				require.Equal(t, Queued, state[id])
				state[id] = Admitted
				running = append(running, id)
			}
		}
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op <= 2:
				d := s.Offer(now, Request{
					ID: id, Account: strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "account")),
					Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond),
				})
				state[id] = d.Verdict
				ids = append(ids, id)
				if d.Verdict == Admitted {
					running = append(running, id)
				}
				if d.Displaced != nil {
					require.Equal(t, Queued, state[d.Displaced.ID])
					state[d.Displaced.ID] = Rejected
				}
			case op == 3 && len(running) > 0:
				id := running[0]
				running = running[1:]
				admit(s.Release(now, id))
			case op == 4 && len(ids) > 0:
				id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "cancel")]
				for i, r := range running {
					if r == id {
						running = append(running[:i:i], running[i+1:]...)
						break
					}
				}
				if state[id] == Queued {
					state[id] = Rejected
				}
				admit(s.Cancel(now, id))
			case op == 5:
				for _, e := range s.Expire(now) {
					require.Equal(t, Queued, state[e.ID])
					state[e.ID] = Rejected
				}
			}
			queued := 0
			for _, v := range state {
				if v == Queued {
					queued++
				}
			}
			require.Equal(t, queued, s.Queued())
			require.Equal(t, len(running), s.InFlight())
			require.LessOrEqual(t, s.InFlight(), slots)
			require.True(t, queued == 0 || s.InFlight() == slots, "free slot while requests wait")
		}
	})
}

// Guards against unfair sharing between backlogged accounts: their admitted
// requests per weight may differ only by a few at any time.
func TestFairShareProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "weights")
		s := New(Config{Slots: slots, MaxQueuedPerAccount: 1000, MaxQueuedTotal: 4000, MaxWait: time.Hour})
		admitted := make([]int, len(weights))
		var running []uint64
		owner := map[uint64]int{}
		id := uint64(0)
		for i, w := range weights {
			for range 300 {
				id++
				owner[id] = i
				if s.Offer(epoch, Request{ID: id, Account: strconv.Itoa(i), Weight: float64(w)}).Verdict == Admitted {
					running = append(running, id)
				}
			}
		}
		for range 200 {
			at := rapid.IntRange(0, len(running)-1).Draw(t, "release")
			released := running[at]
			running = append(running[:at], running[at+1:]...)
			for _, next := range s.Release(epoch, released) {
				admitted[owner[next]]++
				running = append(running, next)
			}
			for i := range weights {
				for j := range weights {
					difference := float64(admitted[i])/float64(weights[i]) - float64(admitted[j])/float64(weights[j])
					bound := 1/float64(weights[i]) + 1/float64(weights[j]) + float64(min(slots, maxLead))
					require.LessOrEqual(t, difference, bound)
				}
			}
		}
	})
}

// Guards against queues whose wait grows to the callers' deadlines under
// lasting overload.
func TestMaxWaitBoundsTheQueue(t *testing.T) {
	s := New(Config{Slots: 1, InitialServiceTime: 100 * time.Millisecond})
	for id := range uint64(6) { // one in the slot, five waits of up to 500 ms
		require.NotEqual(t, Rejected, s.Offer(epoch, Request{ID: id, Account: "a"}).Verdict)
	}
	d := s.Offer(epoch, Request{ID: 6, Account: "a"})
	require.Equal(t, ReasonWaitExceedsMax, d.Reason)
	require.GreaterOrEqual(t, d.RetryAfter, minRetryAfter)
}

// Guards against unused slots while a VM with most of the traffic has only an
// equal share, and against a VM without any slots.
func TestSlotShare(t *testing.T) {
	require.Equal(t, 20, SlotShare(100, 10, 0, 0))
	require.Equal(t, 100, SlotShare(100, 10, 70, 100))
	require.Equal(t, 10, SlotShare(100, 10, 0, 100))
	require.Equal(t, 1, SlotShare(3, 500, 0, 100))
	require.Equal(t, 8, SlotShare(8, 1, 0, 0))
}

// Guards against a demand that follows from the number of slots: under
// overload it must still distinguish a VM with much traffic from one with
// little.
func TestDemandCountsRejectedRequests(t *testing.T) {
	demandAt := func(perStep int) float64 {
		m := newSimulation(Config{Slots: 2, MaxQueuedPerAccount: 8}, 10*time.Millisecond)
		for range 10_000 {
			for range perStep {
				m.offer(Request{Account: "a"})
			}
			m.step()
		}
		return m.s.Demand(m.now)
	}
	require.InDelta(t, 10, demandAt(1), 0.5)
	require.InDelta(t, 30, demandAt(3), 1.5)
}
