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
	internOption   = "shared"
	fieldSeparator = "."
	indexFormat    = "[%d]"
	offsetFormat   = "byte %d"
	topLevel       = "(file)"

	allowedObject         = "an object"
	allowedList           = "a list"
	allowedString         = "a string"
	allowedNumber         = "a number"
	allowedInteger        = "an integer"
	allowedBool           = "true or false"
	allowedSingleMember   = "each member name at most once"
	allowedJSON           = "one JSON object"
	allowedNoTrailingData = "no data after the object"
	allowedNonZero        = "a number other than 0; leave the field out for its default"
	allowedFormat         = "one of %s"
	nullText              = "null"
)

// decoder decodes one JSON file into a struct and collects every error. It is
// stricter than encoding/json: member names are case-sensitive, and repeated
// members and null are errors. It continues after an error in a single field.
// It reads token by token, so that a large file is not held in memory twice.
type decoder struct {
	json   *json.Decoder
	file   string
	errs   ValidationErrors
	path   []segment
	fields map[reflect.Type]map[string]field
	// interned holds one copy of each string of fields tagged as shared,
	// because 980,000 client blocks refer to only a few regions.
	interned map[string]string
}

// segment is a part of a field path: a name, or an index if the name is empty.
type segment struct {
	name  string
	index int
}

// field describes a field of a struct.
type field struct {
	index    int
	optional bool
	interned bool
}

func newDecoder(file string, content []byte) *decoder {
	d := &decoder{
		json:     json.NewDecoder(bytes.NewReader(content)),
		file:     file,
		fields:   map[reflect.Type]map[string]field{},
		interned: map[string]string{},
	}
	d.json.UseNumber()
	return d
}

// decodeStrict decodes content into target, a pointer to a struct. It appends
// to lists and replaces all other fields.
func decodeStrict(file string, content []byte, target any) ValidationErrors {
	d := newDecoder(file, content)
	if err := d.decodeValue(reflect.ValueOf(target).Elem(), field{}); err != nil {
		d.addSyntaxError(err)
		return d.errs
	}
	if _, err := d.json.Token(); err != io.EOF {
		d.addError(ErrTrailingData, fmt.Sprintf(offsetFormat, d.json.InputOffset()), allowedNoTrailingData)
	}
	return d.errs
}

func (d *decoder) addSyntaxError(err error) {
	d.addError(ErrSyntax, fmt.Sprintf(offsetFormat, d.json.InputOffset())+fieldSeparator+err.Error(), allowedJSON)
}

func (d *decoder) addError(kind error, value, allowed string) {
	d.errs = append(d.errs, &FieldError{
		Kind: kind, File: d.file, Field: d.fieldPath(), Value: value, Allowed: allowed,
	})
}

func (d *decoder) fieldPath() string {
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

// decodeValue decodes the next value. It returns only errors after which the
// rest of the file cannot be read.
func (d *decoder) decodeValue(v reflect.Value, f field) error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.decodeObject(token, v)
	case reflect.Slice:
		return d.decodeList(token, v, f)
	case reflect.Map:
		return d.decodeNumberMap(token, v)
	default:
		return d.decodeScalar(token, v, f)
	}
}

func (d *decoder) decodeObject(token json.Token, v reflect.Value) error {
	if token != json.Delim('{') {
		return d.addWrongType(token, allowedObject)
	}
	fields := d.fieldsOf(v.Type())
	var seen uint64
	for d.json.More() {
		name, err := d.memberName()
		if err != nil {
			return err
		}
		d.path = append(d.path, segment{name: name})
		f, ok := fields[name]
		switch {
		case !ok:
			d.addError(ErrUnknownField, formatValue(name), fmt.Sprintf(allowedFormat, namesOf(v.Type())))
			err = d.skip()
		case seen&(1<<f.index) != 0:
			d.addError(ErrRepeatedField, formatValue(name), allowedSingleMember)
			err = d.skip()
		default:
			seen |= 1 << f.index
			err = d.decodeValue(v.Field(f.index), f)
		}
		if err != nil {
			return err
		}
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) decodeList(token json.Token, v reflect.Value, f field) error {
	if token != json.Delim('[') {
		return d.addWrongType(token, allowedList)
	}
	d.path = append(d.path, segment{})
	for i := 0; d.json.More(); i++ {
		d.path[len(d.path)-1].index = i
		n := v.Len()
		v.Grow(1)
		v.SetLen(n + 1)
		v.Index(n).SetZero()
		if err := d.decodeValue(v.Index(n), field{interned: f.interned}); err != nil {
			return err
		}
	}
	d.path = d.path[:len(d.path)-1]
	_, err := d.json.Token()
	return err
}

// decodeNumberMap decodes an object whose values are numbers.
func (d *decoder) decodeNumberMap(token json.Token, v reflect.Value) error {
	if token != json.Delim('{') {
		return d.addWrongType(token, allowedObject)
	}
	v.Set(reflect.MakeMap(v.Type()))
	for d.json.More() {
		name, err := d.memberName()
		if err != nil {
			return err
		}
		d.path = append(d.path, segment{name: name})
		key := reflect.ValueOf(name)
		if v.MapIndex(key).IsValid() {
			d.addError(ErrRepeatedField, formatValue(name), allowedSingleMember)
		}
		number := reflect.New(v.Type().Elem()).Elem()
		if err := d.decodeValue(number, field{}); err != nil {
			return err
		}
		v.SetMapIndex(key, number)
		d.path = d.path[:len(d.path)-1]
	}
	_, err := d.json.Token()
	return err
}

func (d *decoder) decodeScalar(token json.Token, v reflect.Value, f field) error {
	switch v.Kind() {
	case reflect.String:
		text, ok := token.(string)
		if !ok {
			return d.addWrongType(token, allowedString)
		}
		v.SetString(d.intern(text, f))
	case reflect.Bool:
		flag, ok := token.(bool)
		if !ok {
			return d.addWrongType(token, allowedBool)
		}
		v.SetBool(flag)
	case reflect.Float64:
		return d.decodeFloat(token, v, f)
	default:
		return d.decodeInteger(token, v, f)
	}
	return nil
}

func (d *decoder) decodeFloat(token json.Token, v reflect.Value, f field) error {
	number, ok := token.(json.Number)
	if !ok {
		return d.addWrongType(token, allowedNumber)
	}
	value, err := number.Float64()
	if err != nil || math.IsInf(value, 0) {
		d.addError(ErrOutOfRange, number.String(), allowedNumber)
		return nil
	}
	d.checkNonZero(number, value == 0, f)
	v.SetFloat(value)
	return nil
}

func (d *decoder) decodeInteger(token json.Token, v reflect.Value, f field) error {
	number, ok := token.(json.Number)
	if !ok {
		return d.addWrongType(token, allowedInteger)
	}
	value, err := strconv.ParseInt(number.String(), 10, v.Type().Bits())
	if err != nil {
		d.addError(ErrWrongType, number.String(), allowedInteger)
		return nil
	}
	d.checkNonZero(number, value == 0, f)
	v.SetInt(value)
	return nil
}

// checkNonZero rejects a 0 that would otherwise be silently replaced by the
// default of the field.
func (d *decoder) checkNonZero(number json.Number, zero bool, f field) {
	if zero && f.optional {
		d.addError(ErrOutOfRange, number.String(), allowedNonZero)
	}
}

func (d *decoder) intern(text string, f field) string {
	if !f.interned {
		return text
	}
	if existing, ok := d.interned[text]; ok {
		return existing
	}
	d.interned[text] = text
	return text
}

func (d *decoder) addWrongType(token json.Token, allowed string) error {
	found := nullText
	if token != nil {
		found = formatValue(token)
	}
	d.addError(ErrWrongType, found, allowed)
	if delim, ok := token.(json.Delim); ok && (delim == '{' || delim == '[') {
		return d.skipNested()
	}
	return nil
}

// memberName reads the name of a member. The JSON decoder guarantees that it is
// a string.
func (d *decoder) memberName() (string, error) {
	token, err := d.json.Token()
	if err != nil {
		return "", err
	}
	name, _ := token.(string)
	return name, nil
}

// skip skips the next value.
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

// skipNested skips the rest of an object or list that was just opened.
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
	fields := map[string]field{}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get(jsonTag), nameSeparator)
		fields[name] = field{
			index:    i,
			optional: options == omitEmpty,
			interned: t.Field(i).Tag.Get(declareTag) == internOption,
		}
	}
	d.fields[t] = fields
	return fields
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
