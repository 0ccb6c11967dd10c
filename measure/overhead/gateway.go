package overhead

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/gateway"
	"github.com/cassiawind/cassiawind/platform/adapter"
	"github.com/cassiawind/cassiawind/standin/platformstore"
)

// serverID is the name of the backend server at the platform's store.
const serverID = "b1"

// settingsFormat is a settings file of the platform; the bounds are those of the
// users' deployments.
const settingsFormat = `{
 "self": {"node_name": "vm1", "ip": "127.0.0.1", "zone": "d1", "region": "r1", "limits": {"cpu_share": 1, "cores": 2, "link_mbps": 1000}},
 "network": {"listen": {"front": %q, "ready": %q}, "internal_ports": [%d, %d], "zones": {"d1": "r1"}},
 "platform": {"platform": {"address": %q}},
 "terms": {"bounds": {"grace_period": "6s", "retry_budget_ratio": 0.2, "retry_budget_slack": 60, "budget_window": "10s",
  "quota_tolerance": 0.1, "quota_slack": 20, "max_region_shift": 0.15, "ttl_max": "5s"}}}`

// startGateway runs a gateway with a stand-in of the platform's store and waits
// until it is ready. It returns the callers' address.
func startGateway(ctx context.Context, backend string) (string, error) {
	store := platformstore.New()
	if err := fillStore(store, backend); err != nil {
		return "", err
	}
	storeAddress, err := listen(ctx, store)
	if err != nil {
		return "", err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return "", err
	}
	settings, err := adapter.ParseSettings(fmt.Appendf(nil, settingsFormat, addresses[0], addresses[1], portOf(addresses[2]), portOf(addresses[3]), storeAddress))
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { close(stop) })
	go gateway.New(settings, logr.Discard()).Run(ctx, stop)
	return addresses[0], waitReady(ctx, addresses[1], adapter.PathReady)
}

func fillStore(store *platformstore.Store, backend string) error {
	if err := store.Put(adapter.TableOperator, "config", map[string]any{
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
	return store.Put(adapter.TableServers, serverID, map[string]any{
		"service": "lotdesk", "address": backend, "zone": "d1", "slots": 1000, "state": "ready", "born": 1,
	})
}

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		addresses[i] = l.Addr().String()
		l.Close()
	}
	return addresses, nil
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n
}
