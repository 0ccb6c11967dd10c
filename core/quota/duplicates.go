package quota

const duplicateFilterSize = 1024

// duplicateFilter detects duplicates among the last duplicateFilterSize of
// numbered messages, which may arrive in any order. Older numbers count as
// duplicates.
type duplicateFilter struct {
	highest uint64
	seen    [duplicateFilterSize / 64]uint64
}

// firstSeen records the number and reports whether it was new.
func (f *duplicateFilter) firstSeen(number uint64) bool {
	if number == 0 || number+duplicateFilterSize <= f.highest {
		return false
	}
	if number > f.highest {
		if number-f.highest >= duplicateFilterSize {
			clear(f.seen[:])
		} else {
			for n := f.highest + 1; n < number; n++ {
				f.set(n, false)
			}
		}
		f.highest = number
		f.set(number, true)
		return true
	}
	if f.get(number) {
		return false
	}
	f.set(number, true)
	return true
}

func (f *duplicateFilter) get(n uint64) bool {
	return f.seen[n%duplicateFilterSize/64]&(1<<(n%64)) != 0
}

func (f *duplicateFilter) set(n uint64, v bool) {
	if v {
		f.seen[n%duplicateFilterSize/64] |= 1 << (n % 64)
	} else {
		f.seen[n%duplicateFilterSize/64] &^= 1 << (n % 64)
	}
}
