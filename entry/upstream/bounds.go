package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
)

const (
	// maxHeadBytes bounds the heads of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 32 << 20
	// maxBodyMemoryBytes bounds the long bodies that are being read, or were read and have not
	// been released, at the same time. The smallest VMs have four times as much memory.
	maxBodyMemoryBytes = 64 << 20
	// maxServerBodyMemoryBytes bounds those of one server, so that a server in trouble does not end
	// the requests to others.
	maxServerBodyMemoryBytes = 48 << 20
	// shortBodyReserveBytes is the memory that short bodies have in addition.
	shortBodyReserveBytes = 16 << 20
	// uncountedBodyBytes is the size up to which a body always gets its memory.
	uncountedBodyBytes = 16 << 10
)

// NewBodyMemory returns the memory for the bodies of responses. The pools of a process share one.
func NewBodyMemory() *bodies.Memory {
	return bodies.NewMemory(bodies.Limits{
		Total: maxBodyMemoryBytes + shortBodyReserveBytes, PerSource: maxServerBodyMemoryBytes + shortBodyReserveBytes,
		ShortReserve: shortBodyReserveBytes, Uncounted: uncountedBodyBytes,
	})
}

// unlimited is the limit of a headLimitReader while no head is being read.
const unlimited = 1 << 62

// errHeadTooLarge is the cause of ErrMalformed for a response whose heads exceed their bound.
var errHeadTooLarge = errors.New("response head too large")

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

// readBody reads the body of a response to a call. The reservation holds the memory of the returned
// body.
func (c *conn) readBody(r *http.Response) ([]byte, *bodies.Reservation, error) {
	reservation := c.memory.Reserve(c.serverID)
	if r.ContentLength == 0 || r.Request.Method == http.MethodHead {
		return nil, reservation, nil
	}
	body, err := bodies.Read(r.Body, r.ContentLength, maxResponseBytes, reservation)
	if err == nil {
		err = httpsyntax.CheckFields(r.Trailer)
	}
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	return body, reservation, nil
}
