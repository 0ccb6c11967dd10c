package overhead

import (
	"context"
	"net"
	"strconv"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/gateway"
	"github.com/cassiawind/cassiawind/platform/adapter"
	"github.com/cassiawind/cassiawind/standin/platformstore"
)

// startGateway runs a gateway with a stand-in of the platform's store and waits
// until it is ready. It returns the callers' address.
func startGateway(ctx context.Context, backend string) (string, error) {
	store := platformstore.New()
	if err := store.FillSample(backend, key); err != nil {
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
	settings, err := adapter.ParseSettings(platformstore.SampleSettings(addresses[0], addresses[1], portOf(addresses[2]), portOf(addresses[3]), storeAddress))
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { close(stop) })
	go gateway.New(settings, logr.Discard()).Run(ctx, stop)
	return addresses[0], waitReady(ctx, addresses[1], adapter.PathReady)
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
