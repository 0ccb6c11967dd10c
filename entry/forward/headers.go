package forward

import (
	"net"
	"net/http"
	"strconv"

	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// strippedHeaders are set by the system itself or contain secrets. They are
// never forwarded to a backend server.
var strippedHeaders = []string{"Authorization", headerTimeout, headerDeadline, headerAccount, problem.HeaderRun}

// outgoingHeader returns the request headers for the backend server.
func outgoingHeader(c *call) http.Header {
	h := c.r.Header.Clone()
	hop.Remove(h)
	for _, name := range strippedHeaders {
		h.Del(name)
	}
	h.Set(problem.HeaderRequestID, c.id)
	h.Set(headerDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	h.Set(headerAccount, c.account.Name)
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		if forwardedFor := h.Get("X-Forwarded-For"); forwardedFor != "" {
			host = forwardedFor + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		h.Set("User-Agent", "")
	}
	return h
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
