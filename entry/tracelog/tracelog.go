// Package tracelog reads the log lines of gateway processes and follows one
// request through them.
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
	// Time is as written; lines of one VM order by it.
	Time    string
	Source  string
	Message string
	Fields  map[string]any
}

// Trace is what the logs say of one request.
type Trace struct {
	Lines []Line
	// Unreadable is the number of lines that are no log lines.
	Unreadable int
}

// maxLine bounds a line; longer ones count as unreadable.
const maxLine = 1 << 20

// Read adds the lines of one log that concern a request. Text before the first
// brace, as collectors add it, is kept as the source.
func (t *Trace) Read(r io.Reader, source, id string) error {
	in := bufio.NewReaderSize(r, maxLine)
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
	if before := strings.TrimSpace(string(raw[:start])); before != "" {
		line.Source = before
	}
	for _, known := range []string{"id", "ts", "msg", "logger", "level"} {
		delete(fields, known)
	}
	t.Lines = append(t.Lines, line)
}

// Sort orders the lines by their time.
func (t *Trace) Sort() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
}
