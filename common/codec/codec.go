// Package codec encodes control state and its messages as CBOR.
package codec

import (
	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds arrays and maps. The library's default of 131,072 is
// below the number of claims that a snapshot may hold.
const maxElements = 1 << 24

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the deterministic encoding of v: equal values have equal
// bytes.
func Encode(v any) ([]byte, error) { return encoder.Marshal(v) }

// Decode reads exactly one value from data into v. Unknown fields are ignored.
func Decode(data []byte, v any) error { return decoder.Unmarshal(data, v) }
