// Package ingress serves HTTP/1.1 to callers.
//
// It reads ahead on each connection while earlier requests are answered. So a
// caller that leaves is noticed at once, also when it has sent further
// requests, and idempotent requests that were sent together are served
// together. Answers are written in the order of the requests.
//
// Parsing is that of net/http; its server is not used because it reads the next
// request only after the answer to the one before.
package ingress
