package declare

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{"vm": "vm-1", "region": "a", "failure_domain": "a1",
	"caller_address": "127.0.0.1:8000", "peer_address": "127.0.0.1:8001", "operator_address": "127.0.0.1:8002",
	"table_url": "http://127.0.0.1:9000", "objects_url": "http://127.0.0.1:9001/o", "vm_list_url": "https://[::1]:9002"`

// Guards against wrong defaults, and against accepting an absent settings file or
// an absent TLS file.
func TestLoadSettingsSetsDefaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	_, err := LoadSettings(file)
	requireError(t, err, ErrUnreadable, "(file)")
	require.NoError(t, os.WriteFile(file, []byte(validSettings+"}"), 0o600))
	s, err := LoadSettings(file)
	require.NoError(t, err)
	require.EqualValues(t, 16<<20, s.MaxBodyBytes)
	require.Equal(t, 32<<10, s.MaxHeaderBytes)
	require.Equal(t, 5000, s.LookupValidityMS)
	require.Equal(t, 60000, s.StopTimeoutMS)
	tls := `, "tls_certificate_file": "absent.pem", "tls_key_file": "absent.key"}`
	require.NoError(t, os.WriteFile(file, []byte(validSettings+tls), 0o600))
	_, err = LoadSettings(file)
	requireError(t, err, ErrUnreadable, "tls_certificate_file")
}

// Guards against a process that starts with settings that cause a failure
// later, and against a stop timeout that would interrupt requests in flight.
func TestSettingsReject(t *testing.T) {
	cases := []struct {
		content, field string
		kind           error
	}{
		{validSettings + `, "x": 1}`, "x", ErrUnknownField},
		{validSettings + `} 1`, "(file)", ErrTrailingData},
		{validSettings + `, "max_body_bytes": 0}`, "max_body_bytes", ErrOutOfRange},
		{validSettings + `, "max_body_bytes": -1}`, "max_body_bytes", ErrOutOfRange},
		{validSettings + `, "max_header_bytes": 10}`, "max_header_bytes", ErrOutOfRange},
		{validSettings + `, "lookup_validity_ms": 10}`, "lookup_validity_ms", ErrOutOfRange},
		{validSettings + `, "stop_timeout_ms": 56999}`, "stop_timeout_ms", ErrOutOfRange},
		{validSettings + `, "tls_key_file": "x"}`, "tls_certificate_file", ErrContradiction},
		{`{}`, "vm", ErrMalformed},
		{`{"caller_address": "host:1"}`, "caller_address", ErrMalformed},
		{`{"caller_address": "[::1]:1", "peer_address": "[::1]:1"}`, "peer_address", ErrDuplicate},
		{`{"table_url": "http://table:1"}`, "table_url", ErrMalformed},
		{`{"vm_list_url": "ftp://127.0.0.1:1"}`, "vm_list_url", ErrMalformed},
	}
	for _, c := range cases {
		_, err := ParseSettings("settings.json", []byte(c.content))
		requireError(t, err, c.kind, c.field)
	}
	_, err := ParseSettings("settings.json", []byte(`{}`))
	require.Len(t, err, 9, "one run reports every error")
}
