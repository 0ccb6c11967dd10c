package balance

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoServer means that no backend server can take new work. The error returned
// by Pick is a *NoServerError.
var ErrNoServer = errors.New("no backend server can take the request")

// NoServerError is an ErrNoServer with the time after which a retry may succeed.
type NoServerError struct {
	RetryAfter time.Duration
	// Leaving, Ejected, Excluded and Full count the servers of the region by
	// the first reason for which they were passed over.
	Leaving, Ejected, Excluded, Full int
}

// Error implements error.
func (e *NoServerError) Error() string { return ErrNoServer.Error() }

// Is reports that a NoServerError is an ErrNoServer.
func (e *NoServerError) Is(target error) bool { return target == ErrNoServer }

// Config configures the Balancer of one service. Zero fields take the defaults.
type Config struct {
	Service string
	// MaxEjectedShare is the largest part of the servers that is ejected at once;
	// default 0.2, rounded down.
	MaxEjectedShare float64
	// ColdStart is the time in which a new or returning server reaches its
	// full share; default 10 s.
	ColdStart time.Duration
	// ReportHalfLife is the largest age at which a report counts half; default
	// 700 ms. It is shorter where requests are short.
	ReportHalfLife time.Duration
	// ReportTimeout is the age of the last report after which a server gets no
	// new work while other servers still report; default 2.5 s, so that a
	// server that stopped reporting because it leaves gets none after 3 s.
	ReportTimeout time.Duration
	// UnresponsiveTimeout is the shortest time without any response, with requests in
	// flight, after which a server counts as silent; default 750 ms.
	UnresponsiveTimeout time.Duration
	// BaseEjectionTime is the duration of a first ejection; it doubles with each
	// further one up to 60 s. Default 5 s.
	BaseEjectionTime time.Duration
}

// Server is a backend server as declared.
type Server struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Connections is the number of connections it takes from all entry VMs; 0
	// is unlimited.
	MaxConnections int
	// Draining is true if a declared drain covers the server.
	Draining bool
}

// State is a server's own state as reported.
type State uint8

// States of Report.
const (
	StateServing State = iota
	StateLeaving
	StateCold
)

// Report is a response of a server's load endpoint.
type Report struct {
	// At is the time of the report; the time of arrival if it is zero.
	At    time.Time
	State State
	// Slots is the reported number of slots; it can only lower the declared
	// number. 0 reports none.
	Slots    int
	InFlight int
}

// PickInput restricts a choice.
type PickInput struct {
	// Region restricts the choice to one region; "" is any.
	Region string
	// AllowOtherRegions permits servers of other regions if none of Region can take
	// the request.
	AllowOtherRegions bool
	// Exclude are the names of servers already tried for the request.
	Exclude []string
}

// Class is the class of a result.
type Class uint8

// Classes of Outcome.
const (
	// ClassOK is a complete response, whatever its status, except those below.
	ClassOK Class = iota
	// ClassError is a response that blames the server, or a broken response.
	ClassError
	// ClassShed is a rejection with "not run".
	ClassShed
	// ClassConnectFailed means that no connection was established.
	ClassConnectFailed
	// ClassTimeout means that no response came in time.
	ClassTimeout
	// ClassCanceled means that the caller gave up; it says nothing about the
	// server.
	ClassCanceled
)

// Outcome is the result of a request that Pick placed.
type Outcome struct {
	Class Class
	// Latency is the time from dispatch to the response head.
	Latency time.Duration
}

// EjectReason tells why a server is ejected.
type EjectReason string

// Reasons of ServerStatus.
const (
	NotEjected        EjectReason = ""
	EjectUnresponsive EjectReason = "silent"
	EjectErrors       EjectReason = "errors"
	EjectLatency      EjectReason = "latency"
	EjectNoReport     EjectReason = "no report"
)

// ServerStatus is the view of one server, for the operator address.
type ServerStatus struct {
	Name     string
	Region   string
	Leaving  bool
	Ejected  EjectReason
	InFlight int
	// Ramp is the part of the full share that the cold start allows, 0 to 1.
	Ramp float64
	// Score is compared between servers; the lowest is preferred.
	Score float64
	// Latency is the average of the last responses.
	Latency time.Duration
	// ErrorRate and ShedRate are averages, 0 to 1.
	ErrorRate, ShedRate float64
	// Trust is the weight of the server's reports, 0 to 1.
	Trust float64
	// ReportAge is -1 if there was no report.
	ReportAge time.Duration
	// ConnectionLimit is this VM's part of the connections; 0 is unlimited.
	ConnectionLimit int
}
