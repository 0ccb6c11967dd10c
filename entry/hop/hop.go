// Package hop removes the hop-by-hop headers, which concern one connection only
// and must not be forwarded by an intermediary (RFC 9110, section 7.6.1).
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// Remove deletes the hop-by-hop headers from h, including those that its
// Connection header lists.
func Remove(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for name := range hopByHopHeaders {
		delete(h, name)
	}
}
