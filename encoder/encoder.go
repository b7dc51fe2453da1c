// Package encoder implements the CBOR encoding of all messages and stored data.
// The encoding is deterministic, so that encoded values can be hashed.
package encoder

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// Limits of decoded items. They bound the memory and recursion depth that a
// corrupted or malicious message can cause.
const (
	MaxNesting = 32
	// MaxElements is the maximum number of elements of an array and of pairs of a
	// map. A snapshot with one claim per millisecond over the lifetime of a claim
	// fits within it.
	MaxElements = 1 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode selects the core deterministic encoding of RFC 8949: shortest
// forms, definite lengths and sorted map keys.
func mustEncMode() cbor.UserBufferEncMode {
	options := cbor.CoreDetEncOptions()
	options.TagsMd = cbor.TagsForbidden
	mode, err := options.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   MaxNesting,
		MaxArrayElements:  MaxElements,
		MaxMapPairs:       MaxElements,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v deterministically. The name of a struct field is taken from
// its cbor tag, or from its json tag if it has no cbor tag. A cbor.RawMessage is
// copied unchanged.
func Marshal(v any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := encMode.MarshalToBuffer(v, &buffer); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// MarshalTo appends the encoding of v to buffer. After an error, buffer may
// contain part of the encoding.
func MarshalTo(buffer *bytes.Buffer, v any) error { return encMode.MarshalToBuffer(v, buffer) }

// Unmarshal decodes the single item in data into v. Unknown fields are ignored.
// Duplicate keys, indefinite lengths, tags and items that exceed the limits are
// errors. v does not refer to data afterwards, unless it contains a type that
// implements its own decoding.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// UnmarshalFirst decodes the first item in data into v and returns the bytes
// that follow it.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	return decMode.UnmarshalFirst(data, v)
}
