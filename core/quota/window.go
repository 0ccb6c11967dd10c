package quota

const windowSize = 1024

// window recognises duplicates among numbered messages that may be reordered
// by less than windowSize. Older numbers count as duplicates.
type window struct {
	high uint64
	seen [windowSize / 64]uint64
}

// first tells whether the number is seen for the first time.
func (w *window) first(number uint64) bool {
	if number == 0 || number+windowSize <= w.high {
		return false
	}
	if number > w.high {
		if number-w.high >= windowSize {
			clear(w.seen[:])
		} else {
			for n := w.high + 1; n < number; n++ {
				w.set(n, false)
			}
		}
		w.high = number
		w.set(number, true)
		return true
	}
	if w.get(number) {
		return false
	}
	w.set(number, true)
	return true
}

func (w *window) get(n uint64) bool {
	return w.seen[n%windowSize/64]&(1<<(n%64)) != 0
}

func (w *window) set(n uint64, v bool) {
	if v {
		w.seen[n%windowSize/64] |= 1 << (n % 64)
	} else {
		w.seen[n%windowSize/64] &^= 1 << (n % 64)
	}
}
