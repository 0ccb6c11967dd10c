package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func repeatedHash(digit string) string {
	text := ""
	for range 64 {
		text += digit
	}
	return text
}

// validFiles returns a small valid configuration in two files.
func validFiles() []File {
	return []File{
		{Name: "10-regions.json", Content: []byte(`{"regions": [
			{"name": "a", "failure_domains": ["a1", "a2"], "cap_per_second": 100, "cap_burst": 10, "delay_ms": {"b": 5}},
			{"name": "b", "failure_domains": ["b1"], "cap_per_second": 100, "cap_burst": 10, "ramp_per_second": 0.5}],
			"links": [{"from": "a", "to": "b", "limit_per_second": 100}],
			"client_blocks": [{"prefix": "10.0.0.0/8", "region": "a"},
				{"prefix": "10.1.0.0/16", "region": "a", "within": "10.0.0.0/8"}]}`)},
		{Name: "20-rest.json", Content: []byte(fmt.Sprintf(`{
			"accounts": [{"name": "acme", "rate_per_second": 5, "burst": 10}],
			"keys": [{"name": "acme-1", "account": "acme", "sha256": %q}],
			"services": [{"name": "desk", "backend_servers": [
				{"name": "desk-1", "address": "10.0.0.1:80", "region": "a", "failure_domain": "a1", "slots": 4, "connections": 40}]}],
			"routes": [{"name": "all", "path_prefix": "/", "service": "desk", "idempotent": true, "deadline_ms": 1000}],
			"drains": [{"name": "d", "region": "b"}]}`, repeatedHash("a")))},
	}
}

// requireError finds and returns the error of the given kind for the field.
func requireError(t *testing.T, err error, kind error, field string) *FieldError {
	t.Helper()
	var errs ValidationErrors
	require.True(t, errors.As(err, &errs), "%v", err)
	for _, e := range errs {
		if errors.Is(e, kind) && e.Field == field {
			require.NotEmpty(t, e.File)
			require.NotEmpty(t, e.Allowed)
			return e
		}
	}
	require.Fail(t, "no such error", "%v at %s in %v", kind, field, err)
	return nil
}

// Guards against a result that depends on the order in which files are passed,
// and against wrong defaults.
func TestParseMergesInNameOrderAndSetsDefaults(t *testing.T) {
	files := validFiles()
	files[0], files[1] = files[1], files[0]
	c, err := Parse(files)
	require.NoError(t, err)
	require.Equal(t, "a", c.Regions[0].Name)
	require.Equal(t, 0.05, c.Regions[0].RampPerSecond)
	require.Equal(t, 0.5, c.Regions[1].RampPerSecond)
	require.Equal(t, 1.0, c.Accounts[0].Weight)
}

// Guards against accepting a declaration that breaks a rule. Each case adds one
// file to a valid configuration.
func TestParseRejects(t *testing.T) {
	server := func(name, address, region, domain, numbers string) string {
		return fmt.Sprintf(`{"services": [{"name": "s2", "backend_servers": [{"name": %q, "address": %q, "region": %q, "failure_domain": %q, %s}]}]}`,
			name, address, region, domain, numbers)
	}
	const numbers = `"slots": 1, "connections": 1`
	route := func(extra string) string {
		return fmt.Sprintf(`{"routes": [{"name": "r2", "service": "desk", %s}]}`, extra)
	}
	cases := []struct {
		name, content, field string
		kind                 error
	}{
		{"unknown list", `{"account": []}`, "account", ErrUnknownField},
		{"unknown field", `{"accounts": [{"nme": 1}]}`, "accounts[0].nme", ErrUnknownField},
		{"other case", `{"accounts": [{"Name": "x"}]}`, "accounts[0].Name", ErrUnknownField},
		{"repeated field", `{"accounts": [{"name": "x", "name": "y"}]}`, "accounts[0].name", ErrRepeatedField},
		{"repeated map key", `{"regions": [{"delay_ms": {"a": 1, "a": 2}}]}`, "regions[0].delay_ms.a", ErrRepeatedField},
		{"wrong type", `{"accounts": [{"name": {"x": [1]}, "burst": "1"}]}`, "accounts[0].burst", ErrWrongType},
		{"null", `{"accounts": null}`, "accounts", ErrWrongType},
		{"fraction", `{"routes": [{"deadline_ms": 1.5}]}`, "routes[0].deadline_ms", ErrWrongType},
		{"too large a number", `{"accounts": [{"burst": 1e999}]}`, "accounts[0].burst", ErrOutOfRange},
		{"zero weight", `{"accounts": [{"name": "x", "weight": 0}]}`, "accounts[0].weight", ErrOutOfRange},
		{"trailing data", `{} {}`, "(file)", ErrTrailingData},
		{"cut off", `{"accounts": [{"name": "x"`, "accounts[0]", ErrSyntax},
		{"not an object", `[]`, "(file)", ErrWrongType},
		{"empty file", ``, "(file)", ErrSyntax},
		{"account twice", `{"accounts": [{"name": "acme", "rate_per_second": 1, "burst": 1}]}`, "accounts[0].name", ErrDuplicate},
		{"account name", `{"accounts": [{"name": "a/b", "rate_per_second": 1, "burst": 1}]}`, "accounts[0].name", ErrMalformed},
		{"rate", `{"accounts": [{"name": "x", "rate_per_second": -1, "burst": 1}]}`, "accounts[0].rate_per_second", ErrOutOfRange},
		{"burst", `{"accounts": [{"name": "x", "rate_per_second": 1, "burst": 0.5}]}`, "accounts[0].burst", ErrOutOfRange},
		{"key account", `{"keys": [{"name": "k", "account": "x", "sha256": "` + repeatedHash("b") + `"}]}`, "keys[0].account", ErrUndeclared},
		{"hash digits", `{"keys": [{"name": "k", "account": "acme", "sha256": "` + repeatedHash("G") + `"}]}`, "keys[0].sha256", ErrMalformed},
		{"equal hash", `{"accounts": [{"name": "x", "rate_per_second": 1, "burst": 1}], "keys": [{"name": "k", "account": "x", "sha256": "` + repeatedHash("a") + `"}]}`, "keys[0].sha256", ErrDuplicate},
		{"region without domain", `{"regions": [{"name": "c", "failure_domains": [], "cap_per_second": 1, "cap_burst": 1}]}`, "regions[0].failure_domains", ErrMissing},
		{"domain of two regions", `{"regions": [{"name": "c", "failure_domains": ["a1"], "cap_per_second": 1, "cap_burst": 1}]}`, "regions[0].failure_domains[0]", ErrDuplicate},
		{"delay region", `{"regions": [{"name": "c", "failure_domains": ["c1"], "delay_ms": {"c": 1}}]}`, "regions[0].delay_ms.c", ErrUndeclared},
		{"unreachable cap", `{"regions": [{"name": "c", "failure_domains": ["c1"], "cap_per_second": 11, "cap_burst": 1}], "links": [{"from": "a", "to": "c", "limit_per_second": 10}]}`, "regions[0].cap_per_second", ErrUnreachable},
		{"link twice", `{"links": [{"from": "a", "to": "b", "limit_per_second": 1}]}`, "links[0]", ErrDuplicate},
		{"link to itself", `{"links": [{"from": "a", "to": "a", "limit_per_second": 1}]}`, "links[0].to", ErrContradiction},
		{"link region", `{"links": [{"from": "x", "to": "a", "limit_per_second": 1}]}`, "links[0].from", ErrUndeclared},
		{"block twice", `{"client_blocks": [{"prefix": "10.0.0.0/8", "region": "a"}]}`, "client_blocks[0].prefix", ErrDuplicate},
		{"block overlaps", `{"client_blocks": [{"prefix": "10.2.0.0/16", "region": "a"}]}`, "client_blocks[0].prefix", ErrOverlap},
		{"block encloses", `{"client_blocks": [{"prefix": "10.1.2.0/24", "region": "a", "within": "10.0.0.0/8"}]}`, "client_blocks[0].within", ErrOverlap},
		{"block within nothing", `{"client_blocks": [{"prefix": "11.0.0.0/8", "region": "a", "within": "10.0.0.0/7"}]}`, "client_blocks[0].within", ErrUndeclared},
		{"block host bits", `{"client_blocks": [{"prefix": "11.0.0.1/8", "region": "a"}]}`, "client_blocks[0].prefix", ErrMalformed},
		{"block mapped", `{"client_blocks": [{"prefix": "::ffff:1.0.0.0/104", "region": "a"}]}`, "client_blocks[0].prefix", ErrMalformed},
		{"block region", `{"client_blocks": [{"prefix": "11.0.0.0/8", "region": "x"}]}`, "client_blocks[0].region", ErrUndeclared},
		{"server name", server("desk-1", "10.0.0.2:80", "a", "a1", numbers), "services[0].backend_servers[0].name", ErrDuplicate},
		{"server address twice", server("s", "10.0.0.1:80", "a", "a1", numbers), "services[0].backend_servers[0].address", ErrDuplicate},
		{"server host name", server("s", "localhost:80", "a", "a1", numbers), "services[0].backend_servers[0].address", ErrMalformed},
		{"server port", server("s", "10.0.0.2:0", "a", "a1", numbers), "services[0].backend_servers[0].address", ErrMalformed},
		{"server region", server("s", "10.0.0.2:80", "x", "a1", numbers), "services[0].backend_servers[0].region", ErrUndeclared},
		{"domain of other region", server("s", "10.0.0.2:80", "a", "b1", numbers), "services[0].backend_servers[0].failure_domain", ErrUndeclared},
		{"slots", server("s", "10.0.0.2:80", "a", "a1", `"slots": 0, "connections": 1`), "services[0].backend_servers[0].slots", ErrOutOfRange},
		{"connections", server("s", "10.0.0.2:80", "a", "a1", `"slots": 1, "connections": -1`), "services[0].backend_servers[0].connections", ErrOutOfRange},
		{"service without servers", `{"services": [{"name": "s2", "backend_servers": []}]}`, "services[0].backend_servers", ErrMissing},
		{"route service", `{"routes": [{"name": "r2", "path_prefix": "/x", "service": "x", "deadline_ms": 1}]}`, "routes[0].service", ErrUndeclared},
		{"relative path", route(`"path_prefix": "x", "deadline_ms": 1`), "routes[0].path_prefix", ErrMalformed},
		{"path with dots", route(`"path_prefix": "/a/../b", "deadline_ms": 1`), "routes[0].path_prefix", ErrMalformed},
		{"reserved path", route(`"path_prefix": "/v1/locate", "deadline_ms": 1`), "routes[0].path_prefix", ErrContradiction},
		{"route twice", route(`"path_prefix": "/", "deadline_ms": 1`), "routes[0].path_prefix", ErrDuplicate},
		{"method", route(`"path_prefix": "/x", "methods": ["get"], "deadline_ms": 1`), "routes[0].methods[0]", ErrMalformed},
		{"method twice", route(`"path_prefix": "/x", "methods": ["GET", "GET"], "deadline_ms": 1`), "routes[0].methods[1]", ErrMalformed},
		{"deadline", route(`"path_prefix": "/x", "deadline_ms": 40001`), "routes[0].deadline_ms", ErrOutOfRange},
		{"open booking", route(`"path_prefix": "/x", "open": true, "deadline_ms": 1`), "routes[0].idempotent", ErrContradiction},
		{"drain of two", `{"drains": [{"name": "x", "region": "a", "failure_domain": "a1"}]}`, "drains[0]", ErrContradiction},
		{"drain of nothing", `{"drains": [{"name": "x"}]}`, "drains[0]", ErrContradiction},
		{"drain server", `{"drains": [{"name": "x", "backend_server": "x"}]}`, "drains[0].backend_server", ErrUndeclared},
		{"drain domain", `{"drains": [{"name": "x", "failure_domain": "x"}]}`, "drains[0].failure_domain", ErrUndeclared},
		{"drain region", `{"drains": [{"name": "x", "region": "x"}]}`, "drains[0].region", ErrUndeclared},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config, err := Parse(append(validFiles(), File{Name: "90-case.json", Content: []byte(c.content)}))
			require.Nil(t, config)
			require.Equal(t, "90-case.json", requireError(t, err, c.kind, c.field).File)
		})
	}
}

// Guards against stopping at the first error, which would force an operator to
// run the check once for each error.
func TestParseReturnsEveryError(t *testing.T) {
	_, err := Parse([]File{
		{Name: "a.json", Content: []byte(`{"accounts": [{"name": "x", "rate_per_second": 0, "burst": 0}]}`)},
		{Name: "b.json", Content: []byte(`{"accounts": [{"name": "x", "rate_per_second": 1, "burst": 1}], "drains": [{"name": ""}]}`)},
	})
	requireError(t, err, ErrOutOfRange, "accounts[0].rate_per_second")
	requireError(t, err, ErrOutOfRange, "accounts[0].burst")
	require.Equal(t, "b.json", requireError(t, err, ErrDuplicate, "accounts[0].name").File)
	requireError(t, err, ErrMalformed, "drains[0].name")
	requireError(t, err, ErrContradiction, "drains[0]")
	_, err = Parse([]File{
		{Name: "a.json", Content: []byte(`{"x": 1, "accounts": [{"burst": true, "y": [{}]}]}`)},
		{Name: "b.json", Content: []byte(`{"links": {}}`)},
	})
	require.Len(t, err, 4)
}

// Guards against printing a key that was pasted by mistake in an error message.
func TestKeyIsNotShown(t *testing.T) {
	const secret = "pasted-secret-key"
	_, err := Parse([]File{{Name: "a.json", Content: []byte(`{"keys": [{"name": "k", "account": "a", "sha256": "` + secret + `"}]}`)}})
	require.Error(t, err)
	require.NotContains(t, err.Error(), secret)
}

// Guards against an empty or absent folder that is accepted, and against reading
// files that are not declarations.
func TestLoadFolder(t *testing.T) {
	dir := t.TempDir()
	_, err := LoadFolder(dir)
	requireError(t, err, ErrMissing, "(file)")
	_, err = LoadFolder(filepath.Join(dir, "absent"))
	requireError(t, err, ErrUnreadable, "(file)")
	for _, f := range validFiles() {
		require.NoError(t, os.WriteFile(filepath.Join(dir, f.Name), f.Content, 0o600))
	}
	require.NoError(t, os.WriteFile(filepath.Join(dir, "README.md"), []byte("text"), 0o600))
	folder, err := LoadFolder(dir)
	require.NoError(t, err)
	require.Len(t, folder.Files, 2)
}

// Guards against example folders that fail the checks or do not have the sizes
// of docs/design.md, section 1.
func TestExamples(t *testing.T) {
	sizes := map[string]struct {
		servers     map[string][2]int
		connections int
		delay       float64
	}{
		"kapeng-tagpuan": {map[string][2]int{"lotdesk": {16, 8}, "bookhouse": {12, 6}, "growerlink": {12, 4}}, 360, 55},
		"frameshare":     {map[string][2]int{"calendar": {18, 6}, "rigdesk": {12, 5}, "stagehall": {12, 3}}, 390, 12},
	}
	for name, want := range sizes {
		folder, err := LoadFolder(filepath.Join("..", "examples", name))
		require.NoError(t, err)
		c := folder.Config
		require.Len(t, c.Accounts, 8)
		require.Len(t, c.Links, 6)
		for _, r := range c.Regions {
			require.Len(t, r.FailureDomains, 2)
			for _, delay := range r.DelayMS {
				require.Equal(t, want.delay, delay)
			}
		}
		require.Len(t, c.Services, len(want.servers))
		for _, s := range c.Services {
			require.Len(t, s.BackendServers, want.servers[s.Name][0])
			for _, b := range s.BackendServers {
				require.Equal(t, want.servers[s.Name][1], b.Slots)
				require.Equal(t, want.connections, b.Connections)
			}
		}
	}
}

// Guards against changes that are missing or described wrongly, and against
// differences between equal configurations.
func TestDiff(t *testing.T) {
	old, err := Parse(validFiles())
	require.NoError(t, err)
	files := append(validFiles(), File{Name: "30.json", Content: []byte(`{"drains": [{"name": "e", "backend_server": "desk-1"}]}`)})
	next, err := Parse(files)
	require.NoError(t, err)
	next.Accounts[0].Burst = 20
	next.Keys[0].SHA256 = repeatedHash("c")
	next.Blocks = next.Blocks[:1]
	next.Services[0].Name = "office"
	require.Equal(t, []string{
		"account acme: burst changed from 10 to 20",
		"key acme-1: sha256 changed",
		"service desk removed",
		"service office added",
		"backend server desk-1: service changed from desk to office",
		"client block 10.1.0.0/16 removed",
		"drain e added",
	}, Diff(old, next))
	require.Empty(t, Diff(old, old))
	require.NotEmpty(t, Diff(nil, old))
}
