package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against requests that a planned stop interrupts, against new
// requests for a VM that has transferred its units, and against a stop that
// waits although nothing is left to do.
func TestPlannedStop(t *testing.T) {
	m := New(Config{})
	require.Equal(t, Output{Admit: true}, m.Step(start, Input{InFlight: 3, Units: 9}))
	m.Begin(start)
	m.Begin(at(4))
	out := m.Step(at(4.9), Input{InFlight: 3, Units: 9})
	require.Equal(t, Output{Phase: Leaving, Admit: true, Announce: true}, out)
	out = m.Step(at(5), Input{InFlight: 3, Units: 9})
	require.Equal(t, Output{Phase: HandingOver, Changed: true, Announce: true, HandOver: true}, out)
	out = m.Step(at(6), Input{InFlight: 3})
	require.Equal(t, Output{Phase: Finishing, Changed: true, Announce: true, CloseListener: true}, out)
	out = m.Step(at(7), Input{InFlight: 1, Units: 4})
	require.Equal(t, Output{Phase: Finishing, Announce: true, CloseListener: true, HandOver: true}, out, "units that arrive late")
	out = m.Step(at(45), Input{InFlight: 1})
	require.Equal(t, Finishing, out.Phase)
	out = m.Step(at(45.9), Input{})
	require.Equal(t, Output{Phase: LeavingFleet, Changed: true, Announce: true, CloseListener: true, LeaveFleet: true}, out)
	out = m.Step(at(46), Input{LeftFleet: true})
	require.Equal(t, Output{Phase: Left, Changed: true, Announce: true, CloseListener: true, Exit: true}, out)
	require.Equal(t, Left, m.Step(at(100), Input{}).Phase)
	require.Equal(t, "left", m.Phase().String())
}

// Guards against a stop that never ends because peers, the store or a backend
// server do not respond, and against an exit that hides interrupted requests.
func TestEachPhaseIsBounded(t *testing.T) {
	m := New(ConfigForTimeout(2*time.Second, 60*time.Second))
	m.Begin(start)
	stuck := Input{InFlight: 2, Units: 9}
	entered := map[Phase]time.Duration{}
	for now := start; now.Before(at(61)); now = now.Add(100 * time.Millisecond) {
		if out := m.Step(now, stuck); out.Changed {
			entered[out.Phase] = now.Sub(start)
		}
	}
	require.Equal(t, map[Phase]time.Duration{
		HandingOver: 2 * time.Second, Finishing: 7 * time.Second,
		LeavingFleet: 55 * time.Second, Left: 60 * time.Second,
	}, entered)
	require.Equal(t, 2, m.Step(at(61), stuck).Interrupted)
}

// Guards against a stop that waits too long for writes that fail because the
// store is down, or that counts them as interrupted requests.
func TestBackgroundWritesAreBounded(t *testing.T) {
	m := New(Config{})
	m.Begin(start)
	m.Step(at(5), Input{InFlight: 1, BackgroundWrites: 3})
	require.Equal(t, Finishing, m.Step(at(20), Input{InFlight: 1, BackgroundWrites: 3}).Phase)
	require.Equal(t, Finishing, m.Step(at(21), Input{BackgroundWrites: 3}).Phase)
	require.Equal(t, Finishing, m.Step(at(25.9), Input{BackgroundWrites: 3}).Phase)
	out := m.Step(at(26), Input{BackgroundWrites: 3})
	require.Equal(t, LeavingFleet, out.Phase)
	require.Zero(t, out.Interrupted)
}

// Guards against a phase that is skipped because the VM was paused.
func TestPausedDuringStop(t *testing.T) {
	m := New(Config{})
	m.Begin(start)
	out := m.Step(at(3600), Input{InFlight: 1, Units: 9})
	require.Equal(t, HandingOver, out.Phase)
	require.True(t, out.HandOver)
	out = m.Step(at(3601), Input{InFlight: 1})
	require.Equal(t, Finishing, out.Phase)
	require.Zero(t, out.Interrupted)
}
