package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/eventlog"
	"github.com/cassiawind/cassiawind/entry/gateway"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// gatewayGCPercent keeps the heap small, because peak memory is paid for.
// Collections are cheap, because the heap of a gateway has only a few
// megabytes.
const gatewayGCPercent = 50

// gatewayMemoryShare is the share of the process's memory from which on garbage is collected
// more often. The rest is for what the collector does not manage.
const gatewayMemoryShare = 0.7

func gatewayCommand() command {
	sub := newSubcommand("gateway", "steers requests on the users' platform until SIGTERM or SIGINT",
		adapter.SettingsVariable+"=/etc/cassiawind/local.json cassiawind gateway")
	var path, options string
	sub.String(&options, "", "options", "JSON file with the project's own options, read again at SIGHUP")
	sub.String(&path, "", "settings", "settings file of the platform; by default "+adapter.SettingsVariable)
	return command{sub, func() error {
		if path == "" {
			path = os.Getenv(adapter.SettingsVariable)
		}
		if path == "" {
			return errors.Wrap(ErrUsage, "--settings is missing")
		}
		settings, err := adapter.LoadSettings(path)
		if err != nil {
			return errors.Wrap(ErrUsage, err.Error())
		}
		return runGateway(path, options, settings)
	}}
}

func loadOptions(path string) (gateway.Options, error) {
	if path == "" {
		return gateway.DefaultOptions(), nil
	}
	return gateway.LoadOptions(path)
}

func runGateway(path, optionsPath string, settings adapter.Settings) error {
	options, err := loadOptions(optionsPath)
	if err != nil {
		return errors.Wrap(ErrUsage, err.Error())
	}
	debug.SetGCPercent(gatewayGCPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(gatewayMemoryShare * settings.MemoryMB * 1e6))
	}
	log, flush := eventlog.New(os.Stdout)
	defer flush()
	node := gateway.New(settings, log)
	node.SetOptions(options)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				close(stop)
				return
			}
			changed, err := adapter.LoadSettings(path)
			if err != nil {
				log.Info("reloading the settings failed; the previous ones stay in use", "error", err.Error())
				continue
			}
			node.Reload(changed)
			options, err := loadOptions(optionsPath)
			if err != nil {
				log.Info("reloading the options failed; the previous ones stay in use", "error", err.Error())
				continue
			}
			node.SetOptions(options)
		}
	}()
	return node.Run(context.Background(), stop)
}
