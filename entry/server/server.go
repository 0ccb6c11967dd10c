// Package server runs the entry process: it binds the addresses of the
// settings, starts all parts of the process and shuts them down gracefully.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/entry/forward"
	"github.com/cassiawind/cassiawind/entry/locate"
	"github.com/cassiawind/cassiawind/entry/operator"
	"github.com/cassiawind/cassiawind/entry/peers"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/problem"
	"github.com/cassiawind/cassiawind/entry/service"
	"github.com/cassiawind/cassiawind/entry/telemetry"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// readHeaderTimeout bounds the time in which a caller must send the request
	// headers.
	readHeaderTimeout = 10 * time.Second
	// headerLimitFactor multiplies the configured header limit to get the limit
	// of the HTTP library. The library's limit is higher because the library
	// rejects requests without a problem document.
	headerLimitFactor = 2
	// idleConnTimeout bounds how long a caller's connection may stay idle.
	idleConnTimeout = 2 * time.Minute
	// updateInterval is the interval at which the fleet size and the load are
	// updated.
	updateInterval = 500 * time.Millisecond
	// listenerCount is the number of addresses that an entry process binds.
	listenerCount = 3
)

// Errors of starting an entry process.
var (
	// ErrListen means that an address in the settings cannot be bound.
	ErrListen = errors.New("address cannot be bound")
)

// Server is one entry process. Create it with New and start it with Run.
type Server struct {
	settings    declare.Settings
	build       string
	log         logr.Logger
	self        *peerv1.Member
	metrics     *telemetry.Metrics
	control     *control.Control
	services    *serviceRegistry
	regions     *regions
	handler     *forward.Handler
	locator     *locate.Locator
	plannedStop stopState
	httpServers []*http.Server

	// callerListener and the flags below are used by the planned stop.
	callerListener   net.Listener
	announcedLeaving bool
	listenerClosed   bool
	leaveRequested   bool

	configMu          sync.Mutex
	entryVMs          int
	configuredVersion uint64
}

// New returns a Server for validated settings. Its goroutines end when ctx is
// done.
func New(ctx context.Context, settings declare.Settings, p control.Platform, build string, log logr.Logger) *Server {
	self := &peerv1.Member{
		Vm: settings.VM, Incarnation: uint64(time.Now().UnixNano()),
		PeerAddress: settings.PeerAddress, CallerAddress: settings.CallerAddress,
		Region: settings.Region, FailureDomain: settings.FailureDomain,
	}
	s := &Server{
		settings: settings, build: build, log: log, self: self,
		metrics:  telemetry.New(time.Now()),
		control:  control.New(ctx, self, p, log),
		services: newServiceRegistry(ctx, self.Incarnation),
		regions:  newRegions(settings.Region),
	}
	s.locator = locate.New(s.control, settings.LookupValidityMS)
	s.handler = forward.New(forward.Config{MaxBodyBytes: settings.MaxBodyBytes, MaxHeaderBytes: settings.MaxHeaderBytes}, forward.Deps{
		Control: s.control, Regions: s.regions, Services: s.services,
		Bookings: forward.NewBookings(ctx, p.Table, p.Objects, s.control, log),
		Metrics:  s.metrics, Log: log,
	})
	s.control.OnPolicy(func(p *policy.Policy) { s.configure(p, len(s.control.Peers())) })
	return s
}

// Run serves requests until stop is closed and the planned stop is complete, or
// until a listener fails. It binds all addresses before it serves any of them.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	transport := peers.New(ctx, s.control, s.control, s.log)
	s.control.SetSender(transport)
	failed := make(chan error, listenerCount)
	if err := s.listen(transport, failed); err != nil {
		return err
	}
	// Closes all connections immediately, unless a planned stop has already
	// closed them.
	defer s.closeServers()
	go s.control.Run()
	go s.runUpdates(ctx)
	s.log.Info("entry process started", "vm", s.settings.VM, "caller_address", s.settings.CallerAddress, "build", s.build)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-stop:
		return s.stopGracefully(ctx)
	}
}

// listen binds the three addresses and then starts serving them.
func (s *Server) listen(transport *peers.Transport, failed chan<- error) error {
	callerServer, err := s.callerServer()
	if err != nil {
		return err
	}
	operatorHandler, err := operator.Handler(s, s.metrics)
	if err != nil {
		return err
	}
	servers := []*http.Server{
		callerServer,
		{Addr: s.settings.PeerAddress, Handler: transport.Handler(), Protocols: cleartextProtocols(), ReadHeaderTimeout: readHeaderTimeout},
		{Addr: s.settings.OperatorAddress, Handler: operatorHandler, ReadHeaderTimeout: readHeaderTimeout},
	}
	bound := make([]net.Listener, 0, listenerCount)
	for _, srv := range servers {
		l, err := net.Listen("tcp", srv.Addr)
		if err != nil {
			for _, l := range bound {
				l.Close()
			}
			return errors.Wrap(ErrListen, err.Error())
		}
		bound = append(bound, l)
	}
	s.httpServers, s.callerListener = servers, bound[0]
	for i, srv := range servers {
		go serve(srv, bound[i], failed)
	}
	return nil
}

func serve(srv *http.Server, l net.Listener, failed chan<- error) {
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(l, "", "")
	} else {
		err = srv.Serve(l)
	}
	// A planned stop closes the callers' listener before it shuts down the
	// server.
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		failed <- errors.WithStack(err)
	}
}

// cleartextProtocols returns HTTP/1.1 and HTTP/2 without TLS.
func cleartextProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (s *Server) callerServer() (*http.Server, error) {
	lookupHandler, err := s.locator.Handler()
	if err != nil {
		return nil, err
	}
	srv := &http.Server{
		Addr: s.settings.CallerAddress, Protocols: cleartextProtocols(),
		Handler:           s.callerHandler(lookupHandler),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnTimeout, MaxHeaderBytes: headerLimitFactor * s.settings.MaxHeaderBytes,
	}
	if s.settings.TLSCertificateFile == "" {
		return srv, nil
	}
	certs, err := loadCertificates(s.settings.TLSCertificateFile, s.settings.TLSKeyFile)
	if err != nil {
		return nil, err
	}
	srv.TLSConfig = &tls.Config{GetCertificate: certs.getCertificate, MinVersion: tls.VersionTLS12}
	return srv, nil
}

// callerHandler routes lookups and requests to their handlers. Requests bypass
// the router of the lookups, because it would rewrite their paths.
func (s *Server) callerHandler(lookupHandler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.plannedStop.begun() {
			// Makes the caller open its next connection, which then goes to
			// another VM.
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path == locate.Path {
			lookupHandler.ServeHTTP(w, r)
			return
		}
		if r.RequestURI == "*" {
			problem.Write(w, "", problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the path must be absolute"))
			return
		}
		s.handler.ServeHTTP(w, r)
	})
}

// configure applies a policy to the parts that keep state of their own. It
// ignores policies that are older than the last one, because two goroutines
// call it.
func (s *Server) configure(p *policy.Policy, entryVMs int) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	if p.Version == 0 || p.Version < s.configuredVersion || (p.Version == s.configuredVersion && entryVMs == s.entryVMs) {
		return
	}
	s.configuredVersion, s.entryVMs = p.Version, entryVMs
	s.regions.configure(p, max(1, entryVMs))
	s.services.configure(p, max(1, entryVMs))
}

// runUpdates periodically applies the size of the fleet and the load of the
// backend servers, and publishes the load of this VM.
func (s *Server) runUpdates(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.control.SetInFlight(s.regions.inFlight())
		s.regions.updateLoads(s.services.regionLoads(now), s.regionDemand(now))
		s.configure(s.control.Policy(), len(s.control.Peers()))
		s.updateSlotShares(now)
	}
}

// updateSlotShares publishes this VM's demand for slots and updates its share
// of each service's slots according to the demand published by the other VMs.
func (s *Server) updateSlotShares(now time.Time) {
	ownDemand := map[string]float64{}
	regionVMs, regionOthers := s.control.PeerServiceDemand(s.settings.Region)
	allVMs, allOthers := s.control.PeerServiceDemand("")
	for name, running := range s.services.runningServices() {
		ownDemand[name] = running.Demand(now)
		if running.RegionsWithServers()[s.settings.Region] {
			running.SetShare(now, service.Share{Region: s.settings.Region, VMs: regionVMs, OthersDemand: regionOthers[name]})
		} else {
			running.SetShare(now, service.Share{VMs: allVMs, OthersDemand: allOthers[name]})
		}
	}
	s.control.SetServiceDemand(ownDemand)
}

// regionDemand returns a function that returns the demand of all VMs for a
// region in requests per second, limited to the region's cap.
func (s *Server) regionDemand(now time.Time) func(region string) float64 {
	ownLimits := map[string]quota.LimitStatus{}
	for _, l := range s.control.LimitStatus(now) {
		ownLimits[l.Limit.Name] = l
	}
	return func(region string) float64 {
		name := quota.RegionLimit(region)
		rate := ownLimits[name].Limit.RatePerSecond
		return min(rate, ownLimits[name].DemandPerSecond+rate*s.control.PeerDemand(name))
	}
}
