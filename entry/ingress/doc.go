// Package ingress serves HTTP/1.1 to callers.
//
// It reads ahead on each connection while earlier requests are being answered.
// A caller that disconnects is therefore noticed at once, even if it has sent
// further requests, and idempotent requests that were sent together are served
// concurrently. Responses are written in the order of the requests.
//
// Requests are parsed by net/http. Its server is not used, because it reads a
// request only after it has answered the one before.
package ingress
