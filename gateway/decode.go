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

// field describes an expected member of a JSON object.
type field struct {
	name     string
	target   any // pointer for json.Unmarshal, or func(raw []byte, path string) error
	optional bool
	nullable bool // null is accepted as an empty list, because Go encodes a nil slice as null
	seen     bool
}

// decodeObject decodes a JSON object and rejects unknown, duplicate and missing
// fields. Names are case-sensitive. Error messages contain the field name
// prefixed with path, which is empty or ends in a dot. Decoded values share no
// memory with data.
func decodeObject(data []byte, path string, fields []field) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if token, err := d.Token(); err != nil || token != json.Delim('{') {
		return malformedError(path, err, "JSON object")
	}
	for d.More() {
		token, err := d.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return malformedError(path, err, "field name")
		}
		if err := decodeField(d, path, name, fields); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return malformedError(path, err, "end of the object")
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
			return malformedError(path+name, err, "value")
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
	return fmt.Errorf("field %q is unknown", path+truncate(name))
}

// maxEchoedNameBytes limits how much of a caller's input an error message
// repeats.
const maxEchoedNameBytes = 64

func truncate(s string) string {
	if len(s) > maxEchoedNameBytes {
		return strings.ToValidUTF8(s[:maxEchoedNameBytes], "") + "..."
	}
	return s
}

func malformedError(path string, err error, wanted string) error {
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

// plainTypeError returns err without the names of Go types, which mean nothing
// to callers.
func plainTypeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return fmt.Errorf("a JSON %s is not a valid value", wrong.Value)
	}
	return err
}

// rawObject returns a field target that stores a JSON object without decoding
// it.
func rawObject(target *[]byte) func([]byte, string) error {
	return func(raw []byte, path string) error {
		if raw[0] != '{' {
			return fmt.Errorf("field %q must be a JSON object", path)
		}
		*target = raw
		return nil
	}
}

// identifier returns a field target for an identifier.
func identifier[T ~string](target *T) func([]byte, string) error {
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

// array returns a field target that calls decode for each element of a JSON
// array. The path passed to decode ends in a dot, as decodeObject expects.
func array(limit int, decode func(raw []byte, path string) error) func([]byte, string) error {
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

// checkID returns an error unless s consists of 1 to MaxIDLength printable ASCII
// characters without spaces, which need no escaping in an HTTP header.
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
