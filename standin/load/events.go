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
	// EventPlannedStop: the VM was told to stop.
	EventPlannedStop = "planned_stop"
	// EventKeyWithdrawn: the key of the client was withdrawn.
	EventKeyWithdrawn = "key_withdrawn"
	// EventDrain: the backend server was declared as drained.
	EventDrain = "drain"
	// EventBackendLeaving: the backend server began to report that it leaves.
	EventBackendLeaving = "backend_leaving"
	// EventRate: the rate and burst of the account were changed.
	EventRate = "rate"
)

const (
	// configEffect is the time for a configuration to be in effect.
	configEffect = 5 * time.Second
	// leavingEffect is the time until a leaving backend server gets no work.
	leavingEffect = 3 * time.Second
)

// Event is something that was done to the system during the run.
type Event struct {
	Event string `json:"event"`
	// UnixMS and EndUnixMS are when the action began and ended, in
	// milliseconds of Unix time.
	UnixMS    int64 `json:"unix_ms"`
	EndUnixMS int64 `json:"end_unix_ms"`
	// Entry is the caller address of the VM.
	Entry         string  `json:"entry,omitempty"`
	Client        string  `json:"client,omitempty"`
	Server        string  `json:"server,omitempty"`
	Account       string  `json:"account,omitempty"`
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

func (e Event) begin() time.Time { return time.UnixMilli(e.UnixMS) }

func (e Event) end() time.Time { return time.UnixMilli(max(e.UnixMS, e.EndUnixMS)) }

// inEffectAt is when a change of the configuration is in effect at the latest.
func (e Event) inEffectAt() time.Time { return e.end().Add(configEffect) }

// readEvents reads the events in the order of time; a missing file has none.
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
	slices.SortStableFunc(events, byTime)
	return events, lines.Err()
}

func ofKind(events []Event, kind string) []Event {
	return slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Event != kind })
}

const eventsMode = 0o644

// AppendEvent adds an event to an events file.
func AppendEvent(file string, e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, eventsMode)
	if err != nil {
		return err
	}
	if _, err := f.Write(append(line, '\n')); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
