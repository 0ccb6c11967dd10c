package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// logInterval is the interval at which one class of rejection is logged.
const logInterval = 10 * time.Second

// RejectionLog writes one line per rejection class and interval, with the
// number of rejections that it stands for.
type RejectionLog struct {
	log logr.Logger

	mu      sync.Mutex
	classes map[string]*rejectionClass
}

type rejectionClass struct {
	count    int
	nextLine time.Time
}

// NewRejectionLog returns a RejectionLog that writes to log.
func NewRejectionLog(log logr.Logger) *RejectionLog {
	return &RejectionLog{log: log, classes: map[string]*rejectionClass{}}
}

// Add counts a rejection. It writes a line for the rejection's code unless one was
// written within logInterval.
func (l *RejectionLog) Add(now time.Time, account, code, requestID string) {
	l.mu.Lock()
	c := l.classes[code]
	if c == nil {
		c = &rejectionClass{}
		l.classes[code] = c
	}
	c.count++
	due := !now.Before(c.nextLine)
	count := c.count
	if due {
		c.count = 0
		c.nextLine = now.Add(logInterval)
	}
	l.mu.Unlock()
	if due {
		l.log.Info("requests rejected", "code", code, "count", count,
			"last_account", account, "last_request_id", requestID)
	}
}
