package overhead

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/gateway"
	"github.com/cassiawind/cassiawind/platform/adapter"
	"github.com/cassiawind/cassiawind/standin/platformstore"
)

// startGateway runs a gateway with a stand-in for the platform's store and waits
// until it is ready. It returns the address for callers.
func startGateway(ctx context.Context, backend string) (string, error) {
	store := platformstore.New()
	if err := store.WriteSample(backend, apiKey); err != nil {
		return "", err
	}
	storeAddress, err := startServer(ctx, store)
	if err != nil {
		return "", err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return "", err
	}
	settings, err := adapter.ParseSettings(platformstore.SampleSettings(addresses[0].String(), addresses[1].String(), addresses[2].Port, addresses[3].Port, storeAddress))
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { close(stop) })
	go gateway.New(settings, logr.Discard()).Run(ctx, stop)
	return addresses[0].String(), waitReady(ctx, addresses[1].String(), adapter.PathReady)
}

// freeAddresses returns loopback addresses with ports that are not in use.
func freeAddresses(n int) ([]*net.TCPAddr, error) {
	addresses := make([]*net.TCPAddr, n)
	for i := range addresses {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, errors.WithStack(err)
		}
		addresses[i] = l.Addr().(*net.TCPAddr)
		l.Close()
	}
	return addresses, nil
}
