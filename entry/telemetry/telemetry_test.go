package telemetry

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
)

// Guards against account names with dots that are counted under another name,
// and against a list that does not start with the worst-served account.
func TestAccounts(t *testing.T) {
	m := New(time.Time{})
	m.RecordResponse("acme.manila", "lookup", 20*time.Millisecond)
	m.RecordResponse("other", "lookup", 10*time.Millisecond)
	m.RecordRejection("acme.manila", "rate_exceeded")
	accounts := m.Accounts()
	assert.Equal(t, "acme.manila", accounts[0].Name)
	assert.Equal(t, 0.5, accounts[0].Served)
	assert.InDelta(t, 20, accounts[0].P99MS, 0.1)
}

// Guards against metrics that the Prometheus library rejects.
func TestPrometheus(t *testing.T) {
	m := New(time.Time{})
	m.RecordResponse("acme.manila", "lookup", 20*time.Millisecond)
	m.Gauge(0.5, "headroom", "luzon")
	w := httptest.NewRecorder()
	m.Prometheus().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, _ := io.ReadAll(w.Body)
	assert.Equal(t, 200, w.Code)
	assert.Contains(t, string(body), `cassiawind_answered{key="acme.manila"} 1`)
	assert.Contains(t, string(body), `cassiawind_headroom{key="luzon"} 0.5`)
}

// Guards against a log line for each of many rejected requests.
func TestRejectionLog(t *testing.T) {
	lines := 0
	l := NewRejectionLog(funcr.New(func(string, string) { lines++ }, funcr.Options{}))
	now := time.Unix(0, 0)
	for i := range 1000 {
		l.Add(now.Add(time.Duration(i)*time.Millisecond), "acme", "rate_exceeded", "id")
	}
	assert.Equal(t, 1, lines)
	l.Add(now.Add(logInterval), "acme", "rate_exceeded", "id")
	assert.Equal(t, 2, lines)
}
