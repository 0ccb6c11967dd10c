package upstream

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	// maxHeadBytes bounds the heads of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
	// maxBodyMemoryBytes bounds the bodies that are being read at the same time. The
	// smallest VMs have three times as much memory.
	maxBodyMemoryBytes = 64 << 20
)

// unlimited is the limit of a headLimitReader while no head is being read.
const unlimited = 1 << 62

// Causes of ErrMalformed for responses that exceed a bound.
var errHeadTooLarge = errors.New("response head too large")
var errResponseTooLarge = errors.New("response too large")
var errBodyMemoryFull = errors.New("too many response bodies in memory")

// headLimitReader bounds the bytes that are read for the heads of a response.
type headLimitReader struct {
	r         io.Reader
	remaining int
}

// Read implements io.Reader.
func (h *headLimitReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// bodyMemory counts the bytes of the bodies that are being read.
type bodyMemory struct{ bytes atomic.Int64 }

// bodyReader reads one body and counts its bytes.
type bodyReader struct {
	r        io.Reader
	memory   *bodyMemory
	reserved int64
}

// reserve counts bytes in advance.
func (b *bodyReader) reserve(n int64) error {
	if b.memory.bytes.Add(n) > maxBodyMemoryBytes {
		b.memory.bytes.Add(-n)
		return errBodyMemoryFull
	}
	b.reserved += n
	return nil
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if reserveErr := b.reserve(int64(n)); reserveErr != nil {
		return 0, reserveErr
	}
	return n, err
}

// release ends the count of the body.
func (b *bodyReader) release() { b.memory.bytes.Add(-b.reserved) }

// readBody reads the body of a response.
func readBody(r *http.Response, memory *bodyMemory) ([]byte, error) {
	if r.ContentLength == 0 || r.Request.Method == http.MethodHead {
		return nil, nil
	}
	if r.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	reader := &bodyReader{r: r.Body, memory: memory}
	defer reader.release()
	body, err := bodies.Read(io.LimitReader(reader, maxResponseBytes+1), r.ContentLength)
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return body, err
}
