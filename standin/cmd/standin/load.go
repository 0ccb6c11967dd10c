package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/standin/load"
)

// ErrPromiseBroken means that a check of the run's report failed.
var ErrPromiseBroken = errors.New("a promise was broken")

type loadFlags struct {
	config string
}

func newLoad() command {
	f := &loadFlags{}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "callers; exits non-zero if a promise was broken"
	sub.String(&f.config, "c", "config", "JSON file with the callers")
	return command{subcommand: sub, run: f.run}
}

func (f *loadFlags) run(ctx context.Context) error {
	cfg, err := load.LoadConfig(f.config)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if cfg.ReportFile != "" {
		if err := report.Save(cfg.ReportFile); err != nil {
			return err
		}
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if report.BrokenPromises() > 0 {
		return ErrPromiseBroken
	}
	return nil
}
