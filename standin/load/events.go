package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"time"
)

// Kinds of events.
const (
	// EventPlannedStop means that the VM was told to stop.
	EventPlannedStop = "planned_stop"
	// EventKeyWithdrawn means that the key of the client was withdrawn.
	EventKeyWithdrawn = "key_withdrawn"
	// EventDrain means that the backend server was declared as drained.
	EventDrain = "drain"
	// EventBackendLeaving means that the backend server began to report that it is
	// leaving.
	EventBackendLeaving = "backend_leaving"
	// EventRate means that the rate and burst of the account were changed.
	EventRate = "rate"
)

const (
	// configPropagationBound is the time in which a configuration must be in
	// effect.
	configPropagationBound = 5 * time.Second
	// leavingPropagationBound is the time after which a leaving backend server must
	// get no requests.
	leavingPropagationBound = 3 * time.Second
)

// Event is an action on the system during the run, for the checks of the report.
type Event struct {
	Event string `json:"event"`
	// UnixMS and EndUnixMS are when the action began and ended, in milliseconds of
	// Unix time.
	UnixMS    int64 `json:"unix_ms"`
	EndUnixMS int64 `json:"end_unix_ms"`
	// Entry is the address of the entry VM for callers.
	Entry         string  `json:"entry,omitempty"`
	Client        string  `json:"client,omitempty"`
	Server        string  `json:"server,omitempty"`
	Account       string  `json:"account,omitempty"`
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

func (e Event) begin() time.Time { return time.UnixMilli(e.UnixMS) }

func (e Event) end() time.Time { return time.UnixMilli(max(e.UnixMS, e.EndUnixMS)) }

// inEffectBy returns the time by which a change of the configuration must be in
// effect.
func (e Event) inEffectBy() time.Time { return e.end().Add(configPropagationBound) }

// readEvents returns the events of a file, ordered by time, and none if the file
// does not exist.
func readEvents(file string) ([]Event, error) {
	content, err := os.ReadFile(file)
	if file == "" || os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var events []Event
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, compareEventTimes)
	return events, lines.Err()
}

func eventsOfKind(events []Event, kind string) []Event {
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Event != kind })
}

const eventsFileMode = 0o644

// AppendEvent adds an event to an events file.
func AppendEvent(file string, e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, eventsFileMode)
	if err != nil {
		return err
	}
	if _, err := f.Write(append(line, '\n')); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
