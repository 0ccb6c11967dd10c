// Package upstream sends requests to backend servers over persistent HTTP/1.1
// connections.
//
// It never retries a request. Each error says whether the request may have run.
// A response is returned only after its id has been compared with that of the
// request and its whole body has been read. Connections whose state is in doubt
// are closed.
package upstream
