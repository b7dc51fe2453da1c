package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"zinniatide.example/zinniatide"
)

// field is a member of a JSON object.
type field struct {
	name     string
	target   any // pointer for json.Unmarshal, or func(raw []byte, path string) error
	optional bool
	nullable bool // null stands for an empty list, as Go writes a nil slice
	seen     bool
}

// decodeObject decodes a JSON object that has exactly the given fields. Names
// match byte for byte. Errors name the field, with the path of its object.
// Targets share no memory with data.
func decodeObject(data []byte, path string, fields []field) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
		return malformed(path, err, "JSON object")
	}
	for d.More() {
		token, err := d.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return malformed(path, err, "field name")
		}
		if err := decodeField(d, path, name, fields); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return malformed(path, err, "end of the object")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("JSON is followed by other data")
	}
	for i := range fields {
		if !fields[i].seen && !fields[i].optional {
			return fmt.Errorf("field %q is missing", path+fields[i].name)
		}
	}
	return nil
}

func decodeField(d *json.Decoder, path, name string, fields []field) error {
	for i := range fields {
		f := &fields[i]
		if f.name != name {
			continue
		}
		if f.seen {
			return fmt.Errorf("field %q is given twice", path+name)
		}
		f.seen = true
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return malformed(path+name, err, "value")
		}
		if bytes.Equal(raw, []byte("null")) {
			if f.nullable {
				return nil
			}
			return fmt.Errorf("field %q is null", path+name)
		}
		if decode, ok := f.target.(func([]byte, string) error); ok {
			return decode(raw, path+name)
		}
		if err := json.Unmarshal(raw, f.target); err != nil {
			return fmt.Errorf("field %q: %w", path+name, plainTypeError(err))
		}
		return nil
	}
	return fmt.Errorf("field %q is unknown", path+clip(name))
}

// maxNameInMessage bounds how much of a caller's input a message repeats.
const maxNameInMessage = 64

func clip(s string) string {
	if len(s) > maxNameInMessage {
		return strings.ToValidUTF8(s[:maxNameInMessage], "") + "..."
	}
	return s
}

func malformed(path string, err error, wanted string) error {
	where := ""
	if path != "" {
		where = fmt.Sprintf(" at %q", strings.TrimSuffix(path, "."))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Errorf("JSON is malformed%s: %s", where, syntax.Error())
	}
	return fmt.Errorf("JSON is malformed%s: expected %s", where, wanted)
}

// plainTypeError removes Go's type names from a message for callers.
func plainTypeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("a JSON %s is not a valid value", wrong.Value)
	}
	return err
}

// object is a target for a JSON object that is passed on as it is.
func object(target *[]byte) func([]byte, string) error {
	return func(raw []byte, path string) error {
		if raw[0] != '{' {
			return fmt.Errorf("field %q must be a JSON object", path)
		}
		*target = raw
		return nil
	}
}

// id is a target for an identifier.
func id[T ~string](target *T) func([]byte, string) error {
	return func(raw []byte, path string) error {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("field %q: %w", path, plainTypeError(err))
		}
		if err := checkID(s); err != nil {
			return fmt.Errorf("field %q %w", path, err)
		}
		*target = T(s)
		return nil
	}
}

// list is a target for an array, each element of which decode gets.
func list(limit int, decode func(raw []byte, path string) error) func([]byte, string) error {
	return func(raw []byte, path string) error {
		var elements []json.RawMessage
		if err := json.Unmarshal(raw, &elements); err != nil {
			return fmt.Errorf("field %q: %w", path, plainTypeError(err))
		}
		if len(elements) > limit {
			return fmt.Errorf("field %q has %d elements, more than %d", path, len(elements), limit)
		}
		for i, element := range elements {
			if err := decode(element, fmt.Sprintf("%s[%d].", path, i)); err != nil {
				return err
			}
		}
		return nil
	}
}

// checkID accepts 1 to MaxIDLength printable ASCII characters without spaces,
// which can be sent in a header as they are.
func checkID(s string) error {
	if s == "" || len(s) > zinniatide.MaxIDLength {
		return fmt.Errorf("must have 1 to %d characters", zinniatide.MaxIDLength)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return errors.New("must consist of printable ASCII characters without spaces")
		}
	}
	return nil
}
