// Package load generates the load of callers. Each client locates the entry VMs
// and sends lookups and bookings at a fixed rate, whether or not earlier requests
// have been answered. The report contains what each client got and whether the
// promises of the system to callers were kept.
package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Errors of an invalid Config.
var (
	ErrNoEntries     = errors.New("load configuration has no entry VM")
	ErrInvalidClient = errors.New("client needs a rate and paths for its requests")
)

// Default values of a Config.
const (
	defaultDuration       = 30 * time.Second
	defaultMaxRequests    = 100_000
	defaultMaxInFlight    = 512
	defaultTimeout        = 2 * time.Second
	defaultBookingTimeout = 12 * time.Second
	defaultRetryInterval  = 500 * time.Millisecond
)

// Config is the content of a load configuration file.
type Config struct {
	// Seed is the seed of the arrival times and of the choice between lookups and
	// bookings.
	Seed uint64 `json:"seed"`
	// DurationMS is the time in which requests are started; default 30000.
	DurationMS int `json:"duration_ms"`
	// MaxRequests bounds the requests of all clients together; default 100000.
	MaxRequests int `json:"max_requests"`
	// MaxInFlight bounds the requests in flight of a client; default 512. Requests
	// beyond it are not sent and are counted as dropped.
	MaxInFlight int `json:"max_in_flight"`
	// TimeoutMS bounds an attempt and is sent to the entry VM; default 2000.
	TimeoutMS int `json:"timeout_ms"`
	// BookingTimeoutMS bounds the time in which a booking is retried; default
	// 12000.
	BookingTimeoutMS int `json:"booking_patience_ms"`
	// RetryIntervalMS is the time between attempts of a booking whose outcome is
	// unknown, unless the entry VM requests another; default 500.
	RetryIntervalMS int `json:"repeat_wait_ms"`
	// Entries are the addresses ("ip:port") of the entry VMs that callers know at
	// the start.
	Entries []string `json:"entries"`
	// BackendControl is the URL of the control endpoint of the backend stand-in.
	BackendControl string `json:"backend_control"`
	// EventsFile is the file with the Events of the run, one JSON object a line.
	EventsFile string `json:"events_file"`
	// ReportFile is the file to which the Report is written as JSON.
	ReportFile string         `json:"report_file"`
	Accounts   []Account      `json:"accounts"`
	Clients    []ClientConfig `json:"clients"`
}

// Account holds the limits of a client account as declared at the start of the run.
type Account struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
}

// ClientConfig describes one caller.
type ClientConfig struct {
	Name    string `json:"name"`
	Account string `json:"account"`
	Key     string `json:"key"`
	// SourceAddress is the IP address from which the client connects; by default
	// the system chooses it.
	SourceAddress string `json:"source"`
	// RatePerSecond is the rate at which the client starts requests.
	RatePerSecond float64 `json:"rate_per_second"`
	// BookingShare is the share of requests that are bookings, from 0 to 1.
	BookingShare float64 `json:"booking_share"`
	// Lookups and Bookings are the paths of the requests, used round-robin.
	Lookups  []string `json:"lookups"`
	Bookings []string `json:"bookings"`
	// EntryCount is the number of entry VMs that the client uses round-robin;
	// default 1.
	EntryCount int `json:"spread"`
	// StartMS is when the client starts, in milliseconds from the start of the run.
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
	setDefault(&c.BookingTimeoutMS, int(defaultBookingTimeout.Milliseconds()))
	setDefault(&c.RetryIntervalMS, int(defaultRetryInterval.Milliseconds()))
	return c
}

func (c Config) validate() error {
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
