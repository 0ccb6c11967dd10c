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
	// attemptsPerEntry bounds the attempts of a request that surely did not
	// run, over the number of known entry VMs.
	attemptsPerEntry = 2
	// repeatWaitLimit bounds the wait that an entry VM can ask for.
	repeatWaitLimit = 2 * time.Second
)

// Codes of rejections that concern the entry VM and not the request; the next
// entry VM may admit it.
const (
	codeNotReady = "entry_not_ready"
	codeStopping = "entry_stopping"
)

const (
	lookupFormat = "%s?lookup=%s-%d"
	// Booking ids contain the seed: the records of an earlier run stay in the
	// table.
	bookingFormat = "%s-%d-%d"
)

// record is one finished request.
type record struct {
	client  int
	booking string
	begun   time.Time
	// last is the last attempt. Latency counts from begun.
	last result
	// unknown is set if the outcome of a booking stayed unknown.
	unknown bool
	// mayHaveRun is set if an attempt may have run the booking.
	mayHaveRun bool
	attempts   int
	// cuts are the broken connections of all attempts.
	cuts []cut
}

// cut is a connection that broke after a part of the request was sent.
type cut struct {
	entry string
	at    time.Time
}

// client is one caller.
type client struct {
	cfg       Config
	index     int
	client    ClientConfig
	rnd       *rand.Rand
	transport *http.Transport
	locator   *locator
	left      *atomic.Int64 // requests that all clients may still begin

	inFlight atomic.Int64
	turn     atomic.Uint64
	dropped  int
	done     chan<- record
}

// run begins requests at the client's rate, whether or not earlier ones have
// been answered, until the duration is over.
func (c *client) run(ctx context.Context, start time.Time) {
	var requests sync.WaitGroup
	interval := float64(time.Second) / c.client.RatePerSecond
	first := milliseconds(c.client.StartMS)
	for i := 0; ; i++ {
		at := first + time.Duration((float64(i)+c.rnd.Float64())*interval)
		q := c.next(i)
		if at >= milliseconds(c.cfg.DurationMS) || !sleepUntil(ctx, start.Add(at)) || c.left.Add(-1) < 0 {
			break
		}
		if c.inFlight.Load() >= int64(c.cfg.MaxInFlight) {
			c.dropped++
			continue
		}
		c.inFlight.Add(1)
		requests.Go(func() {
			defer c.inFlight.Add(-1)
			c.done <- c.do(ctx, start.Add(at), q)
		})
	}
	requests.Wait()
	c.transport.CloseIdleConnections()
}

// next draws the kind of the i-th request.
func (c *client) next(i int) request {
	if c.rnd.Float64() < c.client.BookingShare {
		return request{target: c.client.Bookings[i%len(c.client.Bookings)],
			booking: fmt.Sprintf(bookingFormat, c.client.Name, c.cfg.Seed, i)}
	}
	return request{target: fmt.Sprintf(lookupFormat, c.client.Lookups[i%len(c.client.Lookups)], c.client.Name, i)}
}

// do sends a request until its outcome is final.
func (c *client) do(ctx context.Context, begun time.Time, q request) record {
	rec := record{client: c.index, booking: q.booking, begun: begun}
	giveUp := begun.Add(c.cfg.timeout())
	if q.booking != "" {
		giveUp = begun.Add(milliseconds(c.cfg.BookingTimeoutMS))
	}
	turn := c.turn.Add(1)
	for n := 0; ; n++ {
		wait, again := c.try(ctx, &rec, q, turn+uint64(n))
		if !again || time.Now().Add(wait).After(giveUp) || !sleep(ctx, wait) {
			rec.unknown = rec.mayHaveRun && rec.last.outcome != answered
			return rec
		}
	}
}

// try makes one attempt and reports whether to make another after a wait.
func (c *client) try(ctx context.Context, rec *record, q request, turn uint64) (time.Duration, bool) {
	entries := c.locator.addresses(ctx)
	spread := min(max(1, c.client.EntryCount), len(entries))
	entry := entries[turn%uint64(spread)]
	if rec.attempts > 0 {
		entry = entries[turn%uint64(len(entries))]
	}
	r := c.attempt(ctx, entry, q)
	rec.last = r
	rec.attempts++
	for range r.cuts {
		rec.cuts = append(rec.cuts, cut{entry: entry, at: r.ended})
	}
	switch r.outcome {
	case answered, wrong:
		return 0, false
	case refused:
		return c.afterRefusal(rec, q, r)
	case notSent, broken:
		c.locator.failed()
	}
	if q.booking != "" && r.outcome != notSent {
		rec.mayHaveRun = true
	}
	if rec.mayHaveRun {
		return milliseconds(c.cfg.RetryIntervalMS), true
	}
	return 0, r.outcome != timedOut && rec.attempts < attemptsPerEntry*len(entries)
}

// afterRefusal decides on a complete rejection. A booking that an earlier
// attempt may have run is repeated until its outcome is known.
func (c *client) afterRefusal(rec *record, q request, r result) (time.Duration, bool) {
	if r.run != headers.NotRun {
		rec.mayHaveRun = rec.mayHaveRun || q.booking != ""
	}
	if rec.mayHaveRun {
		wait := milliseconds(c.cfg.RetryIntervalMS)
		if r.retryAfter > 0 {
			wait = min(r.retryAfter, repeatWaitLimit)
		}
		return wait, true
	}
	if r.code == codeNotReady || r.code == codeStopping {
		c.locator.failed()
		return 0, rec.attempts < len(c.locator.seeds)
	}
	return 0, false
}

func sleepUntil(ctx context.Context, at time.Time) bool { return sleep(ctx, time.Until(at)) }

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
