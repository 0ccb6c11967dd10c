package balance

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoServer means that no backend server can take new work. Pick returns it
// as a *NoServerError.
var ErrNoServer = errors.New("no backend server can take the request")

// NoServerError is an ErrNoServer that tells when a retry may succeed.
type NoServerError struct {
	RetryAfter time.Duration
	// Leaving, Ejected, Excluded and Full count the servers of the region by the
	// first reason for which each was skipped.
	Leaving, Ejected, Excluded, Full int
}

// Error implements error.
func (e *NoServerError) Error() string { return ErrNoServer.Error() }

// Is makes errors.Is match ErrNoServer.
func (e *NoServerError) Is(target error) bool { return target == ErrNoServer }

// Config configures the Balancer of one service. Zero fields take the defaults.
type Config struct {
	Service string
	// MaxEjectedShare is the largest share of the servers that is ejected at the
	// same time, rounded down; default 0.2.
	MaxEjectedShare float64
	// ColdStart is the time in which a new or returning server reaches its full
	// share of the work; default 10 s.
	ColdStart time.Duration
	// ReportHalfLife is the longest half-life of a report's weight; default 700
	// ms. The half-life is shorter if requests are short.
	ReportHalfLife time.Duration
	// ReportTimeout is the age of the last report after which a server gets no
	// new work while other servers still report; default 2.5 s, so that a server
	// that stopped reporting because it leaves gets none after 3 s.
	ReportTimeout time.Duration
	// UnresponsiveTimeout is the shortest time without any response, with
	// requests in flight, after which a server counts as unresponsive; default
	// 750 ms.
	UnresponsiveTimeout time.Duration
	// BaseEjectionTime is the duration of a server's first ejection; default 5
	// s. It doubles with each further ejection, up to 60 s.
	BaseEjectionTime time.Duration
}

// Server is a backend server as configured.
type Server struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// MaxConnections is the number of connections that the server accepts from
	// all entry VMs together; 0 is unlimited.
	MaxConnections int
	// Draining is true if a configured drain covers the server.
	Draining bool
}

// State is the state that a server reports of itself.
type State uint8

// States of Report.
const (
	StateServing State = iota
	StateLeaving
	StateCold
)

// Report is the content of a response of a server's load endpoint.
type Report struct {
	// At is the time of the report. If it is zero, the time of arrival is used.
	At    time.Time
	State State
	// Slots is the reported number of slots. It can only lower the configured
	// number; 0 means that none is reported.
	Slots    int
	InFlight int
}

// PickInput restricts the choice of a server.
type PickInput struct {
	// Region restricts the choice to one region; "" allows any.
	Region string
	// AllowOtherRegions permits servers of other regions if none of Region can
	// take the request.
	AllowOtherRegions bool
	// Exclude has the names of the servers that were already tried for the
	// request.
	Exclude []string
}

// Class is the class of a request's result.
type Class uint8

// Classes of Outcome.
const (
	// ClassOK is a complete response with any status, except those covered by
	// the other classes.
	ClassOK Class = iota
	// ClassError is a broken response, or one that shows a failure of the
	// server.
	ClassError
	// ClassShed is a rejection by an overloaded server that did not run the
	// request.
	ClassShed
	// ClassConnectFailed means that no connection was established.
	ClassConnectFailed
	// ClassTimeout means that no response came in time.
	ClassTimeout
	// ClassCanceled means that the caller stopped waiting. It says nothing about
	// the server.
	ClassCanceled
)

// Outcome is the result of a request for which Pick chose the server.
type Outcome struct {
	Class Class
	// Latency is the time from sending the request to the head of the response.
	Latency time.Duration
}

// EjectReason is the reason why a server is ejected.
type EjectReason string

// Reasons of ServerStatus.
const (
	NotEjected        EjectReason = ""
	EjectUnresponsive EjectReason = "silent"
	EjectErrors       EjectReason = "errors"
	EjectLatency      EjectReason = "latency"
	EjectNoReport     EjectReason = "no report"
)

// ServerStatus is the state of one server as shown at the operator address.
type ServerStatus struct {
	Name     string
	Region   string
	Leaving  bool
	Ejected  EjectReason
	InFlight int
	// Ramp is the share of its full work that the cold start allows the server,
	// 0 to 1.
	Ramp float64
	// Score is the value by which servers are compared; the lowest is preferred.
	Score float64
	// Latency is the average over the last responses.
	Latency time.Duration
	// ErrorRate and ShedRate are averages, 0 to 1.
	ErrorRate, ShedRate float64
	// Trust is the weight of the server's reports, 0 to 1.
	Trust float64
	// ReportAge is the age of the last report, -1 if there was none.
	ReportAge time.Duration
	// ConnectionLimit is this VM's share of the server's connections; 0 is
	// unlimited.
	ConnectionLimit int
}
