package quota

import "time"

const (
	waitingSlotCount    = 5
	waitingSlotDuration = MaxWait / waitingSlotCount
)

// waitingTokens counts the tokens of the waiting requests by the time at which
// they started to wait. A request no longer counts after MaxWait.
type waitingTokens struct {
	slots      [waitingSlotCount]float64
	latestSlot int64 // number of the latest slot
}

func (w *waitingTokens) advance(now time.Time) {
	slot := now.UnixNano() / int64(waitingSlotDuration)
	if slot-w.latestSlot >= waitingSlotCount {
		clear(w.slots[:])
		w.latestSlot = slot
	}
	for w.latestSlot < slot {
		w.latestSlot++
		w.slots[w.latestSlot%waitingSlotCount] = 0
	}
}

func (w *waitingTokens) add(now time.Time, n float64) {
	w.advance(now)
	w.slots[w.latestSlot%waitingSlotCount] += n
}

// remove removes n tokens, the oldest first.
func (w *waitingTokens) remove(now time.Time, n float64) {
	w.advance(now)
	for slot := w.latestSlot - waitingSlotCount + 1; slot <= w.latestSlot && n > 0; slot++ {
		at := &w.slots[slot%waitingSlotCount]
		part := min(n, *at)
		*at -= part
		n -= part
	}
}

func (w *waitingTokens) total(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, n := range w.slots {
		sum += n
	}
	return sum
}
