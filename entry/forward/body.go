package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	// maxReplayTotalBytes bounds the memory of all kept bodies of a process.
	maxReplayTotalBytes = 32 << 20
	// maxBookingBytes bounds the body of a booking with an Idempotency-Key,
	// which is read whole for its fingerprint.
	maxBookingBytes = 256 << 10
)

// replayBudget is the memory in use for kept request bodies.
type replayBudget struct {
	used atomic.Int64
}

func (b *replayBudget) reserve(n int64) bool {
	if b.used.Add(n) > maxReplayTotalBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *replayBudget) free(n int64) { b.used.Add(-n) }

// requestBody gives each attempt a body. Use newRequestBody and close.
type requestBody struct {
	stream  *countingReader
	kept    []byte
	isKept  bool
	length  int64
	budget  *replayBudget
	reserve int64
}

// newRequestBody keeps a small body whole if keep is set and memory allows.
func newRequestBody(c *call, keep bool, limit int64, budget *replayBudget) (*requestBody, *problem.Rejection) {
	b := &requestBody{length: c.r.ContentLength, budget: budget}
	if c.r.ContentLength > limit {
		return nil, tooLarge()
	}
	if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		b.isKept = true
		return b, nil
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, limit)
	if !keep || c.r.ContentLength < 0 || c.r.ContentLength > maxBookingBytes || !budget.reserve(c.r.ContentLength) {
		b.stream = &countingReader{r: limited}
		return b, nil
	}
	b.reserve = c.r.ContentLength
	kept, err := io.ReadAll(limited)
	if err != nil {
		b.close()
		return nil, readFailed(err)
	}
	b.kept, b.isKept = kept, true
	return b, nil
}

func tooLarge() *problem.Rejection {
	return problem.New(problem.CodeBodyTooLarge, http.StatusRequestEntityTooLarge, "the request body is too large")
}

func readFailed(err error) *problem.Rejection {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return tooLarge()
	}
	return problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the request body was not received whole")
}

func (b *requestBody) close() {
	b.budget.free(b.reserve)
	b.reserve = 0
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return b.isKept || b.stream.n.Load() == 0 }

// tooLongErr returns the rejection for a stream that passed its bound.
func (b *requestBody) tooLong() bool {
	return b.stream != nil && b.stream.tooLong.Load()
}

// reader returns the body for one attempt. It hides the concrete type, so that
// net/http does not repeat the request by itself.
func (b *requestBody) reader() io.ReadCloser {
	if b.isKept {
		return io.NopCloser(onlyReader{bytes.NewReader(b.kept)})
	}
	return io.NopCloser(b.stream)
}

type onlyReader struct{ io.Reader }

type countingReader struct {
	r       io.Reader
	n       atomic.Int64
	tooLong atomic.Bool
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.n.Add(int64(n))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		r.tooLong.Store(true)
	}
	return n, err
}
