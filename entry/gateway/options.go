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
var ErrOptions = errors.New("options cannot be used")

// Options are the project's own settings of a gateway, beside those of the
// platform. All are put in force by a reload.
type Options struct {
	Log LogOptions `json:"log"`
}

// LogOptions bound what is logged.
type LogOptions struct {
	// Verbose adds the lines that only help to find faults of the gateway, such
	// as each failed probe.
	Verbose bool `json:"verbose"`
	// SuccessSample is one in how many requests that were answered in time has
	// a line; 0 logs none. The id of a request decides, on all VMs alike.
	SuccessSample int `json:"success_sample"`
	// LinesPerSecond bounds the lines of one kind, by process.
	LinesPerSecond int `json:"lines_per_second"`
}

// defaultSuccessSample keeps the log of a busy VM below a hundred lines a
// second.
const defaultSuccessSample = 64

// DefaultOptions are in force without a file.
func DefaultOptions() Options {
	return Options{Log: LogOptions{SuccessSample: defaultSuccessSample, LinesPerSecond: eventlog.DefaultLinesPerSecond}}
}

// LoadOptions reads a JSON file. Fields that are not set keep their defaults; all
// faults are told at once.
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
	var faults []string
	if _, err := decoder.Token(); err != io.EOF {
		faults = append(faults, "text after the object")
	}
	if o.Log.SuccessSample < 0 {
		faults = append(faults, "field log.success_sample: below 0")
	}
	if o.Log.LinesPerSecond < 1 {
		faults = append(faults, "field log.lines_per_second: below 1")
	}
	if len(faults) > 0 {
		return Options{}, errors.Wrapf(ErrOptions, "%s: %s", path, strings.Join(faults, "; "))
	}
	return o, nil
}

// SetOptions puts options in force.
func (n *Node) SetOptions(o Options) {
	n.options.Store(&o)
	n.mu.Lock()
	n.lines.SetLimit(o.Log.LinesPerSecond)
	n.mu.Unlock()
	n.log.Info("options in force", "verbose", o.Log.Verbose, "successSample", o.Log.SuccessSample, "linesPerSecond", o.Log.LinesPerSecond)
}

// verbose logs a line that only helps to find faults of the gateway.
func (n *Node) verbose(message string, keysAndValues ...any) {
	if n.options.Load().Log.Verbose {
		n.log.Info(message, keysAndValues...)
	}
}
