// Package encoder is the one CBOR codec of the system. Its output is
// deterministic, so it can be hashed and stored as well as sent.
package encoder

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// Limits of decoded items. They bound what a damaged or hostile message can
// make a receiver allocate or recurse into.
const (
	MaxNesting = 32
	// MaxElements bounds each array and map. It leaves room for a snapshot
	// with one claim per millisecond over the lifetime of a claim.
	MaxElements = 1 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode follows the core deterministic encoding of RFC 8949: shortest
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

// Marshal encodes v deterministically. Struct fields are named by their cbor
// tag, else by their json tag. A cbor.RawMessage is copied as it is.
func Marshal(v any) ([]byte, error) {
	var buffer bytes.Buffer
	if err := encMode.MarshalToBuffer(v, &buffer); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// MarshalTo appends the encoding of v to buffer. After an error buffer may
// hold a part of it.
func MarshalTo(buffer *bytes.Buffer, v any) error { return encMode.MarshalToBuffer(v, buffer) }

// Unmarshal decodes the single item in data into v. Unknown fields are
// ignored. Duplicate keys, indefinite lengths, tags and items beyond the
// limits are errors. v keeps no reference to data, except where it holds a
// type with its own decoding.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// UnmarshalFirst decodes the first item in data into v and returns the bytes
// that follow it.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	return decMode.UnmarshalFirst(data, v)
}
