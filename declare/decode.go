package declare

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
)

const (
	jsonTag        = "json"
	omitEmpty      = "omitempty"
	declareTag     = "declare"
	sharedOption   = "shared"
	fieldSeparator = "."
	indexFormat    = "[%d]"
	offsetFormat   = "byte %d"
	topLevel       = "(file)"

	allowedObject   = "an object"
	allowedList     = "a list"
	allowedString   = "a text"
	allowedNumber   = "a number"
	allowedInteger  = "an integer"
	allowedBool     = "true or false"
	allowedOneField = "one member of each name"
	allowedJSON     = "one JSON object"
	allowedNothing  = "nothing after the object"
	allowedNonZero  = "a number other than 0; leave the field out for its default"
	allowedFormat   = "one of %s"
	nullText        = "null"
)

// decoder decodes one JSON file into a struct and collects every error. It is
// stricter than encoding/json: member names are compared case by case, repeated
// members and null are errors, and decoding goes on after an error of one field.
// It reads token by token, so that a large file is never held twice.
type decoder struct {
	json   *json.Decoder
	file   string
	errs   ValidationErrors
	path   []segment
	fields map[reflect.Type]map[string]field
	// shared holds one copy of each text of a field tagged as shared, because
	// 980,000 client blocks name few regions.
	shared map[string]string
}

// segment is a part of the path of a field: a name, or an index if the name is
// empty.
type segment struct {
	name  string
	index int
}

// field describes a struct field.
type field struct {
	index    int
	optional bool
	shared   bool
}

func newDecoder(file string, content []byte) *decoder {
	d := &decoder{
		json:   json.NewDecoder(bytes.NewReader(content)),
		file:   file,
		fields: map[reflect.Type]map[string]field{},
		shared: map[string]string{},
	}
	d.json.UseNumber()
	return d
}

// decodeStrict decodes content into target, a pointer to a struct. Lists are
// appended to, all other fields are replaced.
func decodeStrict(file string, content []byte, target any) ValidationErrors {
	d := newDecoder(file, content)
	if err := d.value(reflect.ValueOf(target).Elem(), field{}); err != nil {
		d.syntax(err)
		return d.errs
	}
	if _, err := d.json.Token(); err != io.EOF {
		d.add(ErrTrailingData, fmt.Sprintf(offsetFormat, d.json.InputOffset()), allowedNothing)
	}
	return d.errs
}

func (d *decoder) syntax(err error) {
	d.add(ErrSyntax, fmt.Sprintf(offsetFormat, d.json.InputOffset())+fieldSeparator+err.Error(), allowedJSON)
}

func (d *decoder) add(kind error, value, allowed string) {
	d.errs = append(d.errs, &FieldError{
		Kind: kind, File: d.file, Field: d.where(), Value: value, Allowed: allowed,
	})
}

func (d *decoder) where() string {
	var b strings.Builder
	for _, s := range d.path {
		if s.name == "" {
			fmt.Fprintf(&b, indexFormat, s.index)
			continue
		}
		if b.Len() > 0 {
			b.WriteString(fieldSeparator)
		}
		b.WriteString(s.name)
	}
	if b.Len() == 0 {
		return topLevel
	}
	return b.String()
}

// value decodes the next value. It returns only errors after which the rest of
// the file cannot be read.
func (d *decoder) value(v reflect.Value, f field) error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.object(token, v)
	case reflect.Slice:
		return d.list(token, v, f)
	case reflect.Map:
		return d.numbers(token, v)
	default:
		return d.scalar(token, v, f)
	}
}

func (d *decoder) object(token json.Token, v reflect.Value) error {
	if token != json.Delim('{') {
		return d.wrongType(token, allowedObject)
	}
	known := d.fieldsOf(v.Type())
	var seen uint64
	for d.json.More() {
		name, err := d.name()
		if err != nil {
			return err
		}
		d.path = append(d.path, segment{name: name})
		f, ok := known[name]
		switch {
		case !ok:
			d.add(ErrUnknownField, show(name), fmt.Sprintf(allowedFormat, namesOf(v.Type())))
			err = d.skip()
		case seen&(1<<f.index) != 0:
			d.add(ErrRepeatedField, show(name), allowedOneField)
			err = d.skip()
		default:
			seen |= 1 << f.index
			err = d.value(v.Field(f.index), f)
		}
		if err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) list(token json.Token, v reflect.Value, f field) error {
	if token != json.Delim('[') {
		return d.wrongType(token, allowedList)
	}
	d.path = append(d.path, segment{})
	for i := 0; d.json.More(); i++ {
		d.path[len(d.path)-1].index = i
		n := v.Len()
		v.Grow(1)
		v.SetLen(n + 1)
		v.Index(n).SetZero()
		if err := d.value(v.Index(n), field{shared: f.shared}); err != nil {
			return err
		}
	}
	d.path = d.path[:len(d.path)-1]
	_, err := d.json.Token()
	return err
}

// numbers decodes an object whose members are numbers.
func (d *decoder) numbers(token json.Token, v reflect.Value) error {
	if token != json.Delim('{') {
		return d.wrongType(token, allowedObject)
	}
	v.Set(reflect.MakeMap(v.Type()))
	for d.json.More() {
		name, err := d.name()
		if err != nil {
			return err
		}
		d.path = append(d.path, segment{name: name})
		key := reflect.ValueOf(name)
		if v.MapIndex(key).IsValid() {
			d.add(ErrRepeatedField, show(name), allowedOneField)
		}
		number := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(number, field{}); err != nil {
			return err
		}
		v.SetMapIndex(key, number)
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) scalar(token json.Token, v reflect.Value, f field) error {
	switch v.Kind() {
	case reflect.String:
		text, ok := token.(string)
		if !ok {
			return d.wrongType(token, allowedString)
		}
		v.SetString(d.keep(text, f))
	case reflect.Bool:
		flag, ok := token.(bool)
		if !ok {
			return d.wrongType(token, allowedBool)
		}
		v.SetBool(flag)
	case reflect.Float64:
		return d.float(token, v, f)
	default:
		return d.integer(token, v, f)
	}
	return nil
}

func (d *decoder) float(token json.Token, v reflect.Value, f field) error {
	number, ok := token.(json.Number)
	if !ok {
		return d.wrongType(token, allowedNumber)
	}
	value, err := number.Float64()
	if err != nil || math.IsInf(value, 0) {
		d.add(ErrOutOfRange, number.String(), allowedNumber)
		return nil
	}
	d.nonZero(number, value == 0, f)
	v.SetFloat(value)
	return nil
}

func (d *decoder) integer(token json.Token, v reflect.Value, f field) error {
	number, ok := token.(json.Number)
	if !ok {
		return d.wrongType(token, allowedInteger)
	}
	value, err := strconv.ParseInt(number.String(), 10, v.Type().Bits())
	if err != nil {
		d.add(ErrWrongType, number.String(), allowedInteger)
		return nil
	}
	d.nonZero(number, value == 0, f)
	v.SetInt(value)
	return nil
}

// nonZero rejects a 0 that would silently be replaced by the field's default.
func (d *decoder) nonZero(number json.Number, zero bool, f field) {
	if zero && f.optional {
		d.add(ErrOutOfRange, number.String(), allowedNonZero)
	}
}

func (d *decoder) keep(text string, f field) string {
	if !f.shared {
		return text
	}
	if kept, ok := d.shared[text]; ok {
		return kept
	}
	d.shared[text] = text
	return text
}

func (d *decoder) wrongType(token json.Token, allowed string) error {
	shown := nullText
	if token != nil {
		shown = show(token)
	}
	d.add(ErrWrongType, shown, allowed)
	if delim, ok := token.(json.Delim); ok && (delim == '{' || delim == '[') {
		return d.skipNested()
	}
	return nil
}

// name reads the name of a member; the JSON decoder guarantees a text.
func (d *decoder) name() (string, error) {
	token, err := d.json.Token()
	if err != nil {
		return "", err
	}
	name, _ := token.(string)
	return name, nil
}

// skip passes over the next value.
func (d *decoder) skip() error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	if delim, ok := token.(json.Delim); ok && (delim == '{' || delim == '[') {
		return d.skipNested()
	}
	return nil
}

// skipNested passes over the rest of an object or list just opened.
func (d *decoder) skipNested() error {
	for depth := 1; depth > 0; {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func (d *decoder) fieldsOf(t reflect.Type) map[string]field {
	if known, ok := d.fields[t]; ok {
		return known
	}
	known := map[string]field{}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get(jsonTag), nameSeparator)
		known[name] = field{
			index:    i,
			optional: options == omitEmpty,
			shared:   t.Field(i).Tag.Get(declareTag) == sharedOption,
		}
	}
	d.fields[t] = known
	return known
}

const (
	nameSeparator = ","
	listSeparator = ", "
)

func namesOf(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get(jsonTag), nameSeparator)
	}
	return strings.Join(names, listSeparator)
}
