// Package tracelog collects the lines of one request from the logs of gateway
// processes.
package tracelog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	// Time is the timestamp as written. The lines of one VM are in its order.
	Time string
	// Source is the name of the log, or the text that a collector put before
	// the line.
	Source  string
	Message string
	Fields  map[string]any
}

// Trace holds the log lines of one request.
type Trace struct {
	Lines []Line
	// Unreadable is the number of lines that are not valid log lines.
	Unreadable int
}

// maxLineBytes bounds the length of a line. Longer lines count as unreadable.
const maxLineBytes = 1 << 20

// Read adds the lines of one log that concern the request id. Text before the
// first brace, as log collectors add it, replaces source.
func (t *Trace) Read(r io.Reader, source, id string) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for {
		raw, tooLong, err := in.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, source)
		}
		if tooLong {
			t.Unreadable++
			continue
		}
		t.add(raw, source, id)
	}
}

func (t *Trace) add(raw []byte, source, id string) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		if len(bytes.TrimSpace(raw)) > 0 {
			t.Unreadable++
		}
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		t.Unreadable++
		return
	}
	if fields["id"] != id {
		return
	}
	line := Line{Source: source, Fields: fields}
	line.Time, _ = fields["ts"].(string)
	line.Message, _ = fields["msg"].(string)
	if prefix := strings.TrimSpace(string(raw[:start])); prefix != "" {
		line.Source = prefix
	}
	for _, name := range []string{"id", "ts", "msg", "logger", "level"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, line)
}

// Sort sorts the lines by time.
func (t *Trace) Sort() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
}
