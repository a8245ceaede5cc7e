// Package codec encodes and decodes typed messages.
//
// The same encoding is used for log records and peer frames. It is deterministic
// CBOR (RFC 8949, section 4.2), so equal values have equal bytes and a digest of
// the bytes is a digest of the value. Decoding is strict: an unknown field, a
// duplicate key or trailing bytes are errors, because a message that is only
// partly understood must not be acted upon.
package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on decoded input. They bound the memory that the decoder allocates for a
// damaged or malicious message.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

// Codec encodes and decodes values of type T. It is safe for concurrent use.
type Codec[T any] struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec for T.
func New[T any]() Codec[T] {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("codec: fixed encoding options are invalid: %v", err))
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("codec: fixed decoding options are invalid: %v", err))
	}
	return Codec[T]{enc: enc, dec: dec}
}

// Encode returns the encoding of v. It fails only for types that CBOR can't
// represent.
func (c Codec[T]) Encode(v T) ([]byte, error) {
	b, err := c.enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("codec: encode %T: %w", v, err)
	}
	return b, nil
}

// Decode returns the value that b encodes.
func (c Codec[T]) Decode(b []byte) (T, error) {
	var v T
	if err := c.dec.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("codec: decode %T: %w", v, err)
	}
	return v, nil
}
