package declare

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Kinds of a FieldError, for use with errors.Is.
var (
	// ErrUnreadable means that a file or folder could not be read.
	ErrUnreadable = errors.New("cannot be read")
	// ErrSyntax means that a file is not a single JSON object.
	ErrSyntax = errors.New("invalid JSON")
	// ErrTrailingData means that data follows the JSON object.
	ErrTrailingData = errors.New("data after the JSON object")
	// ErrUnknownField means that an object has a member with an unknown name.
	ErrUnknownField = errors.New("unknown field")
	// ErrRepeatedField means that an object has two members with the same name.
	ErrRepeatedField = errors.New("repeated field")
	// ErrWrongType means that a value does not have the JSON type of its field.
	ErrWrongType = errors.New("wrong type")
	// ErrMissing means that a required value is absent or empty.
	ErrMissing = errors.New("missing value")
	// ErrMalformed means that a string does not have the format of its field.
	ErrMalformed = errors.New("malformed value")
	// ErrOutOfRange means that a number is outside its range.
	ErrOutOfRange = errors.New("value out of range")
	// ErrDuplicate means that something is declared twice.
	ErrDuplicate = errors.New("declared twice")
	// ErrUndeclared means that a reference names something that is not
	// declared.
	ErrUndeclared = errors.New("reference to an undeclared name")
	// ErrOverlap means that a client block lies within another one without
	// naming it.
	ErrOverlap = errors.New("overlapping client blocks")
	// ErrUnreachable means that the cap of a region exceeds the sum of the
	// links to the region.
	ErrUnreachable = errors.New("cap exceeds the links to the region")
	// ErrContradiction means that two fields exclude each other.
	ErrContradiction = errors.New("contradictory fields")
)

// FieldError is an error in a declarations folder or in the settings.
type FieldError struct {
	// Kind is one of the errors above.
	Kind error
	// File is the file name.
	File string
	// Field is the path in the file, for example "accounts[2].burst".
	Field string
	// Value is the value found, truncated if it is long. Values of key hashes
	// are left out, because an operator may have pasted the key itself.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

const fieldErrorFormat = "%s: %s: %v: got %s, allowed: %s"

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf(fieldErrorFormat, e.File, e.Field, e.Kind, e.Value, e.Allowed)
}

// Unwrap returns the kind.
func (e *FieldError) Unwrap() error { return e.Kind }

// ValidationErrors holds all errors found in one run, in the order of the files
// and checks.
type ValidationErrors []*FieldError

const errorSeparator = "\n"

// Error implements error. It returns one line per error.
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, e := range v {
		lines[i] = e.Error()
	}
	return strings.Join(lines, errorSeparator)
}

// Unwrap returns the individual errors.
func (v ValidationErrors) Unwrap() []error {
	errs := make([]error, len(v))
	for i, e := range v {
		errs[i] = e
	}
	return errs
}

const (
	// maxValueBytes bounds the length of a value in an error message, in bytes.
	maxValueBytes     = 120
	valueFormat       = "%v"
	quotedFormat      = "%q"
	truncationMark    = "..."
	hiddenValueFormat = "a string of %d bytes"
	emptyValueText    = "nothing"
)

// formatValue formats a value for an error message.
func formatValue(value any) string {
	format := valueFormat
	if _, ok := value.(string); ok {
		format = quotedFormat
	}
	text := fmt.Sprintf(format, value)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes] + truncationMark
	}
	return text
}
