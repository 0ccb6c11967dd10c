package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minStandstill is the time between two ticks from which on the process counts as having
	// stood still.
	minStandstill = 4 * tickInterval
	// signalDelay is how long after a standstill a signal may be handled that came in it.
	signalDelay = time.Second
)

// standstill tells since when a signal may have waited for a process that was suspended, or
// whose machine was. The platform counts the grace period from the signal.
type standstill struct {
	lastTick time.Duration
	// beganAt and endedAt are those of the newest standstill.
	beganAt, endedAt time.Duration
}

// tick records that the process runs at a time that goes on during a suspension.
func (s *standstill) tick(now time.Duration) {
	if s.lastTick > 0 && now-s.lastTick >= minStandstill {
		s.beganAt, s.endedAt = s.lastTick, now
	}
	s.lastTick = now
}

// earliestSignal returns when a signal that is handled at now may have come at the earliest:
// at now, or at the begin of a standstill that has just ended.
func (s *standstill) earliestSignal(now time.Duration) time.Duration {
	s.tick(now)
	if s.endedAt > 0 && now-s.endedAt <= signalDelay {
		return s.beganAt
	}
	return now
}

// readUptime returns the time since the machine was started. It goes on while the machine is
// suspended; the monotonic clock, which stands in if it cannot be read, does not.
func (n *Node) readUptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		n.log.Info("time since the start of the machine cannot be read", "error", err.Error())
		return n.now()
	}
	return time.Duration(ts.Nano())
}
