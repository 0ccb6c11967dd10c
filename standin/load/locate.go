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
	pathLocate     = "/v1/locate"
	schemePrefix   = "http://"
	maxLocateBytes = 1 << 20
	locateTimeout  = time.Second
	// minRelocateInterval is the minimum time between two invalidations of the
	// located entry VMs.
	minRelocateInterval = 250 * time.Millisecond
)

// LocateResponse is the body of the response to GET /v1/locate.
type LocateResponse struct {
	// Entries are the entry VMs to use, the best first.
	Entries []LocatedEntry `json:"entries"`
	// ValidMS is the validity of the response in milliseconds.
	ValidMS int `json:"valid_ms"`
}

// LocatedEntry is one entry VM of a LocateResponse.
type LocatedEntry struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Reason  string `json:"reason"`
}

// locator caches the entry VMs that a client may use.
type locator struct {
	transport      http.RoundTripper
	initialEntries []string

	mu             sync.Mutex
	entries        []string
	validUntil     time.Time
	invalidatedAt  time.Time
	failedRequests int
}

// addresses returns the addresses of the entry VMs, the best first. It locates them
// anew if the last response is no longer valid.
func (l *locator) addresses(ctx context.Context) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.validUntil) {
		return l.entries
	}
	l.refresh(ctx)
	if len(l.entries) == 0 {
		return l.initialEntries
	}
	return l.entries
}

// refresh asks the entry VMs of the last response, then the initial ones, until one
// returns entry VMs. The caller holds l.mu.
func (l *locator) refresh(ctx context.Context) {
	for _, address := range slices.Concat(l.entries, l.initialEntries) {
		response, err := l.locate(ctx, address)
		if err != nil || len(response.Entries) == 0 {
			l.failedRequests++
			continue
		}
		l.entries = l.entries[:0:0]
		for _, e := range response.Entries {
			l.entries = append(l.entries, e.Address)
		}
		l.validUntil = time.Now().Add(milliseconds(response.ValidMS))
		return
	}
}

func (l *locator) locate(ctx context.Context, address string) (LocateResponse, error) {
	var response LocateResponse
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, schemePrefix+address+pathLocate, nil)
	if err != nil {
		return response, err
	}
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response, &statusError{status: resp.StatusCode}
	}
	return response, json.NewDecoder(io.LimitReader(resp.Body, maxLocateBytes)).Decode(&response)
}

// invalidate ends the validity of the last response after an entry VM failed, but
// not twice within minRelocateInterval.
func (l *locator) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.invalidatedAt) >= minRelocateInterval {
		l.invalidatedAt, l.validUntil = now, time.Time{}
	}
}
