package forward

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/cassiawind/cassiawind/entry/problem"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are the system's own or secret and are never passed on.
var privateHeaders = []string{"Authorization", headerTimeout, headerDeadline, headerAccount, problem.HeaderRun}

// outgoingHeader returns the header for a backend server.
func outgoingHeader(c *call) http.Header {
	h := c.r.Header.Clone()
	removeHopHeaders(h)
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

func removeHopHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
