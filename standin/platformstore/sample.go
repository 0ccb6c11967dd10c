package platformstore

import (
	"fmt"
	"net/http"
)

// SampleServer is the id of the backend server of WriteSample.
const SampleServer = "b1"

// settingsFormat is the format of the platform's settings file of a VM. The bounds
// are those of the users' deployments.
const settingsFormat = `{
 "self": {"node_name": "vm1", "ip": "127.0.0.1", "zone": "d1", "region": "r1", "limits": {"cpu_share": 1, "cores": 2, "link_mbps": 1000}},
 "network": {"listen": {"front": %q, "ready": %q}, "internal_ports": [%d, %d], "zones": {"d1": "r1"}},
 "platform": {"platform": {"address": %q}},
 "terms": {"bounds": {"grace_period": "6s", "retry_budget_ratio": 0.2, "retry_budget_slack": 60, "budget_window": "10s",
  "quota_tolerance": 0.1, "quota_slack": 20, "max_region_shift": 0.15, "ttl_max": "5s"}}}`

// SampleSettings returns the settings file of a VM that serves the configuration of
// WriteSample.
func SampleSettings(front, ready string, firstPort, lastPort int, store string) []byte {
	return fmt.Appendf(nil, settingsFormat, front, ready, firstPort, lastPort, store)
}

// SetSampleRequestHeaders sets the attempt id that a caller sends.
func SetSampleRequestHeaders(h http.Header) { h.Set("X-Attempt-Id", "attempt-1") }

// SetSampleResponseHeaders sets the headers of a response of SampleServer.
func SetSampleResponseHeaders(h http.Header, r *http.Request) {
	h.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	h.Set("X-Instance-Id", SampleServer)
}

// WriteSample writes a configuration with one route, "/lots/" on host 127.0.0.1,
// and one client account, which has a key and limits above any load, and the
// registration of one backend server.
func (s *Store) WriteSample(backend, key string) error {
	if err := s.Put("op", "config", map[string]any{
		"version": "01",
		"routes": map[string]any{"lots": map[string]any{
			"host": "127.0.0.1", "prefix": "/lots/", "kind": "safe", "timeout": "5s", "target_latency": "400ms", "service": "lotdesk", "max_attempts": 2,
		}},
		"services": map[string]any{"lotdesk": map[string]any{"health_path": "/health", "max_conns": 1000}},
		"limits":   map[string]any{"max_header_bytes": 32 << 10, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
		"tenants":  map[string]any{"acme": map[string]any{"api_keys": []string{key}, "rate_per_s": 1e6, "burst": 1e6}},
	}); err != nil {
		return err
	}
	return s.Put("servers", SampleServer, map[string]any{
		"service": "lotdesk", "address": backend, "zone": "d1", "slots": 1000, "state": "ready", "born": 1,
	})
}
