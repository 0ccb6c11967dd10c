// Package load plays callers: client accounts that ask where the entry VMs are
// and send lookups and bookings at fixed rates. It reports what each got and
// whether the promises of the system that callers can see were kept.
package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Config.
var (
	ErrNoEntries     = errors.New("no entry VM is given")
	ErrInvalidClient = errors.New("client needs a rate and paths for its requests")
)

// Defaults of a Config.
const (
	defaultDuration        = 30 * time.Second
	defaultMaxRequests     = 100_000
	defaultMaxInFlight     = 512
	defaultTimeout         = 2 * time.Second
	defaultBookingPatience = 12 * time.Second
	defaultRepeatWait      = 500 * time.Millisecond
)

// Config is the content of a load configuration file.
type Config struct {
	// Seed of arrival times and request kinds.
	Seed uint64 `json:"seed"`
	// DurationMS bounds the time in which requests are begun; default 30000.
	DurationMS int `json:"duration_ms"`
	// MaxRequests bounds the requests of all clients; default 100000.
	MaxRequests int `json:"max_requests"`
	// MaxInFlight bounds the requests in flight of a client; default 512. A
	// request beyond it is not sent and counted as dropped.
	MaxInFlight int `json:"max_in_flight"`
	// TimeoutMS bounds an attempt and is sent as the deadline; default 2000.
	TimeoutMS int `json:"timeout_ms"`
	// BookingTimeoutMS bounds the repeats of a booking; default 12000.
	BookingTimeoutMS int `json:"booking_patience_ms"`
	// RetryIntervalMS is the time between repeats of a booking whose outcome is
	// unknown, unless the entry VM named another; default 500.
	RetryIntervalMS int `json:"repeat_wait_ms"`
	// Entries are the caller addresses ("ip:port") known from the start.
	Entries []string `json:"entries"`
	// BackendControl is the URL of the backend stand-in's control end point.
	BackendControl string `json:"backend_control"`
	// EventsFile holds the Events of the run, one JSON object a line.
	EventsFile string `json:"events_file"`
	// ReportFile gets the Report as JSON.
	ReportFile string         `json:"report_file"`
	Accounts   []Account      `json:"accounts"`
	Clients    []ClientConfig `json:"clients"`
}

// Account is a client account as declared at the start of the run.
type Account struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// ClientConfig is one caller.
type ClientConfig struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	Key     string `json:"key"`
	// Source is the address from which it connects; default the system's.
	SourceAddress string `json:"source"`
	// RatePerSecond is the rate at which it begins requests.
	RatePerSecond float64 `json:"rate_per_second"`
	// BookingShare is the part of its requests that are bookings.
	BookingShare float64 `json:"booking_share"`
	// Lookups and Bookings are the paths that it uses in turn.
	Lookups  []string `json:"lookups"`
	Bookings []string `json:"bookings"`
	// Spread is the number of entry VMs that it uses in turn; default 1.
	EntryCount int `json:"spread"`
	// StartMS is when it begins.
	StartMS int `json:"start_ms"`
}

// LoadConfig reads a configuration file.
func LoadConfig(file string) (Config, error) {
	var c Config
	content, err := os.ReadFile(file)
	if err != nil {
		return c, err
	}
	err = json.Unmarshal(content, &c)
	return c.withDefaults(), err
}

func (c Config) withDefaults() Config {
	setDefault(&c.DurationMS, int(defaultDuration.Milliseconds()))
	setDefault(&c.MaxRequests, defaultMaxRequests)
	setDefault(&c.MaxInFlight, defaultMaxInFlight)
	setDefault(&c.TimeoutMS, int(defaultTimeout.Milliseconds()))
	setDefault(&c.BookingTimeoutMS, int(defaultBookingPatience.Milliseconds()))
	setDefault(&c.RetryIntervalMS, int(defaultRepeatWait.Milliseconds()))
	return c
}

func (c Config) check() error {
	if len(c.Entries) == 0 {
		return ErrNoEntries
	}
	for _, client := range c.Clients {
		noPath := client.BookingShare > 0 && len(client.Bookings) == 0 || client.BookingShare < 1 && len(client.Lookups) == 0
		if client.RatePerSecond <= 0 || noPath {
			return errors.WithMessage(ErrInvalidClient, client.Name)
		}
	}
	return nil
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

func (c Config) timeout() time.Duration { return milliseconds(c.TimeoutMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
