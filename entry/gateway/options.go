package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/eventlog"
)

// ErrOptions means that a file of options cannot be used.
var ErrOptions = errors.New("invalid options file")

// Options are the project's own settings of a gateway, in addition to those of
// the platform. All of them take effect on a reload.
type Options struct {
	Log      LogOptions      `json:"log"`
	Upstream UpstreamOptions `json:"upstream"`
}

// UpstreamOptions control the connections to backend servers.
type UpstreamOptions struct {
	// BindSource makes new connections come from the VM's own address. Without it, the
	// operating system chooses one of those that a VM has.
	BindSource bool `json:"bind_source"`
}

// LogOptions control what is logged.
type LogOptions struct {
	// Verbose adds lines that only help to find faults of the gateway, such as
	// one for each failed probe.
	Verbose bool `json:"verbose"`
	// SuccessSample is n if one in n of the requests that were answered in time
	// is logged; 0 logs none. The id of a request decides, so that all VMs log
	// the same ones.
	SuccessSample int `json:"success_sample"`
	// LinesPerSecond bounds the lines of one kind that a process logs in a
	// second.
	LinesPerSecond int `json:"lines_per_second"`
}

// defaultSuccessSample keeps the log of a busy VM below a hundred lines a
// second.
const defaultSuccessSample = 64

// DefaultOptions returns the options that apply without a file.
func DefaultOptions() Options {
	return Options{Log: LogOptions{SuccessSample: defaultSuccessSample, LinesPerSecond: eventlog.DefaultLinesPerSecond}}
}

// LoadOptions reads options from a JSON file. Fields that are not set keep
// their defaults. The error names all problems of the file.
func LoadOptions(path string) (Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Options{}, errors.Wrap(ErrOptions, err.Error())
	}
	o := DefaultOptions()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return Options{}, errors.Wrapf(ErrOptions, "%s: %v", path, err)
	}
	var problems []string
	if _, err := decoder.Token(); err != io.EOF {
		problems = append(problems, "text after the JSON object")
	}
	if o.Log.SuccessSample < 0 {
		problems = append(problems, "field log.success_sample: must not be below 0")
	}
	if o.Log.LinesPerSecond < 1 {
		problems = append(problems, "field log.lines_per_second: must not be below 1")
	}
	if len(problems) > 0 {
		return Options{}, errors.Wrapf(ErrOptions, "%s: %s", path, strings.Join(problems, "; "))
	}
	return o, nil
}

// SetOptions applies options.
func (n *Node) SetOptions(o Options) {
	n.options.Store(&o)
	n.mu.Lock()
	n.logLimiter.SetLimit(o.Log.LinesPerSecond)
	n.mu.Unlock()
	n.log.Info("options in force", "verbose", o.Log.Verbose, "successSample", o.Log.SuccessSample, "linesPerSecond", o.Log.LinesPerSecond,
		"bindSource", o.Upstream.BindSource)
}

// logVerbose logs a line that only helps to find faults of the gateway, if such
// lines are enabled.
func (n *Node) logVerbose(message string, keysAndValues ...any) {
	if n.options.Load().Log.Verbose {
		n.log.Info(message, keysAndValues...)
	}
}
