package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	pathLocate       = "/v1/locate"
	schemePrefix     = "http://"
	maxLocateBytes   = 1 << 20
	locateTimeout    = time.Second
	relocateInterval = 250 * time.Millisecond
)

// Located is the answer of GET /v1/locate.
type LocateResponse struct {
	Entries []LocatedEntry `json:"entries"`
	ValidMS int            `json:"valid_ms"`
}

// LocatedEntry is one entry VM, the best first.
type LocatedEntry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Reason  string `json:"reason"`
}

// locator keeps the entry VMs that a caller may use now.
type locator struct {
	transport http.RoundTripper
	seeds     []string

	mu         sync.Mutex
	entries    []string
	validUntil time.Time
	failedAt   time.Time
	failures   int
}

// addresses returns the entry VMs, the best first, and asks for them if the
// last answer is no longer valid.
func (l *locator) addresses(ctx context.Context) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.validUntil) {
		return l.entries
	}
	l.refresh(ctx)
	if len(l.entries) == 0 {
		return l.seeds
	}
	return l.entries
}

// refresh asks the entry VMs of the last answer, then those known from the
// start; l.mu is held.
func (l *locator) refresh(ctx context.Context) {
	for _, address := range slices.Concat(l.entries, l.seeds) {
		answer, err := l.ask(ctx, address)
		if err != nil || len(answer.Entries) == 0 {
			l.failures++
			continue
		}
		l.entries = l.entries[:0:0]
		for _, e := range answer.Entries {
			l.entries = append(l.entries, e.Address)
		}
		l.validUntil = time.Now().Add(milliseconds(answer.ValidMS))
		return
	}
}

func (l *locator) ask(ctx context.Context, address string) (LocateResponse, error) {
	var answer LocateResponse
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, schemePrefix+address+pathLocate, nil)
	if err != nil {
		return answer, err
	}
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, &statusError{status: resp.StatusCode}
	}
	return answer, json.NewDecoder(io.LimitReader(resp.Body, maxLocateBytes)).Decode(&answer)
}

// failed marks the answer as outdated after an entry VM failed.
func (l *locator) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.failedAt) >= relocateInterval {
		l.failedAt, l.validUntil = now, time.Time{}
	}
}
