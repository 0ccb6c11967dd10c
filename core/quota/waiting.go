package quota

import "time"

const (
	waitingSlots = 5
	waitingSlot  = MaxWait / waitingSlots
)

// waiting counts the tokens of the requests that wait, by the time when they
// began to. A request is forgotten after MaxWait.
type waiting struct {
	slots [waitingSlots]float64
	slot  int64 // number of the latest slot
}

func (w *waiting) advance(now time.Time) {
	slot := now.UnixNano() / int64(waitingSlot)
	if slot-w.slot >= waitingSlots {
		clear(w.slots[:])
		w.slot = slot
	}
	for w.slot < slot {
		w.slot++
		w.slots[w.slot%waitingSlots] = 0
	}
}

func (w *waiting) add(now time.Time, n float64) {
	w.advance(now)
	w.slots[w.slot%waitingSlots] += n
}

// remove takes tokens out, the oldest first.
func (w *waiting) remove(now time.Time, n float64) {
	w.advance(now)
	for slot := w.slot - waitingSlots + 1; slot <= w.slot && n > 0; slot++ {
		at := &w.slots[slot%waitingSlots]
		part := min(n, *at)
		*at -= part
		n -= part
	}
}

func (w *waiting) tokens(now time.Time) float64 {
	w.advance(now)
	sum := 0.0
	for _, n := range w.slots {
		sum += n
	}
	return sum
}
