package declare

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Kinds of a FieldError; test with errors.Is.
var (
	// ErrUnreadable means that a file or folder could not be read.
	ErrUnreadable = errors.New("cannot be read")
	// ErrSyntax means that a file is not one JSON object.
	ErrSyntax = errors.New("invalid JSON")
	// ErrTrailingData means that data follows the JSON object.
	ErrTrailingData = errors.New("data after the JSON object")
	// ErrUnknownField means that an object has a member of unknown name.
	ErrUnknownField = errors.New("unknown field")
	// ErrRepeatedField means that an object has two members of one name.
	ErrRepeatedField = errors.New("repeated field")
	// ErrWrongType means that a value has another JSON type than its field.
	ErrWrongType = errors.New("wrong type")
	// ErrMissing means that a required value is absent or empty.
	ErrMissing = errors.New("missing value")
	// ErrMalformed means that a text does not have the form of its field.
	ErrMalformed = errors.New("malformed value")
	// ErrOutOfRange means that a number is outside its range.
	ErrOutOfRange = errors.New("value out of range")
	// ErrDuplicate means that something is declared twice.
	ErrDuplicate = errors.New("declared twice")
	// ErrUndeclared means that a name refers to nothing declared.
	ErrUndeclared = errors.New("reference to nothing declared")
	// ErrOverlap means that a client block lies within another one that it
	// does not name.
	ErrOverlap = errors.New("overlapping client blocks")
	// ErrUnreachable means that a region's cap exceeds the links that lead to
	// the region.
	ErrUnreachable = errors.New("cap exceeds the links to the region")
	// ErrContradiction means that two fields exclude each other.
	ErrContradiction = errors.New("contradicting fields")
)

// FieldError is one fault of a declarations folder or of the settings.
type FieldError struct {
	// Kind is one of the sentinel errors above.
	Kind error
	// File is the file name.
	File string
	// Field is the path in the file, for example "accounts[2].burst".
	Field string
	// Value is the value found, shortened. Values of key hashes are left out,
	// because an operator may have pasted the key itself.
	Value string
	// Allowed says what is allowed.
	Allowed string
}

const fieldErrorFormat = "%s: %s: %v: got %s, allowed: %s"

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf(fieldErrorFormat, e.File, e.Field, e.Kind, e.Value, e.Allowed)
}

// Unwrap returns the kind.
func (e *FieldError) Unwrap() error { return e.Kind }

// ValidationErrors holds every error found in one run, in the order of the
// files and checks.
type ValidationErrors []*FieldError

const errorSeparator = "\n"

// Error implements error with one line per error.
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, e := range v {
		lines[i] = e.Error()
	}
	return strings.Join(lines, errorSeparator)
}

// Unwrap returns the single errors.
func (v ValidationErrors) Unwrap() []error {
	errs := make([]error, len(v))
	for i, e := range v {
		errs[i] = e
	}
	return errs
}

const (
	// maxShownValue bounds a value in an error message, in bytes.
	maxShownValue  = 120
	valueFormat    = "%v"
	quotedFormat   = "%q"
	shortenedMark  = "..."
	hiddenFormat   = "a text of %d characters"
	emptyValueText = "nothing"
)

// show formats a value for an error message.
func show(value any) string {
	format := valueFormat
	if _, ok := value.(string); ok {
		format = quotedFormat
	}
	text := fmt.Sprintf(format, value)
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + shortenedMark
	}
	return text
}
