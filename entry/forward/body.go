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
	// maxBufferedBodiesBytes bounds the memory of all buffered request bodies
	// in the process.
	maxBufferedBodiesBytes = 32 << 20
	// maxBookingBodyBytes bounds the body of a booking with an Idempotency-Key,
	// which is read completely to compute its fingerprint. A larger body of an
	// idempotent request is streamed instead of buffered.
	maxBookingBodyBytes = 256 << 10
)

// bodyBudget limits the memory in use for buffered request bodies.
type bodyBudget struct {
	used atomic.Int64
}

func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) > maxBufferedBodiesBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// requestBody provides the body for each attempt. Create it with newRequestBody
// and close it after the last attempt.
type requestBody struct {
	stream        *countingReader
	buffered      []byte
	isBuffered    bool
	contentLength int64
	budget        *bodyBudget
	reservedBytes int64
}

// newRequestBody buffers a small body if buffer is set and the memory budget
// allows it. All other bodies are streamed.
func newRequestBody(c *call, buffer bool, limit int64, budget *bodyBudget) (*requestBody, *problem.Rejection) {
	b := &requestBody{contentLength: c.r.ContentLength, budget: budget}
	if c.r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	if c.r.Body == nil || c.r.Body == http.NoBody || c.r.ContentLength == 0 {
		b.isBuffered = true
		return b, nil
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, limit)
	if !buffer || c.r.ContentLength < 0 || c.r.ContentLength > maxBookingBodyBytes || !budget.reserve(c.r.ContentLength) {
		b.stream = &countingReader{r: limited}
		return b, nil
	}
	b.reservedBytes = c.r.ContentLength
	content, err := io.ReadAll(limited)
	if err != nil {
		b.close()
		return nil, bodyReadFailed(err)
	}
	b.buffered, b.isBuffered = content, true
	return b, nil
}

func bodyTooLarge() *problem.Rejection {
	return problem.New(problem.CodeBodyTooLarge, http.StatusRequestEntityTooLarge, "the request body is too large")
}

func bodyReadFailed(err error) *problem.Rejection {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return problem.New(problem.CodePathMalformed, http.StatusBadRequest, "the request body was not received whole")
}

func (b *requestBody) close() {
	b.budget.release(b.reservedBytes)
	b.reservedBytes = 0
}

// replayable reports whether another attempt can send the complete body.
func (b *requestBody) replayable() bool { return b.isBuffered || b.stream.bytesRead.Load() == 0 }

// limitExceeded reports whether a streamed body was longer than its limit.
func (b *requestBody) limitExceeded() bool {
	return b.stream != nil && b.stream.limitExceeded.Load()
}

// newReader returns the body for one attempt. It hides the concrete type, so
// that net/http does not retry the request by itself.
func (b *requestBody) newReader() io.ReadCloser {
	if b.isBuffered {
		return io.NopCloser(plainReader{bytes.NewReader(b.buffered)})
	}
	return io.NopCloser(b.stream)
}

type plainReader struct{ io.Reader }

type countingReader struct {
	r             io.Reader
	bytesRead     atomic.Int64
	limitExceeded atomic.Bool
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.bytesRead.Add(int64(n))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r.limitExceeded.Store(true)
	}
	return n, err
}
