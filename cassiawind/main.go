// Command cassiawind is the traffic steering system. It runs the gateway and
// entry processes of the VMs and contains the operators' commands.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// version is the version of the build. The linker sets it.
var version = "unknown"

// Exit codes, see docs/OPERATIONS.md.
const (
	exitOK             = 0
	exitInvalid        = 1
	exitUsage          = 2
	exitUnavailable    = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5
	exitFailed         = 6
)

// command is a subcommand with the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

func main() {
	os.Exit(run())
}

func run() int {
	parser := flaggy.NewParser("cassiawind")
	parser.Description = "global traffic steering"
	parser.Version = version
	commands := []command{
		gatewayCommand(), traceCommand(), entryCommand(), checkCommand(), publishCommand(), statusCommand(),
		explainCommand(), locateCommand(), versionCommand(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return reportError(c.run())
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// reportError prints an error and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "cassiawind:", err)
	var invalid declare.ValidationErrors
	switch {
	case errors.As(err, &invalid), errors.Is(err, adapter.ErrInvalidSettings):
		return exitInvalid
	case errors.Is(err, ErrUsage):
		return exitUsage
	case errors.Is(err, platform.ErrUnavailable):
		return exitUnavailable
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	default:
		return exitFailed
	}
}

// ErrUsage means that arguments are missing or cannot be combined.
var ErrUsage = errors.New("wrong usage, see --help")

func newSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\nExample:\n  " + example
	return sub
}

func versionCommand() command {
	sub := newSubcommand("version", "prints the version of the build", "cassiawind version")
	return command{sub, func() error {
		fmt.Println(version)
		return nil
	}}
}

func checkCommand() command {
	sub := newSubcommand("check", "validates a folder of declarations or a settings file of the platform",
		"cassiawind check examples/frameshare\n  cassiawind check --platform /etc/cassiawind/local.json")
	var dir, platformFile string
	sub.AddPositionalValue(&dir, "DIR", 1, false, "folder with the declarations")
	sub.String(&platformFile, "", "platform", "settings file of the users' platform")
	return command{sub, func() error {
		switch {
		case platformFile != "":
			return checkPlatform(platformFile)
		case dir == "":
			return errors.Wrap(ErrUsage, "DIR or --platform is missing")
		default:
			return checkFolder(dir)
		}
	}}
}

func checkPlatform(path string) error {
	s, err := adapter.LoadSettings(path)
	if err != nil {
		return err
	}
	fmt.Printf("%s: ok: VM %s in %s, %s; store %s\n", path, s.VM, s.FailureDomain, s.Region, s.StoreAddress)
	return nil
}

func checkFolder(dir string) error {
	folder, err := declare.LoadFolder(dir)
	if err != nil {
		return err
	}
	c := folder.Config
	fmt.Printf("%s: ok: %d files, %d client accounts, %d keys, %d services, %d routes, %d regions, %d client blocks, %d drains\n",
		dir, len(folder.Files), len(c.Accounts), len(c.Keys), len(c.Services), len(c.Routes), len(c.Regions), len(c.Blocks), len(c.Drains))
	return nil
}
