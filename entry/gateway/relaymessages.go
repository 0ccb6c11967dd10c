package gateway

// Headers between a VM and its relay. A relay listens on a port of its own, so that VMs
// of earlier versions refuse the connection and the request is known not to have run.
const (
	relayRequestHeader  = "Cassiawind-Relay"
	relayResponseHeader = "Cassiawind-Relay-Result"
)

// relayRequest is what the relay has to know of a request in addition to its content. The
// VM that the caller uses has checked the key and the account's rate.
type relayRequest struct {
	Service    string `json:"service"`
	Route      string `json:"route"`
	Account    string `json:"account,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Object     uint64 `json:"object,omitempty"`
	Priority   int    `json:"priority"`
	// ObjectiveMS is the latency that the caller expects.
	ObjectiveMS int64 `json:"objective"`
	// MaxAttempts is the number of attempts that the route allows, and Attempts that of
	// those that may have reached a server already, Tried.
	MaxAttempts int      `json:"maxAttempts"`
	Attempts    int      `json:"attempts,omitempty"`
	Tried       []string `json:"tried,omitempty"`
	// Regions are those that may serve the request; empty if all may.
	Regions []string `json:"regions,omitempty"`
}

// relayRefusal says why a relay did not run a request.
type relayRefusal string

const (
	// refusedWithoutLinks and refusedBusy concern the relay, refusedNoServer the service,
	// and refusedRequest the request, so that other relays would refuse it as well.
	refusedWithoutLinks relayRefusal = "without links"
	refusedBusy         relayRefusal = "busy"
	refusedNoServer     relayRefusal = "no server"
	refusedRequest      relayRefusal = "request"
)

// relayResult is what a relay states about its response.
type relayResult struct {
	// Refusal is set if the request was not run and never will be; Reason and RetryAfterMS
	// are those of the rejection.
	Refusal      relayRefusal `json:"refusal,omitempty"`
	Reason       string       `json:"reason,omitempty"`
	RetryAfterMS int64        `json:"retryAfter,omitempty"`
	// Attempts are the attempts that may have reached a server, those before included.
	Attempts int `json:"attempts,omitempty"`
	// Server is the server of the newest attempt. The response is its own unless Failed is
	// set.
	Server string `json:"server,omitempty"`
	Failed bool   `json:"failed,omitempty"`
}
