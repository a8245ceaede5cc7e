package record_test

import (
	"errors"
	"testing"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/record"
)

func batch() record.Batch {
	return record.Batch{
		Version: record.Version, Host: "h", Incarnation: 7, Seq: 3, BasisOffset: 9,
		Entries: []record.Entry{{Claim: &record.Claim{Host: "h", Replaces: 4}}, {Cancel: &record.Cancel{Job: "j"}}},
	}
}

// TestDamage checks that a change of any byte is detected, and that a batch of a
// newer format version isn't reported as damaged.
func TestDamage(t *testing.T) {
	raw, err := record.Encode(batch())
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		bad := append([]byte(nil), raw...)
		bad[i] ^= 0x40
		if _, err := record.Decode(bad); !errors.Is(err, record.ErrDamaged) {
			t.Errorf("byte %d changed: %v", i, err)
		}
	}
	newer := batch()
	newer.Version++
	raw, err = record.Encode(newer)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := record.Decode(raw); !errors.Is(err, record.ErrUnknown) {
		t.Errorf("newer version: %v", err)
	}
}

// FuzzDecode checks that no input makes the decoder panic and that every batch
// that it accepts can be encoded.
func FuzzDecode(f *testing.F) {
	raw, err := record.Encode(batch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("this is no record of ours"))
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := record.Decode(in)
		if err != nil {
			return
		}
		if _, err := record.Encode(b); err != nil {
			t.Errorf("%q: %v", in, err)
		}
	})
}

// FuzzBody checks the decoding of a batch without its checksum, which the inputs of
// FuzzDecode rarely match.
func FuzzBody(f *testing.F) {
	c := codec.New[record.Batch]()
	raw, err := c.Encode(batch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := c.Decode(in)
		if err != nil {
			return
		}
		if _, err := c.Encode(b); err != nil {
			t.Errorf("%q: %v", in, err)
		}
	})
}
