// Package forward implements the request path of an entry VM: it validates a
// request, admits it under the limits, sends it to a backend server and
// forwards the complete response.
package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/admission"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/bodies"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/problem"
	"github.com/cassiawind/cassiawind/entry/service"
	"github.com/cassiawind/cassiawind/entry/telemetry"
)

// Control is the part of the control state that the request path uses.
type Control interface {
	Policy() *policy.Policy
	LeaseValid(now time.Time) bool
	Take(now time.Time, limit string, n float64) quota.Decision
	// Retry is Take for a request that called Take before and is still waiting.
	Retry(now time.Time, limit string, n float64) quota.Decision
	Refund(now time.Time, limit string, n float64)
	UnitsArrived() <-chan struct{}
}

// Regions chooses the region of a request.
type Regions interface {
	// Choose admits a request to a region in which the service has backend
	// servers. Every successful call must be followed by one call of Done.
	// clientRegion is "" if the caller's region is not known.
	Choose(now time.Time, clientRegion string, s *service.Service, take func(limit string) bool, refund func(limit string)) (routing.RegionChoice, error)
	Done(now time.Time, region string)
}

// Services provides the running services by name. Service returns nil if there is
// none with the name.
type Services interface {
	Service(name string) *service.Service
}

// Config holds the limits of the request path.
type Config struct {
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header fields of a request.
	MaxHeaderBytes int
}

// Handler serves the requests of callers. Create it with New.
type Handler struct {
	config     Config
	control    Control
	regions    Regions
	services   Services
	bookings   *Bookings
	metrics    *telemetry.Metrics
	rejections *telemetry.RejectionLog
	log        logr.Logger
	transports *transports
	bodyBudget bodyBudget
	// storedMemory is the memory of responses that are read to be stored.
	storedMemory *bodies.Memory
	inFlight     atomic.Int64
	closing      atomic.Bool
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	Control  Control
	Regions  Regions
	Services Services
	Bookings *Bookings
	Metrics  *telemetry.Metrics
	Log      logr.Logger
}

// New returns a Handler that accepts requests until Close is called.
func New(config Config, d Deps) *Handler {
	return &Handler{
		config: config, control: d.Control, regions: d.Regions, services: d.Services, bookings: d.Bookings,
		metrics: d.Metrics, log: d.Log, rejections: telemetry.NewRejectionLog(d.Log), transports: newTransports(),
		storedMemory: bodies.NewMemory(bodies.Limits{Total: maxStoredMemoryBytes, PerSource: maxStoredMemoryBytes}),
	}
}

// call is one request of a caller with the state collected while it is served.
type call struct {
	w              http.ResponseWriter
	r              *http.Request
	id             string
	start          time.Time
	deadline       time.Time
	route          *policy.Route
	account        *policy.Account
	idempotencyKey string
	region         string
	service        *service.Service
}

// class returns the scheduling class and its name in metrics.
func (c *call) class() (admission.Class, string) {
	if c.route.Idempotent {
		return admission.Lookup, "lookup"
	}
	return admission.Booking, "booking"
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// PendingBookings returns the number of bookings whose outcome is still being
// written.
func (h *Handler) PendingBookings() int64 { return h.bookings.Pending() }

// Close makes the handler reject new requests.
func (h *Handler) Close() { h.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	c := &call{w: w, r: r, id: requestID(r), start: time.Now()}
	w.Header().Set(problem.HeaderRequestID, c.id)
	if rej := h.handle(c); rej != nil {
		h.reject(c, rej)
		return
	}
	_, class := c.class()
	h.metrics.RecordResponse(c.account.Name, class, time.Since(c.start))
}

// requestID returns the caller's id if it is well-formed, or else a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(problem.HeaderRequestID)
	if id == "" || len(id) > 64 || !isToken(id) {
		return uuid.NewString()
	}
	return id
}

func isToken(s string) bool {
	for _, b := range []byte(s) {
		if (b < '0' || b > '9') && (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && b != '-' && b != '_' && b != '.' {
			return false
		}
	}
	return true
}

func (h *Handler) reject(c *call, rej *problem.Rejection) {
	account := "unknown"
	if c.account != nil {
		account = c.account.Name
	}
	h.metrics.RecordRejection(account, string(rej.Code))
	h.rejections.Add(time.Now(), account, string(rej.Code), c.id)
	problem.Write(c.w, c.id, rej)
}

// handle serves the request. It returns nil if the caller received a response
// of a backend server, otherwise the rejection to send.
func (h *Handler) handle(c *call) *problem.Rejection {
	if h.closing.Load() {
		return problem.New(problem.CodeEntryStopping, http.StatusServiceUnavailable, "this entry VM is stopping; look up another").WithRetryAfter(time.Second)
	}
	if rej := h.resolve(c); rej != nil {
		return rej
	}
	c.service = h.services.Service(c.route.Service)
	if c.service == nil {
		return problem.New(problem.CodeNoBackendServer, http.StatusServiceUnavailable, "the service has no backend servers").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	rej := h.admit(ctx, c)
	if rej != nil && rej.Run == problem.NotRun && ctx.Err() == context.Canceled {
		h.metrics.Count(1, "caller_gone", c.account.Name)
	}
	return rej
}

// admit checks the limits one after another. If the request was not run, it
// returns the tokens that were taken.
func (h *Handler) admit(ctx context.Context, c *call) *problem.Rejection {
	if rej := h.admitAccount(ctx, c); rej != nil {
		return rej
	}
	rej := h.admitRegion(ctx, c)
	if rej != nil && rej.Run == problem.NotRun && c.account != anonymousAccount {
		h.control.Refund(time.Now(), c.account.Limit, 1)
	}
	return rej
}

func (h *Handler) admitRegion(ctx context.Context, c *call) *problem.Rejection {
	taken, rej := h.chooseRegion(ctx, c)
	if rej != nil {
		return rej
	}
	defer func() { h.regions.Done(time.Now(), c.region) }()
	rej = h.admitService(ctx, c)
	if rej != nil && rej.Run == problem.NotRun {
		for _, limit := range taken {
			h.control.Refund(time.Now(), limit, 1)
		}
	}
	return rej
}

func (h *Handler) admitService(ctx context.Context, c *call) *problem.Rejection {
	class, _ := c.class()
	ticket, err := c.service.Admit(ctx, time.Now(), c.account, class, c.deadline)
	if err != nil {
		return asRejection(err)
	}
	defer c.service.Release(ticket)
	return h.run(ctx, c)
}

// run serves an admitted request.
func (h *Handler) run(ctx context.Context, c *call) *problem.Rejection {
	if c.idempotencyKey != "" {
		return h.runKeyedBooking(ctx, c)
	}
	body, rej := newRequestBody(c, c.route.Idempotent, h.config.MaxBodyBytes, &h.bodyBudget)
	if rej != nil {
		return rej
	}
	defer body.close()
	resp, rej := h.dispatch(ctx, c, body, nil)
	if rej != nil {
		return rej
	}
	defer resp.close()
	return h.writeResponse(c, resp)
}

// asRejection converts an error of the scheduler to a rejection.
func asRejection(err error) *problem.Rejection {
	var rej *problem.Rejection
	if errors.As(err, &rej) {
		return rej
	}
	return problem.New(problem.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before the request was sent")
}
