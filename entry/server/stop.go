package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/shutdown"
)

const (
	// stopStepInterval is the interval between the steps of a planned stop.
	stopStepInterval = 100 * time.Millisecond
	// closeConnectionsTimeout bounds the time for closing connections after the
	// last request.
	closeConnectionsTimeout = 2 * time.Second
	// announceMargin is added to the validity of lookup responses. Peers learn
	// of the stop from the next heartbeat and may return this VM in lookups
	// until then.
	announceMargin = time.Second
)

// ErrInterrupted means that requests were still in flight at the end of a
// planned stop.
var ErrInterrupted = errors.New("requests were in flight at the end of the planned stop")

// stopState makes the phase of a planned stop available to other goroutines.
type stopState struct {
	phase atomic.Int32
}

func (s *stopState) set(p shutdown.Phase) { s.phase.Store(int32(p)) }

// begun reports whether a planned stop has begun.
func (s *stopState) begun() bool { return shutdown.Phase(s.phase.Load()) > shutdown.Serving }

func (s *stopState) phaseName() string { return shutdown.Phase(s.phase.Load()).String() }

// stopGracefully runs a planned stop to its end.
func (s *Server) stopGracefully(ctx context.Context) error {
	validity := time.Duration(s.settings.LookupValidityMS) * time.Millisecond
	timeout := time.Duration(s.settings.StopTimeoutMS) * time.Millisecond
	machine := shutdown.New(shutdown.ConfigForTimeout(validity+announceMargin, timeout))
	started := time.Now()
	machine.Begin(started)
	ticker := time.NewTicker(stopStepInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		output := machine.Step(now, shutdown.Input{
			InFlight: int(s.handler.InFlight()), BackgroundWrites: int(s.handler.PendingBookings()),
			Units: s.control.UnitsHeld(now), LeftFleet: s.control.Left(),
		})
		s.plannedStop.set(output.Phase)
		if output.Exit {
			s.close(ctx)
			s.log.Info("planned stop complete", "duration_ms", time.Since(started).Milliseconds(), "interrupted", output.Interrupted)
			if output.Interrupted > 0 {
				return ErrInterrupted
			}
			return nil
		}
		s.applyStopStep(now, output)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// applyStopStep carries out one step of the planned stop.
func (s *Server) applyStopStep(now time.Time, output shutdown.Output) {
	if output.Changed || (output.Phase == shutdown.Leaving && !s.announcedLeaving) {
		s.log.Info("planned stop", "phase", output.Phase.String(), "in_flight", s.handler.InFlight())
	}
	if output.Announce && !s.announcedLeaving {
		s.announcedLeaving = true
		s.control.SetLeaving()
	}
	if !output.Admit {
		s.handler.Close()
	}
	if output.HandOver {
		s.control.HandOver(now)
	}
	if output.CloseListener && !s.listenerClosed {
		s.listenerClosed = true
		s.callerListener.Close()
	}
	if output.LeaveFleet && !s.leaveRequested {
		s.leaveRequested = true
		s.control.Leave(now)
	}
}

// close deregisters the VM and closes the connections, none of which carries a
// request any longer.
func (s *Server) close(ctx context.Context) {
	s.control.Deregister(ctx)
	ctx, cancel := context.WithTimeout(ctx, closeConnectionsTimeout)
	defer cancel()
	for _, srv := range s.httpServers {
		// Connections that do not close in time are closed when the process
		// exits.
		_ = srv.Shutdown(ctx)
	}
}

// closeServers closes all listeners and connections immediately.
func (s *Server) closeServers() {
	for _, srv := range s.httpServers {
		srv.Close()
	}
}
