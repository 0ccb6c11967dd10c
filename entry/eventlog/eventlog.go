// Package eventlog writes log lines as JSON without ever blocking the caller.
package eventlog

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// maxPendingBytes bounds the log lines that wait to be written while the reader
// of the log is slow.
const maxPendingBytes = 1 << 20

// writer passes lines to a goroutine that writes them. Lines that do not fit
// into the buffer are dropped and counted.
type writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a logger that writes to out, and a function that flushes and
// stops it.
func New(out io.Writer) (logr.Logger, func()) {
	w := &writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	log := funcr.NewJSON(w.add, funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano})
	return log, w.close
}

func (w *writer) add(line string) {
	w.mu.Lock()
	if len(w.pending)+len(line) >= maxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return
	}
	w.pending = append(append(w.pending, line...), '\n')
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// flushInterval is how long lines are collected for one write.
const flushInterval = 100 * time.Millisecond

func (w *writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines, dropped, closed := w.pending, w.dropped, w.closed
		w.pending, w.dropped = spare[:0], 0
		w.mu.Unlock()
		if dropped > 0 {
			lines = appendDropped(lines, dropped)
		}
		// If the log cannot be written, the error cannot be reported either.
		_, _ = w.out.Write(lines)
		spare = lines
		if closed {
			return
		}
	}
}

func appendDropped(lines []byte, n int) []byte {
	raw, err := json.Marshal(struct {
		Message string `json:"msg"`
		Count   int    `json:"count"`
	}{"log lines dropped", n})
	if err != nil {
		return lines
	}
	return append(append(lines, raw...), '\n')
}

func (w *writer) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}
