package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/cassiawind/cassiawind/standin/backend"
	"github.com/cassiawind/cassiawind/standin/serve"
)

type backendFlags struct {
	config string
}

func newBackend() command {
	f := &backendFlags{}
	sub := flaggy.NewSubcommand("backend")
	sub.Description = "backend servers and their control end point"
	sub.String(&f.config, "c", "config", "JSON file with the backend servers")
	return command{subcommand: sub, run: f.run}
}

func (f *backendFlags) run(ctx context.Context) error {
	cfg, err := backend.LoadConfig(f.config)
	if err != nil {
		return err
	}
	return serve.ListenAndServe(ctx, backend.NewGroup(cfg).Servers())
}
