package admission

import (
	"time"
)

// Class is the class of a request. Each class has a guaranteed share of the
// slots.
type Class uint8

// Classes of Request.
const (
	// Lookup is an idempotent request.
	Lookup Class = iota
	// Booking is a request that runs at most once.
	Booking
	numClasses
)

// Config configures a Scheduler. Zero fields take the defaults.
type Config struct {
	Service string
	// Slots is the initial number of slots; SetSlots changes it.
	Slots int
	// MinLookupShare and MinBookingShare are the guaranteed minimum shares of
	// the slots; default 0.3 each, at most 1 together. Each class may use what
	// the other one leaves.
	MinLookupShare, MinBookingShare float64
	// MaxQueuedPerAccount bounds the queued requests of one account; default
	// 256.
	MaxQueuedPerAccount int
	// MaxQueuedTotal bounds the queued requests of all accounts together;
	// default 1024.
	MaxQueuedTotal int
	// MaxWait bounds the expected wait of a queued request even if its deadline
	// is later; default 500 ms. Under lasting overload, a longer queue raises
	// the latency of all requests without serving more of them.
	MaxWait time.Duration
	// InitialServiceTime is the expected time in a slot until requests have been
	// measured; default 20 ms.
	InitialServiceTime time.Duration
}

// Request is a request that asks for a slot.
type Request struct {
	// ID is unique among the requests of the scheduler.
	ID      uint64
	Account string
	// Weight is the account's relative share under overload; default 1.
	Weight float64
	Class  Class
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Cost is the work of the request relative to other requests; default 1.
	Cost float64
}

// Verdict is the result of an Offer.
type Verdict uint8

// Verdicts of Decision.
const (
	// Admitted means that the request holds a slot until Release.
	Admitted Verdict = iota
	// Queued means that the request waits until it is returned as admitted or
	// expired, or is withdrawn by Cancel.
	Queued
	// Rejected means that the request does not run.
	Rejected
)

// Reason tells why a request does not run.
type Reason string

// Reasons of Decision and Expired.
const (
	NoReason Reason = ""
	// ReasonDeadlinePassed means that the deadline had passed on arrival.
	ReasonDeadlinePassed Reason = "deadline passed"
	// ReasonWaitExceedsDeadline means that the expected wait exceeds the
	// remaining time.
	ReasonWaitExceedsDeadline Reason = "expected wait exceeds the deadline"
	// ReasonWaitExceedsMax means that the expected wait exceeds Config.MaxWait.
	ReasonWaitExceedsMax Reason = "expected wait exceeds the bound of the queue"
	// ReasonAccountQueueFull means that the account has
	// Config.MaxQueuedPerAccount requests queued.
	ReasonAccountQueueFull Reason = "queue of the account is full"
	// ReasonQueuesFull means that Config.MaxQueuedTotal requests are queued and
	// that the account has the longest queue relative to its weight.
	ReasonQueuesFull Reason = "queues of the service are full"
)

// Expired is a request that was removed from its queue without being run. Its
// caller must get a rejection at once.
type Expired struct {
	ID      uint64
	Account string
	Reason  Reason
	// RetryAfter is the time until the account's queue is expected to be empty.
	RetryAfter time.Duration
}

// Decision is the result of an Offer.
type Decision struct {
	Verdict Verdict
	// Reason and RetryAfter are set if the request was rejected.
	Reason     Reason
	RetryAfter time.Duration
	// ExpectedWait is set if the request was queued.
	ExpectedWait time.Duration
	// Displaced is a queued request of another account that was removed to make
	// room; nil if there is none.
	Displaced *Expired
}
