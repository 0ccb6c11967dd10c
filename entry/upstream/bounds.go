package upstream

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	// maxHeadBytes bounds the heads of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
	// maxBodyMemoryBytes bounds the bodies that are being read, or were read and have not
	// been released, at the same time. The smallest VMs have three times as much memory.
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
	recorder  httpsyntax.HeadRecorder
}

// Read implements io.Reader.
func (h *headLimitReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	h.recorder.Record(p[:n])
	return n, err
}

// bodyMemory counts the bytes of the bodies that are being read or were not released.
type bodyMemory struct{ bytes atomic.Int64 }

// bodyReader reads one body and counts its bytes.
type bodyReader struct {
	r        io.Reader
	memory   *bodyMemory
	reserved int64
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.memory.bytes.Add(int64(n)) > maxBodyMemoryBytes {
		b.memory.bytes.Add(-int64(n))
		return 0, errBodyMemoryFull
	}
	b.reserved += int64(n)
	return n, err
}

// release ends the count of the body.
func (b *bodyReader) release() {
	b.memory.bytes.Add(-b.reserved)
	b.reserved = 0
}

// readBody reads the body of a response. The bytes of the returned body are counted until
// the reader is released.
func readBody(r *http.Response, memory *bodyMemory) ([]byte, *bodyReader, error) {
	reader := &bodyReader{r: r.Body, memory: memory}
	if r.ContentLength == 0 || r.Request.Method == http.MethodHead {
		return nil, reader, nil
	}
	if r.ContentLength > maxResponseBytes {
		return nil, reader, errResponseTooLarge
	}
	body, err := bodies.Read(io.LimitReader(reader, maxResponseBytes+1), r.ContentLength)
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err == nil {
		err = httpsyntax.CheckFields(r.Trailer)
	}
	if err != nil {
		reader.release()
	}
	return body, reader, err
}
