// Package shutdown decides the steps of a planned stop.
//
// A VM first announces that it is leaving. It continues to serve until
// callers no longer use earlier lookup responses. It then transfers its quota
// units to peers, closes the listener, finishes the requests in flight and
// leaves the fleet.
package shutdown

import (
	"time"
)

// Phase is a phase of the planned stop. The constants are in the order in
// which the phases follow each other.
type Phase int

// Phases.
const (
	// Serving means that no stop has begun.
	Serving Phase = iota
	// Leaving means that the VM serves, while heartbeats and lookup responses
	// mark it as leaving.
	Leaving
	// HandingOver means that quota units are transferred to peers. New requests
	// are rejected as not run, because the VM has no tokens to admit them.
	HandingOver
	// Finishing means that the listener is closed and requests in flight finish.
	Finishing
	// LeavingFleet means that the VM removes itself from the fleet row.
	LeavingFleet
	// Left means that the process exits.
	Left
)

var phaseNames = [...]string{"serving", "leaving", "handing over", "finishing", "leaving fleet", "left"}

// String returns the name that is used in status output.
func (p Phase) String() string { return phaseNames[p] }

// Config has the duration or the timeout of each phase. Zero fields take the
// defaults.
type Config struct {
	// LookupValidity is the duration of the phase Leaving; default 5 s.
	LookupValidity time.Duration
	// HandOverTimeout bounds the phase HandingOver; default 5 s. Units that were
	// not transferred are recovered by reconciliation.
	HandOverTimeout time.Duration
	// FinishTimeout bounds the phase Finishing; default 40 s, the longest
	// deadline of a route, by which every request has a response.
	FinishTimeout time.Duration
	// BackgroundTimeout bounds the wait for background writes after the last
	// response; default 5 s. This wait is part of the phase Finishing and of its
	// timeout.
	BackgroundTimeout time.Duration
	// LeaveFleetTimeout bounds the phase LeavingFleet; default 5 s. A VM that
	// cannot remove itself because the store is down is evicted later.
	LeaveFleetTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultLookupValidity    = 5 * time.Second
	DefaultHandOverTimeout   = 5 * time.Second
	DefaultFinishTimeout     = 40 * time.Second
	DefaultBackgroundTimeout = 5 * time.Second
	DefaultLeaveFleetTimeout = 5 * time.Second
)

// ConfigForTimeout returns the Config for a lookup validity and a timeout of
// the whole stop. Requests in flight get the time that the other phases
// leave.
func ConfigForTimeout(lookupValidity, timeout time.Duration) Config {
	return Config{
		LookupValidity:    lookupValidity,
		HandOverTimeout:   DefaultHandOverTimeout,
		FinishTimeout:     max(timeout-lookupValidity-DefaultHandOverTimeout-DefaultLeaveFleetTimeout, time.Millisecond),
		LeaveFleetTimeout: DefaultLeaveFleetTimeout,
	}
}

// Input is the state of the VM at a step.
type Input struct {
	// InFlight is the number of requests without a complete response.
	InFlight int
	// BackgroundWrites is the number of writes that no caller waits for, such as
	// outcomes of bookings that are being written to the table.
	BackgroundWrites int
	// Units is the number of quota units held, over all limits.
	Units uint64
	// LeftFleet is set if the fleet row no longer contains the VM.
	LeftFleet bool
}

// Output is what the VM does from now on.
type Output struct {
	Phase Phase
	// Changed is set if the phase was entered in this step.
	Changed bool
	// Admit is set if new requests are admitted. Otherwise they are rejected as
	// not run.
	Admit bool
	// Announce is set if heartbeats and lookup responses mark the VM as leaving.
	Announce bool
	// HandOver is set if quota units are transferred to peers, including units
	// that arrive late.
	HandOver bool
	// CloseListener is set if no new connections and requests are accepted.
	CloseListener bool
	// LeaveFleet is set if the VM removes itself from the fleet row.
	LeaveFleet bool
	// Exit is set if the process exits. The exit code is 0 if Interrupted is 0.
	Exit bool
	// Interrupted is the number of requests that were still in flight when the
	// phase Finishing timed out.
	Interrupted int
}

// Machine is the state machine of the planned stop of one VM.
type Machine struct {
	cfg       Config
	phase     Phase
	enteredAt time.Time
	// idleSince is the time since which no request is in flight, zero if there
	// is one.
	idleSince   time.Time
	interrupted int
}

// New returns a machine in the phase Serving.
func New(cfg Config) *Machine {
	setDefault := func(timeout *time.Duration, value time.Duration) {
		if *timeout <= 0 {
			*timeout = value
		}
	}
	setDefault(&cfg.LookupValidity, DefaultLookupValidity)
	setDefault(&cfg.HandOverTimeout, DefaultHandOverTimeout)
	setDefault(&cfg.FinishTimeout, DefaultFinishTimeout)
	setDefault(&cfg.BackgroundTimeout, DefaultBackgroundTimeout)
	setDefault(&cfg.LeaveFleetTimeout, DefaultLeaveFleetTimeout)
	return &Machine{cfg: cfg}
}

// Begin starts the planned stop. Later calls have no effect.
func (m *Machine) Begin(now time.Time) {
	if m.phase == Serving {
		m.enter(now, Leaving)
	}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

func (m *Machine) enter(now time.Time, p Phase) { m.phase, m.enteredAt = p, now }

// Step advances as far as the input allows and returns what the VM does. Call
// it every 100 ms and whenever the input changes.
func (m *Machine) Step(now time.Time, in Input) Output {
	previous := m.phase
	switch {
	case in.InFlight > 0:
		m.idleSince = time.Time{}
	case m.idleSince.IsZero():
		m.idleSince = now
	}
	for m.phaseEnded(now, in) {
		if m.phase == Finishing {
			m.interrupted = in.InFlight
		}
		m.enter(now, m.phase+1)
	}
	return Output{
		Phase:         m.phase,
		Changed:       m.phase != previous,
		Admit:         m.phase <= Leaving,
		Announce:      m.phase >= Leaving,
		HandOver:      m.phase >= HandingOver && m.phase < Left && in.Units > 0,
		CloseListener: m.phase >= Finishing,
		LeaveFleet:    m.phase == LeavingFleet,
		Exit:          m.phase == Left,
		Interrupted:   m.interrupted,
	}
}

// phaseEnded reports whether the current phase has ended.
func (m *Machine) phaseEnded(now time.Time, in Input) bool {
	elapsed := now.Sub(m.enteredAt)
	switch m.phase {
	case Leaving:
		return elapsed >= m.cfg.LookupValidity
	case HandingOver:
		return in.Units == 0 || elapsed >= m.cfg.HandOverTimeout
	case Finishing:
		settled := in.BackgroundWrites == 0 || now.Sub(m.idleSince) >= m.cfg.BackgroundTimeout
		return in.InFlight == 0 && settled || elapsed >= m.cfg.FinishTimeout
	case LeavingFleet:
		return in.LeftFleet || elapsed >= m.cfg.LeaveFleetTimeout
	}
	return false
}
