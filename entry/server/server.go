// Package server is the entry process: it checks its settings, binds its
// addresses, runs the parts and stops them gracefully.
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
	// headTimeout bounds the time in which a caller sends a request's head.
	headTimeout = 10 * time.Second
	// headerFactor times the bound of the settings is the bound of the HTTP
	// library, which rejects without a problem document.
	headerFactor = 2
	// idleTimeout closes callers' connections that were idle this long.
	idleTimeout = 2 * time.Minute
	// watchInterval is the time between updates that follow the fleet.
	watchInterval = 500 * time.Millisecond
	// listeners is the number of addresses of an entry process.
	listeners = 3
)

// Errors of starting an entry process.
var (
	// ErrListen means that an address of the settings can not be bound.
	ErrListen = errors.New("address can not be bound")
)

// Server is one entry process. Use New and Run.
type Server struct {
	settings declare.Settings
	build    string
	log      logr.Logger
	self     *peerv1.Member
	metrics  *telemetry.Metrics
	control  *control.Control
	services *registry
	regions  *regions
	handler  *forward.Handler
	locator  *locate.Locator
	stopping stopState
	http     []*http.Server

	// callerListener and the flags below belong to the planned stop.
	callerListener   net.Listener
	announcedLeaving bool
	listenerClosed   bool
	leaving          bool

	configMu   sync.Mutex
	entryVMs   int
	configured uint64
}

// New returns a Server with checked settings. Its goroutines end with ctx.
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
		services: newRegistry(ctx, self.Incarnation),
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

// Run serves until stop is closed and the planned stop is complete, or until an
// address fails. All addresses are bound before any is served.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	transport := peers.New(ctx, s.control, s.control, s.log)
	s.control.SetSender(transport)
	failed := make(chan error, listeners)
	if err := s.listen(transport, failed); err != nil {
		return err
	}
	// Ends all connections at once, unless a planned stop has closed them.
	defer s.closeNow()
	go s.control.Run()
	go s.watch(ctx)
	s.log.Info("entry process started", "vm", s.settings.VM, "caller_address", s.settings.CallerAddress, "build", s.build)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-stop:
		return s.stop(ctx)
	}
}

// listen binds the three addresses and then serves them.
func (s *Server) listen(transport *peers.Transport, failed chan<- error) error {
	callers, err := s.callerServer()
	if err != nil {
		return err
	}
	operators, err := operator.Handler(s, s.metrics)
	if err != nil {
		return err
	}
	servers := []*http.Server{
		callers,
		{Addr: s.settings.PeerAddress, Handler: transport.Handler(), Protocols: plainProtocols(), ReadHeaderTimeout: headTimeout},
		{Addr: s.settings.OperatorAddress, Handler: operators, ReadHeaderTimeout: headTimeout},
	}
	open := make([]net.Listener, 0, listeners)
	for _, srv := range servers {
		l, err := net.Listen("tcp", srv.Addr)
		if err != nil {
			for _, l := range open {
				l.Close()
			}
			return errors.Wrap(ErrListen, err.Error())
		}
		open = append(open, l)
	}
	s.http, s.callerListener = servers, open[0]
	for i, srv := range servers {
		go serve(srv, open[i], failed)
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
	// A planned stop closes the callers' listener before the server.
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		failed <- errors.WithStack(err)
	}
}

// plainProtocols are HTTP/1.1 and HTTP/2 without TLS.
func plainProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (s *Server) callerServer() (*http.Server, error) {
	lookups, err := s.locator.Handler()
	if err != nil {
		return nil, err
	}
	srv := &http.Server{
		Addr: s.settings.CallerAddress, Protocols: plainProtocols(),
		Handler:           s.callerHandler(lookups),
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerFactor * s.settings.MaxHeaderBytes,
	}
	if s.settings.TLSCertificateFile == "" {
		return srv, nil
	}
	certs, err := loadCertificates(s.settings.TLSCertificateFile, s.settings.TLSKeyFile)
	if err != nil {
		return nil, err
	}
	srv.TLSConfig = &tls.Config{GetCertificate: certs.get, MinVersion: tls.VersionTLS12}
	return srv, nil
}

// callerHandler sends look-ups and requests to their handlers. Requests do not
// pass the look-ups' router, which would rewrite paths.
func (s *Server) callerHandler(lookups http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.announced() {
			// Asks the caller to open its next connection, elsewhere.
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path == locate.Path {
			lookups.ServeHTTP(w, r)
			return
		}
		if r.RequestURI == "*" {
			problem.Write(w, "", problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the path must be absolute"))
			return
		}
		s.handler.ServeHTTP(w, r)
	})
}

// configure gives a policy to the parts that hold state of their own. An older
// policy than the last one is ignored, since two goroutines call it.
func (s *Server) configure(p *policy.Policy, entryVMs int) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	if p.Version == 0 || p.Version < s.configured || (p.Version == s.configured && entryVMs == s.entryVMs) {
		return
	}
	s.configured, s.entryVMs = p.Version, entryVMs
	s.regions.configure(p, max(1, entryVMs))
	s.services.configure(p, max(1, entryVMs))
}

// watch follows the size of the fleet and tells the load of this VM.
func (s *Server) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		s.control.SetInFlight(s.regions.inFlight())
		s.regions.observe(s.services.loads(now), s.regionDemand(now))
		s.configure(s.control.Policy(), len(s.control.Peers()))
		s.divideSlots(now)
	}
}

// divideSlots tells this VM's demand for slots and divides each service's slots
// by the demand that the other VMs told.
func (s *Server) divideSlots(now time.Time) {
	own := map[string]float64{}
	vmsHere, othersHere := s.control.PeerServiceDemand(s.settings.Region)
	vmsAll, othersAll := s.control.PeerServiceDemand("")
	for name, running := range s.services.all() {
		own[name] = running.Demand(now)
		if running.RegionsWithServers()[s.settings.Region] {
			running.SetShare(now, service.Share{Region: s.settings.Region, VMs: vmsHere, OthersDemand: othersHere[name]})
		} else {
			running.SetShare(now, service.Share{VMs: vmsAll, OthersDemand: othersAll[name]})
		}
	}
	s.control.SetServiceDemand(own)
}

// regionDemand returns a function for the requests per second to a region over
// all VMs, as far as the region's cap admits them.
func (s *Server) regionDemand(now time.Time) func(region string) float64 {
	own := map[string]quota.LimitStatus{}
	for _, l := range s.control.LimitStatus(now) {
		own[l.Limit.Name] = l
	}
	return func(region string) float64 {
		name := quota.RegionLimit(region)
		rate := own[name].Limit.RatePerSecond
		return min(rate, own[name].DemandPerSecond+rate*s.control.PeerDemand(name))
	}
}
