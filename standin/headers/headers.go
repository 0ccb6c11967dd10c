// Package headers names the HTTP headers and values that the stand-ins share
// with the entry VMs (design page, section 4).
package headers

// Header names.
const (
	Authorization  = "Authorization"
	ContentType    = "Content-Type"
	IdempotencyKey = "Idempotency-Key"
	RequestID      = "X-Request-Id"
	RetryAfter     = "Retry-After"
	Account        = "Cassiawind-Account"
	Deadline       = "Cassiawind-Deadline-Unix-Ms"
	Run            = "Cassiawind-Run"
	TimeoutMS      = "Cassiawind-Timeout-Ms"
)

// Values.
const (
	NotRun       = "not run"
	MayHaveRun   = "may have run"
	TypeJSON     = "application/json"
	BearerPrefix = "Bearer "
)
