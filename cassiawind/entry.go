package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/server"
)

// memoryLimitBytes is the memory limit of the Go runtime. It makes the garbage
// collector run more often before the process reaches its budget of 256 MB.
const memoryLimitBytes = 208 << 20

func entryCommand() command {
	sub := newSubcommand("entry", "runs the entry process of a VM until SIGTERM or SIGINT",
		"cassiawind entry --settings /etc/cassiawind/entry.json")
	var path string
	sub.String(&path, "", "settings", "file with the settings of the process")
	return command{sub, func() error {
		if path == "" {
			return errors.Wrap(ErrUsage, "--settings is missing")
		}
		settings, err := declare.LoadSettings(path)
		if err != nil {
			return err
		}
		return runEntry(settings)
	}}
}

func runEntry(settings declare.Settings) error {
	debug.SetMemoryLimit(memoryLimitBytes)
	log, err := newLogger()
	if err != nil {
		return err
	}
	platform, err := server.DialPlatform(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return server.New(ctx, settings, platform, version, log).Run(ctx, stop)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger() (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	z, err := config.Build()
	if err != nil {
		return logr.Logger{}, errors.WithStack(err)
	}
	return zapr.NewLogger(z), nil
}
