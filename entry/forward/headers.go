package forward

import (
	"net"
	"net/http"
	"strconv"

	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// privateHeaders are the system's own or secret and are never passed on.
var privateHeaders = []string{"Authorization", headerTimeout, headerDeadline, headerAccount, problem.HeaderRun}

// outgoingHeader returns the header for a backend server.
func outgoingHeader(c *call) http.Header {
	h := c.r.Header.Clone()
	hop.Remove(h)
	for _, name := range privateHeaders {
		h.Del(name)
	}
	h.Set(problem.HeaderRequestID, c.id)
	h.Set(headerDeadline, strconv.FormatInt(c.deadline.UnixMilli(), 10))
	h.Set(headerAccount, c.account.Name)
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		if before := h.Get("X-Forwarded-For"); before != "" {
			host = before + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	if _, ok := h["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		h.Set("User-Agent", "")
	}
	return h
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
