// Package headers defines the HTTP header names and values that the stand-ins and
// the entry VMs exchange (docs/design.md, section 4).
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

// Header values.
const (
	NotRun       = "not run"
	MayHaveRun   = "may have run"
	TypeJSON     = "application/json"
	BearerPrefix = "Bearer "
)
