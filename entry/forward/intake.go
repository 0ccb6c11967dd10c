package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// Names of request headers.
const (
	headerTimeout        = "Cassiawind-Timeout-Ms"
	headerDeadline       = "Cassiawind-Deadline-Unix-Ms"
	headerAccount        = "Cassiawind-Account"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// maxTimeout is the longest time that a caller may ask for.
	maxTimeout = time.Hour
	// maxKeyBytes bounds a key and an Idempotency-Key.
	maxKeyBytes = 256
)

// anonymous stands for callers without a key on routes open to all.
var anonymous = &policy.Account{Name: "anonymous", Weight: 1}

// intake checks a request and finds its route and client account.
func (h *Handler) intake(c *call) *problem.Rejection {
	if rej := checkForm(c.r); rej != nil {
		return rej
	}
	if headerBytes(c.r.Header) > h.config.MaxHeaderBytes {
		return problem.New(problem.CodeHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the header fields are too large")
	}
	p := h.control.Policy()
	if p.Version == 0 {
		return problem.New(problem.CodeEntryNotReady, http.StatusServiceUnavailable, "no configuration yet").WithRetryAfter(time.Second)
	}
	key, rej := bearerKey(c.r)
	if rej != nil {
		return rej
	}
	c.route = p.MatchRoute(c.r.Method, c.r.URL.Path)
	if c.route == nil {
		return problem.New(problem.CodeNoRoute, http.StatusNotFound, "no route for this method and path")
	}
	if c.account, rej = accountOf(p, c.route, key); rej != nil {
		return rej
	}
	if c.idempotencyKey, rej = idempotencyKey(c.r, c.route); rej != nil {
		return rej
	}
	timeout, rej := timeoutOf(c.r, c.route)
	c.deadline = c.start.Add(timeout)
	return rej
}

// checkForm rejects requests that are not passed on for their form alone.
func checkForm(r *http.Request) *problem.Rejection {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "" {
		return problem.New(problem.CodeUpgradeNotSupported, http.StatusNotImplemented, "CONNECT, TRACE and protocol upgrades are not supported")
	}
	path := r.URL.Path
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\x00\\") || hasDotSegment(path) {
		return problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the path must be absolute, without dot segments, NUL and backslash")
	}
	return nil
}

// fieldOverhead is the size of ": " and the line end of a header field.
const fieldOverhead = 4

// headerBytes returns the size of header fields as HTTP/1.1 sends them.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return n
}

// hasDotSegment finds "." and ".." segments. They are rejected and not
// resolved, since a backend server may resolve them differently and so answer
// for another route.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// bearerKey returns the key of the request, "" if there is none.
func bearerKey(r *http.Request) (string, *problem.Rejection) {
	values := r.Header["Authorization"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", problem.New(problem.CodeKeyRepeated, http.StatusBadRequest, "more than one Authorization header")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " ,") {
		return "", problem.New(problem.CodeKeyUnknown, http.StatusUnauthorized, "the Authorization header must be: Bearer KEY")
	}
	return key, nil
}

func accountOf(p *policy.Policy, route *policy.Route, key string) (*policy.Account, *problem.Rejection) {
	if key != "" {
		if account := p.AccountByKey(key); account != nil {
			return account, nil
		}
		return nil, problem.New(problem.CodeKeyUnknown, http.StatusUnauthorized, "the key is not in force")
	}
	if route.Open {
		return anonymous, nil
	}
	return nil, problem.New(problem.CodeKeyMissing, http.StatusUnauthorized, "the route needs a key")
}

func idempotencyKey(r *http.Request, route *policy.Route) (string, *problem.Rejection) {
	values := r.Header[headerIdempotencyKey]
	if len(values) == 0 || route.Idempotent {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return "", problem.New(problem.CodeIdempotencyKeyInvalid, http.StatusBadRequest, "Idempotency-Key must be given once, with 1 to 256 bytes")
	}
	return values[0], nil
}

// timeoutOf returns the shorter of the route's deadline and the caller's.
func timeoutOf(r *http.Request, route *policy.Route) (time.Duration, *problem.Rejection) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return route.Deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return route.Deadline, problem.New(problem.CodeDeadlineInvalid, http.StatusBadRequest, "Cassiawind-Timeout-Ms must be from 1 to 3600000")
	}
	return min(route.Deadline, time.Duration(ms)*time.Millisecond), nil
}
