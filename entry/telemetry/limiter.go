package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// logInterval is the time in which one class of rejection is logged once.
const logInterval = 10 * time.Second

// RejectionLog writes one line per rejection class and interval, with the
// number of rejections that the line stands for.
type RejectionLog struct {
	log logr.Logger

	mu      sync.Mutex
	classes map[string]*class
}

type class struct {
	count int
	next  time.Time
}

// NewRejectionLog returns a RejectionLog that writes to log.
func NewRejectionLog(log logr.Logger) *RejectionLog {
	return &RejectionLog{log: log, classes: map[string]*class{}}
}

// Add records a rejection and logs it if the class is due.
func (l *RejectionLog) Add(now time.Time, account, code, requestID string) {
	l.mu.Lock()
	c := l.classes[code]
	if c == nil {
		c = &class{}
		l.classes[code] = c
	}
	c.count++
	due := !now.Before(c.next)
	count := c.count
	if due {
		c.count = 0
		c.next = now.Add(logInterval)
	}
	l.mu.Unlock()
	if due {
		l.log.Info("requests rejected", "code", code, "count", count,
			"last_account", account, "last_request_id", requestID)
	}
}
