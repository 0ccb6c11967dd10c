// Command standin runs the stand-ins for the systems around cassiawind: the
// platform, backend servers and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

const (
	name        = "standin"
	description = "stand-ins for the platform, backend servers and callers of cassiawind"
)

// exitFailure is the exit code of a failed command.
const exitFailure = 1

// command is a subcommand and the function that runs it.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(ctx context.Context) error
}

func main() {
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.DisableCompletion()
	commands := []command{newPlatform(), newBackend(), newLoad(), newDemoFiles(), newEvent(), newCall()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.subcommand, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.subcommand.Used {
			exitOnError(c.run(ctx))
			return
		}
	}
	flaggy.ShowHelpAndExit("")
}

func exitOnError(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailure)
}
