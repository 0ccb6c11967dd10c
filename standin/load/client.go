package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/standin/headers"
)

const (
	// maxAttemptsPerEntry is multiplied by the number of known entry VMs to get the
	// maximum number of attempts of a request that certainly did not run.
	maxAttemptsPerEntry = 2
	// maxRetryInterval bounds the retry delay that an entry VM can request.
	maxRetryInterval = 2 * time.Second
)

// Codes of rejections that are due to the entry VM and not to the request, so that
// another entry VM may admit it.
const (
	codeNotReady = "entry_not_ready"
	codeStopping = "entry_stopping"
)

const (
	lookupTargetFormat = "%s?lookup=%s-%d"
	// Booking ids contain the seed, because the records of earlier runs stay in
	// the table.
	bookingIDFormat = "%s-%d-%d"
)

// record is one finished request.
type record struct {
	client  int // index of the client
	booking string
	// scheduledAt is when the request was due. Latency counts from here.
	scheduledAt time.Time
	lastAttempt attemptResult
	// outcomeUnknown is set if the client gave up without learning whether the
	// booking ran.
	outcomeUnknown bool
	// mayHaveRun is set if the booking may have run in an attempt.
	mayHaveRun bool
	attempts   int
	// brokenConns are the broken connections of all attempts.
	brokenConns []brokenConn
}

// brokenConn is a connection that broke after a part of the request was sent.
type brokenConn struct {
	entry string
	at    time.Time
}

// client is one caller.
type client struct {
	cfg          Config
	index        int
	clientConfig ClientConfig
	rng          *rand.Rand
	transport    *http.Transport
	locator      *locator
	remaining    *atomic.Int64 // requests that all clients may still start

	inFlight  atomic.Int64
	nextEntry atomic.Uint64 // round-robin position in the list of entry VMs
	dropped   int
	records   chan<- record
}

// run starts requests at the client's rate, whether or not earlier ones have been
// answered, until the duration of the run is over.
func (c *client) run(ctx context.Context, start time.Time) {
	var requests sync.WaitGroup
	interval := float64(time.Second) / c.clientConfig.RatePerSecond
	first := milliseconds(c.clientConfig.StartMS)
	for i := 0; ; i++ {
		at := first + time.Duration((float64(i)+c.rng.Float64())*interval)
		spec := c.newRequest(i)
		if at >= milliseconds(c.cfg.DurationMS) || !sleepUntil(ctx, start.Add(at)) || c.remaining.Add(-1) < 0 {
			break
		}
		if c.inFlight.Load() >= int64(c.cfg.MaxInFlight) {
			c.dropped++
			continue
		}
		c.inFlight.Add(1)
		requests.Go(func() {
			defer c.inFlight.Add(-1)
			c.records <- c.send(ctx, start.Add(at), spec)
		})
	}
	requests.Wait()
	c.transport.CloseIdleConnections()
}

// newRequest returns the i-th request, which is a booking with the probability of
// the client's BookingShare.
func (c *client) newRequest(i int) requestSpec {
	if c.rng.Float64() < c.clientConfig.BookingShare {
		return requestSpec{target: c.clientConfig.Bookings[i%len(c.clientConfig.Bookings)],
			booking: fmt.Sprintf(bookingIDFormat, c.clientConfig.Name, c.cfg.Seed, i)}
	}
	return requestSpec{target: fmt.Sprintf(lookupTargetFormat, c.clientConfig.Lookups[i%len(c.clientConfig.Lookups)], c.clientConfig.Name, i)}
}

// send sends a request, with retries, until its outcome is final or its deadline
// has passed.
func (c *client) send(ctx context.Context, scheduledAt time.Time, spec requestSpec) record {
	rec := record{client: c.index, booking: spec.booking, scheduledAt: scheduledAt}
	deadline := scheduledAt.Add(c.cfg.timeout())
	if spec.booking != "" {
		deadline = scheduledAt.Add(milliseconds(c.cfg.BookingTimeoutMS))
	}
	position := c.nextEntry.Add(1)
	for n := 0; ; n++ {
		delay, retry := c.tryOnce(ctx, &rec, spec, position+uint64(n))
		if !retry || time.Now().Add(delay).After(deadline) || !sleep(ctx, delay) {
			rec.outcomeUnknown = rec.mayHaveRun && rec.lastAttempt.outcome != answered
			return rec
		}
	}
}

// tryOnce makes one attempt. It returns whether to retry and after which delay.
func (c *client) tryOnce(ctx context.Context, rec *record, spec requestSpec, position uint64) (time.Duration, bool) {
	entries := c.locator.addresses(ctx)
	entryCount := min(max(1, c.clientConfig.EntryCount), len(entries))
	entry := entries[position%uint64(entryCount)]
	if rec.attempts > 0 {
		entry = entries[position%uint64(len(entries))]
	}
	r := c.attempt(ctx, entry, spec)
	rec.lastAttempt = r
	rec.attempts++
	for range r.brokenConns {
		rec.brokenConns = append(rec.brokenConns, brokenConn{entry: entry, at: r.ended})
	}
	switch r.outcome {
	case answered, mismatched:
		return 0, false
	case rejected:
		return c.afterRejection(rec, spec, r)
	case notSent, connBroken:
		c.locator.invalidate()
	}
	if spec.booking != "" && r.outcome != notSent {
		rec.mayHaveRun = true
	}
	if rec.mayHaveRun {
		return milliseconds(c.cfg.RetryIntervalMS), true
	}
	return 0, r.outcome != timedOut && rec.attempts < maxAttemptsPerEntry*len(entries)
}

// afterRejection decides whether to retry a rejected request. A booking that may
// have run in this or an earlier attempt is retried until its outcome is known.
func (c *client) afterRejection(rec *record, spec requestSpec, r attemptResult) (time.Duration, bool) {
	if r.executionStatus != headers.NotRun {
		rec.mayHaveRun = rec.mayHaveRun || spec.booking != ""
	}
	if rec.mayHaveRun {
		delay := milliseconds(c.cfg.RetryIntervalMS)
		if r.retryAfter > 0 {
			delay = min(r.retryAfter, maxRetryInterval)
		}
		return delay, true
	}
	if r.code == codeNotReady || r.code == codeStopping {
		c.locator.invalidate()
		return 0, rec.attempts < len(c.locator.initialEntries)
	}
	return 0, false
}

func sleepUntil(ctx context.Context, at time.Time) bool { return sleep(ctx, time.Until(at)) }

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
