package exchange

import "time"

const (
	// RemovalTimeout is the time without a report after which the registration of
	// a VM is removed.
	RemovalTimeout = 90 * time.Second
	// removalCheckTime is the time after which the registration of a live VM that was
	// removed is in the store again. It is above catalog.RegistrationSpread of the largest
	// fleet.
	removalCheckTime = 20 * time.Second
	// removalRetryTime is how long the registration of a VM that has registered again, but
	// does not report, is left alone.
	removalRetryTime = time.Hour
)

// awaitReports records that this VM, which sends digests, expects a report of each VM from
// now on, unless it did so before.
func (m *Machine) awaitReports(now time.Duration) {
	if m.hasMissedReports(now) {
		clear(m.awaitedSince)
	}
	m.digestsSentAt = now
	for _, vm := range m.roster {
		if _, awaited := m.awaitedSince[vm]; !awaited {
			m.awaitedSince[vm] = now
		}
	}
}

// hasMissedReports reports whether this VM has not sent digests for so long, because another
// hub did or the process was suspended, that it has missed reports.
func (m *Machine) hasMissedReports(now time.Duration) bool {
	return now-m.digestsSentAt > silenceTimeout(len(m.roster))
}

// RemovableVMs returns the VMs whose registrations may be removed from the store: those of
// which this VM, as the hub that sends the digests, has expected a report for
// RemovalTimeout, and got none. Any number of VMs may be gone, but a hub that hears of few
// may also be cut off from the others, which serve: it removes one registration at a time,
// and no more once a VM registers again.
func (m *Machine) RemovableVMs(now time.Duration) []string {
	if !m.SendsDigests(now) || m.hasMissedReports(now) {
		return nil
	}
	var removable []string
	silent, registeredAgain, awaitsOutcome := 0, false, false
	for _, vm := range m.roster {
		since, awaited := m.awaitedSince[vm]
		if known := m.receivedReports[vm]; known != nil {
			since = max(since, known.lastSeenAt)
		}
		if vm == m.self || !awaited || now-since <= silenceTimeout(len(m.roster)) {
			continue
		}
		silent++
		if at, removed := m.removedAt[vm]; removed && now-at < removalRetryTime {
			registeredAgain = true
		} else if now-since > RemovalTimeout {
			removable = append(removable, vm)
		}
	}
	if float64(silent) <= maxSilentShare*float64(len(m.roster)) {
		return removable
	}
	for _, at := range m.removedAt {
		awaitsOutcome = awaitsOutcome || now-at < removalCheckTime
	}
	if registeredAgain || awaitsOutcome {
		return nil
	}
	return removable[:min(len(removable), 1)]
}

// RegistrationRemoved records that this VM has removed the registration of another one.
func (m *Machine) RegistrationRemoved(now time.Duration, vm string) {
	for other, at := range m.removedAt {
		if now-at >= removalRetryTime {
			delete(m.removedAt, other)
		}
	}
	m.removedAt[vm] = now
}
