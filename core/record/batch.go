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

// MaxSize is the largest encoded batch. A writer splits what is larger; a reader
// reports a larger record as damaged.
const MaxSize = 256 * unit.KiB

const checksumSize = 8

// Errors that callers test for.
var (
	// ErrDamaged reports a record that is not a batch: its checksum is wrong or
	// its size is out of bounds. It holds no entry of ours and is passed over.
	ErrDamaged = errors.New("record: damaged")
	// ErrUnknown reports an intact batch that this program doesn't understand.
	// The host must stop deciding until it is upgraded.
	ErrUnknown = errors.New("record: unknown version or entry")
)

// Batch is the content of one record of the log.
type Batch struct {
	// Version is Version for batches of this program.
	Version int `cbor:"1,keyasint"`
	// Host and Incarnation name the writer.
	Host        id.Host        `cbor:"2,keyasint"`
	Incarnation id.Incarnation `cbor:"3,keyasint"`
	// Seq grows by one with each batch of a writer. An append that is tried
	// again carries the same Seq.
	Seq id.Seq `cbor:"4,keyasint"`
	// Basis is the last offset that the writer had applied.
	Basis   id.Offset `cbor:"5,keyasint"`
	Entries []Entry   `cbor:"6,keyasint"`
}

var batches = codec.New[Batch]()

// Encode returns the record for b.
func Encode(b Batch) ([]byte, error) {
	body, err := batches.Encode(b)
	if err != nil {
		return nil, err
	}
	out := binary.BigEndian.AppendUint64(make([]byte, 0, checksumSize+len(body)), xxhash.Sum64(body))
	return append(out, body...), nil
}

// Decode returns the batch that a record holds, ErrDamaged or ErrUnknown.
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
