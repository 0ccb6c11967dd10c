package quota

const duplicateFilterSize = 1024

// duplicateFilter detects duplicates among numbered messages that may be
// reordered by less than duplicateFilterSize. Older numbers count as duplicates.
type duplicateFilter struct {
	highest uint64
	seen    [duplicateFilterSize / 64]uint64
}

// firstSeen records the number and reports whether it was new.
func (w *duplicateFilter) firstSeen(number uint64) bool {
	if number == 0 || number+duplicateFilterSize <= w.highest {
		return false
	}
	if number > w.highest {
		if number-w.highest >= duplicateFilterSize {
			clear(w.seen[:])
		} else {
			for n := w.highest + 1; n < number; n++ {
				w.set(n, false)
			}
		}
		w.highest = number
		w.set(number, true)
		return true
	}
	if w.get(number) {
		return false
	}
	w.set(number, true)
	return true
}

func (w *duplicateFilter) get(n uint64) bool {
	return w.seen[n%duplicateFilterSize/64]&(1<<(n%64)) != 0
}

func (w *duplicateFilter) set(n uint64, v bool) {
	if v {
		w.seen[n%duplicateFilterSize/64] |= 1 << (n % 64)
	} else {
		w.seen[n%duplicateFilterSize/64] &^= 1 << (n % 64)
	}
}
