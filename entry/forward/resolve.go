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
	// maxTimeout is the longest timeout that a caller may request.
	maxTimeout = time.Hour
	// maxKeyBytes bounds the length of a key and of an Idempotency-Key.
	maxKeyBytes = 256
)

// anonymousAccount is the account of callers without a key on open routes.
var anonymousAccount = &policy.Account{Name: "anonymous", Weight: 1}

// resolve validates a request and determines its route, client account and
// deadline.
func (h *Handler) resolve(c *call) *problem.Rejection {
	if rej := checkMethodAndPath(c.r); rej != nil {
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
	if c.account, rej = findAccount(p, c.route, key); rej != nil {
		return rej
	}
	if c.idempotencyKey, rej = idempotencyKey(c.r, c.route); rej != nil {
		return rej
	}
	timeout, rej := requestTimeout(c.r, c.route)
	c.deadline = c.start.Add(timeout)
	return rej
}

// checkMethodAndPath rejects methods, upgrades and paths that the system does
// not forward.
func checkMethodAndPath(r *http.Request) *problem.Rejection {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "" {
		return problem.New(problem.CodeUpgradeNotSupported, http.StatusNotImplemented, "CONNECT, TRACE and protocol upgrades are not supported")
	}
	path := r.URL.Path
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\x00\\") || hasDotSegment(path) {
		return problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the path must be absolute, without dot segments, NUL and backslash")
	}
	return nil
}

// headerFieldOverheadBytes is the size of ": " and the line end of a header
// field.
const headerFieldOverheadBytes = 4

// headerBytes returns the size of the header fields in HTTP/1.1 encoding.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + headerFieldOverheadBytes
		}
	}
	return n
}

// hasDotSegment reports whether the path has "." or ".." segments. Such paths
// are rejected rather than normalized, because a backend server may normalize
// them differently and serve another route.
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

// bearerKey returns the key of the request, or "" if there is none.
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

func findAccount(p *policy.Policy, route *policy.Route, key string) (*policy.Account, *problem.Rejection) {
	if key != "" {
		if account := p.AccountByKey(key); account != nil {
			return account, nil
		}
		return nil, problem.New(problem.CodeKeyUnknown, http.StatusUnauthorized, "the key is not in force")
	}
	if route.Open {
		return anonymousAccount, nil
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

// requestTimeout returns the route's deadline or the caller's timeout,
// whichever is shorter.
func requestTimeout(r *http.Request, route *policy.Route) (time.Duration, *problem.Rejection) {
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return route.Deadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return route.Deadline, problem.New(problem.CodeDeadlineInvalid, http.StatusBadRequest, "Cassiawind-Timeout-Ms must be from 1 to 3600000")
	}
	return min(route.Deadline, time.Duration(ms)*time.Millisecond), nil
}
