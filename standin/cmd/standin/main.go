// Command standin runs the stand-ins of the systems around cassiawind: the
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

// command is one subcommand.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	flaggy.SetName(name)
	flaggy.SetDescription(description)
	flaggy.DisableCompletion()
	commands := []command{newPlatform(), newBackend(), newLoad(), newDemoFiles(), newEvent(), newCall()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.sub.Used {
			exit(c.run(ctx))
			return
		}
	}
	flaggy.ShowHelpAndExit("")
}

func exit(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailure)
}
