// Package shutdown decides the steps of a planned stop.
//
// A VM first announces that it is leaving and goes on serving until callers have
// stopped using earlier lookup responses. It then hands its quota units to peers,
// closes the listener, lets the requests in flight finish and leaves the fleet.
package shutdown

import (
	"time"
)

// Phase is a state of the planned stop, in the order in which they follow.
type Phase int

// Phases.
const (
	// Serving: no stop was begun.
	Serving Phase = iota
	// Leaving: the VM serves, and heartbeats and lookup responses mark it as
	// leaving.
	Leaving
	// HandingOver: quota units are transferred to peers. New requests are
	// answered as not run, because the VM has no tokens to admit them.
	HandingOver
	// Finishing: the listener is closed and requests in flight finish.
	Finishing
	// LeavingFleet: the VM removes itself from the fleet row.
	LeavingFleet
	// Left: the process exits.
	Left
)

var phaseNames = [...]string{"serving", "leaving", "handing over", "finishing", "leaving fleet", "left"}

// String returns the name used in status output.
func (p Phase) String() string { return phaseNames[p] }

// Config bounds the phases.
type Config struct {
	// LookupValidity is the duration of the phase Leaving; default 5 s.
	LookupValidity time.Duration
	// HandOverTimeout bounds the phase HandingOver; default 5 s. Units that could not
	// be handed over are recovered by reconciliation.
	HandOverTimeout time.Duration
	// Finish bounds the phase Finishing; default 40 s, the longest deadline of
	// a route, by which every request has its answer.
	FinishTimeout time.Duration
	// Settle bounds the wait for background writes after the last response;
	// default 5 s. It is part of the phase Finishing and within its bound.
	BackgroundTimeout time.Duration
	// LeaveFleetTimeout bounds the phase LeavingFleet; default 5 s. A VM that could
	// not remove itself, because the store is down, is evicted later.
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

// ConfigForTimeout returns the bounds for a lookup validity and a bound on the whole
// stop. The time that the other phases do not need is for requests in flight.
func ConfigForTimeout(lookupValidity, timeout time.Duration) Config {
	return Config{
		LookupValidity:    lookupValidity,
		HandOverTimeout:   DefaultHandOverTimeout,
		FinishTimeout:     max(timeout-lookupValidity-DefaultHandOverTimeout-DefaultLeaveFleetTimeout, time.Millisecond),
		LeaveFleetTimeout: DefaultLeaveFleetTimeout,
	}
}

// Input is what the machine needs to know at a step.
type Input struct {
	// InFlight is the number of requests without a complete response.
	InFlight int
	// Background is the number of writes that no caller waits for, such as
	// outcomes of bookings on their way to the table.
	BackgroundWrites int
	// Units is the number of quota units held, over all limits.
	Units uint64
	// LeftFleet tells that the fleet row no longer holds the VM.
	LeftFleet bool
}

// Output says what the VM does from now on.
type Output struct {
	Phase Phase
	// Changed tells that the phase was entered in this step.
	Changed bool
	// Admit: new requests are admitted. Otherwise they are answered as not run.
	Admit bool
	// Announce: heartbeats and lookup responses mark the VM as leaving.
	Announce bool
	// HandOverTimeout: quota units are transferred to peers, also those that arrive
	// late.
	HandOver bool
	// CloseListener: no new connections and requests are accepted.
	CloseListener bool
	// LeaveFleetTimeout: the VM removes itself from the fleet row.
	LeaveFleet bool
	// Exit: the process exits with code 0 if Interrupted is 0.
	Exit bool
	// Interrupted is the number of requests that were still in flight when
	// the bound of the phase Finishing was reached.
	Interrupted int
}

// Machine is the planned stop of one VM. Its settings are in Config.
type Machine struct {
	cfg   Config
	phase Phase
	since time.Time
	// idle is the time since which no request is in flight, or zero.
	idle        time.Time
	interrupted int
}

// New returns a machine in the phase Serving.
func New(cfg Config) *Machine {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&cfg.LookupValidity, DefaultLookupValidity)
	set(&cfg.HandOverTimeout, DefaultHandOverTimeout)
	set(&cfg.FinishTimeout, DefaultFinishTimeout)
	set(&cfg.BackgroundTimeout, DefaultBackgroundTimeout)
	set(&cfg.LeaveFleetTimeout, DefaultLeaveFleetTimeout)
	return &Machine{cfg: cfg}
}

// Begin starts the planned stop. Later calls have no effect.
func (m *Machine) Begin(now time.Time) {
	if m.phase == Serving {
		m.enter(now, Leaving)
	}
}

// Phase returns the present phase.
func (m *Machine) Phase() Phase { return m.phase }

func (m *Machine) enter(now time.Time, p Phase) { m.phase, m.since = p, now }

// Step moves on as far as the input allows and says what to do. It is called
// every 100 ms and at each change of the input.
func (m *Machine) Step(now time.Time, in Input) Output {
	before := m.phase
	switch {
	case in.InFlight > 0:
		m.idle = time.Time{}
	case m.idle.IsZero():
		m.idle = now
	}
	for m.over(now, in) {
		if m.phase == Finishing {
			m.interrupted = in.InFlight
		}
		m.enter(now, m.phase+1)
	}
	return Output{
		Phase:         m.phase,
		Changed:       m.phase != before,
		Admit:         m.phase <= Leaving,
		Announce:      m.phase >= Leaving,
		HandOver:      m.phase >= HandingOver && m.phase < Left && in.Units > 0,
		CloseListener: m.phase >= Finishing,
		LeaveFleet:    m.phase == LeavingFleet,
		Exit:          m.phase == Left,
		Interrupted:   m.interrupted,
	}
}

// over says whether the present phase has ended.
func (m *Machine) over(now time.Time, in Input) bool {
	spent := now.Sub(m.since)
	switch m.phase {
	case Leaving:
		return spent >= m.cfg.LookupValidity
	case HandingOver:
		return in.Units == 0 || spent >= m.cfg.HandOverTimeout
	case Finishing:
		settled := in.BackgroundWrites == 0 || now.Sub(m.idle) >= m.cfg.BackgroundTimeout
		return in.InFlight == 0 && settled || spent >= m.cfg.FinishTimeout
	case LeavingFleet:
		return in.LeftFleet || spent >= m.cfg.LeaveFleetTimeout
	}
	return false
}
