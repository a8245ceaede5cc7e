package record

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Version is the version of the batch format that this program writes.
const Version = 1

// MaxSize is the maximum size of an encoded batch. A writer distributes more data
// over several batches; a reader reports a larger record as damaged.
const MaxSize = 256 * unit.KiB

const checksumSize = 8

// Errors that callers test for.
var (
	// ErrDamaged reports a record that isn't a valid batch: its checksum is wrong
	// or its size is out of bounds. No writer wrote it like this, so readers skip
	// it.
	ErrDamaged = errors.New("record: damaged")
	// ErrUnknown reports an intact batch that this version of the program can't
	// decode. The host must stop deciding until it is upgraded.
	ErrUnknown = errors.New("record: unknown version or entry")
)

// Batch is the content of one record of the log.
type Batch struct {
	// Version is the format version of the batch.
	Version int `cbor:"1,keyasint"`
	// Host and Incarnation identify the writer.
	Host        id.Host        `cbor:"2,keyasint"`
	Incarnation id.Incarnation `cbor:"3,keyasint"`
	// Seq increases by one with each batch of a writer. A retried append has the
	// same Seq.
	Seq id.Seq `cbor:"4,keyasint"`
	// BasisOffset is the last offset that the writer had applied when it wrote the
	// batch.
	BasisOffset id.Offset `cbor:"5,keyasint"`
	Entries     []Entry   `cbor:"6,keyasint"`
}

var batches = codec.New[Batch]()

// Encode returns the record that holds b.
func Encode(b Batch) ([]byte, error) {
	body, err := batches.Encode(b)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(body)), xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode returns the batch that a record holds. Its errors are ErrDamaged and
// ErrUnknown.
func Decode(raw []byte) (Batch, error) {
	if len(raw) <= checksumSize || unit.Bytes(len(raw)) > MaxSize {
		return Batch{}, fmt.Errorf("%w: %d bytes", ErrDamaged, len(raw))
	}
	body := raw[checksumSize:]
	if binary.BigEndian.Uint64(raw) != xxhash.Sum64(body) {
		return Batch{}, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	b, err := batches.Decode(body)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if b.Version != Version {
		return Batch{}, fmt.Errorf("%w: version %d", ErrUnknown, b.Version)
	}
	return b, nil
}
