package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/shutdown"
)

const (
	// stopStep is the time between steps of a planned stop.
	stopStep = 100 * time.Millisecond
	// closeTimeout bounds the closing of connections after the last request.
	closeTimeout = 2 * time.Second
	// announceMargin is added to the validity of lookup answers: peers learn
	// of the stop by the next heartbeat, and may name this VM until then.
	announceMargin = time.Second
)

// ErrInterrupted means that a planned stop ended with requests in flight.
var ErrInterrupted = errors.New("requests were in flight at the end of the planned stop")

// stopState tells other goroutines the phase of a planned stop.
type stopState struct {
	phase atomic.Int32
}

func (s *stopState) set(p shutdown.Phase) { s.phase.Store(int32(p)) }

// announced reports whether a planned stop has begun.
func (s *stopState) announced() bool { return shutdown.Phase(s.phase.Load()) > shutdown.Serving }

func (s *stopState) name() string { return shutdown.Phase(s.phase.Load()).String() }

// stop runs a planned stop to its end.
func (s *Server) stop(ctx context.Context) error {
	validity := time.Duration(s.settings.LookupValidityMS) * time.Millisecond
	timeout := time.Duration(s.settings.StopTimeoutMS) * time.Millisecond
	machine := shutdown.New(shutdown.WithTimeout(validity+announceMargin, timeout))
	started := time.Now()
	machine.Begin(started)
	ticker := time.NewTicker(stopStep)
	defer ticker.Stop()
	for {
		now := time.Now()
		out := machine.Step(now, shutdown.Input{
			InFlight: int(s.handler.InFlight()), Background: int(s.handler.PendingBookings()),
			Units: s.control.UnitsHeld(now), LeftFleet: s.control.Left(),
		})
		s.stopping.set(out.Phase)
		if out.Exit {
			s.close(ctx)
			s.log.Info("planned stop complete", "duration_ms", time.Since(started).Milliseconds(), "interrupted", out.Interrupted)
			if out.Interrupted > 0 {
				return ErrInterrupted
			}
			return nil
		}
		s.carryOut(now, out)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// carryOut does what a step of the planned stop asks for.
func (s *Server) carryOut(now time.Time, out shutdown.Output) {
	if out.Changed || (out.Phase == shutdown.Leaving && !s.announcedLeaving) {
		s.log.Info("planned stop", "phase", out.Phase.String(), "in_flight", s.handler.InFlight())
	}
	if out.Announce && !s.announcedLeaving {
		s.announcedLeaving = true
		s.control.SetLeaving()
	}
	if !out.Admit {
		s.handler.Close()
	}
	if out.HandOver {
		s.control.HandOver(now)
	}
	if out.CloseListener && !s.listenerClosed {
		s.listenerClosed = true
		s.callerListener.Close()
	}
	if out.LeaveFleet && !s.leaving {
		s.leaving = true
		s.control.Leave(now)
	}
}

// close ends the connections, which carry no request any more.
func (s *Server) close(ctx context.Context) {
	s.control.Deregister(ctx)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, srv := range s.http {
		// Connections that do not close in time end with the process.
		_ = srv.Shutdown(ctx)
	}
}

// closeNow ends all connections at once.
func (s *Server) closeNow() {
	for _, srv := range s.http {
		srv.Close()
	}
}
