package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"curlewsill.org/curlewsill/core/unit"
)

// blockSize is the size of the blocks in which a body is received. Memory is reserved
// before bytes are read into it: for a body of known size at once, so that a body
// that has been admitted is received whole, else for each block.
const blockSize = 16 * unit.KiB

// Body is a body that was received whole. Its memory stays reserved until the
// request ends.
type Body struct {
	blocks [][]byte
	size   int
	// reserved is the memory that is reserved for the body.
	reserved unit.Bytes
	intake   *Intake
	conn     *conn
}

// ReadBody receives a request's body of at most limit bytes. The error is ErrRefused
// if the client has to give way, an http.MaxBytesError if the body is too large, or
// that of the connection. From its return on, the client doesn't have to give way
// until it gets its answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit unit.Bytes) (*Body, error) {
	b := &Body{conn: connOf(r.Context())}
	share := 1.0
	hint := sizeOf(r.ContentLength, limit)
	if hint > limit {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	if b.conn != nil {
		b.intake = b.conn.intake
		share = b.intake.limits.BodyShare
		b.intake.expect(b.conn, hint)
	}
	if r.ContentLength >= 0 {
		if err := b.reserve(r.Context(), hint, share, false); err != nil {
			return nil, err
		}
	}
	if err := b.read(r.Context(), http.MaxBytesReader(w, r.Body, int64(limit)), hint, share, false); err != nil {
		return nil, err
	}
	if b.conn != nil && !b.intake.await(b.conn) {
		return nil, ErrRefused
	}
	return b, nil
}

// ReadAnswer receives the answer to a client's request from a backend server, of at
// most limit bytes. It waits for memory until ctx is done.
func ReadAnswer(ctx context.Context, r *http.Request, answer *http.Response, limit unit.Bytes) (*Body, error) {
	b := &Body{conn: connOf(r.Context())}
	if b.conn != nil {
		b.intake = b.conn.intake
	}
	hint := sizeOf(answer.ContentLength, limit+1)
	if hint <= limit {
		if err := b.reserve(ctx, hint, 1, true); err != nil {
			return nil, err
		}
	}
	if err := b.read(ctx, io.LimitReader(answer.Body, int64(limit)+1), hint, 1, true); err != nil {
		return nil, err
	}
	if unit.Bytes(b.size) > limit {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	return b, nil
}

// sizeOf returns the size of a body by its head, or unknown.
func sizeOf(contentLength int64, unknown unit.Bytes) unit.Bytes {
	if contentLength < 0 {
		return unknown
	}
	return unit.Bytes(contentLength)
}

// read reads in until its end. hint is the greatest size.
func (b *Body) read(ctx context.Context, in io.Reader, hint unit.Bytes, share float64, patient bool) error {
	var probe [1]byte // for the end of a body that is as large as can be
	for {
		block := probe[:0]
		if size := min(hint-unit.Bytes(b.size), blockSize); size > 0 {
			if missing := unit.Bytes(b.size) + size - b.reserved; missing > 0 {
				if err := b.reserve(ctx, missing, share, patient); err != nil {
					return err
				}
			}
			block = make([]byte, 0, size)
		}
		block, err := fill(in, block)
		b.size += len(block)
		if len(block) > 0 {
			b.blocks = append(b.blocks, block)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return b.readError(err)
		}
	}
}

// fill reads into the free part of a block until it is full or an error occurs.
func fill(in io.Reader, block []byte) ([]byte, error) {
	for {
		n, err := in.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err != nil || len(block) == cap(block) {
			return block, err
		}
	}
}

// readError returns ErrRefused instead of the error of a connection whose client has
// to give way.
func (b *Body) readError(err error) error {
	if b.conn != nil && b.conn.isEvicted() {
		return ErrRefused
	}
	return err
}

func (b *Body) reserve(ctx context.Context, n unit.Bytes, share float64, patient bool) error {
	b.reserved += n
	if b.conn == nil || n == 0 {
		return nil
	}
	return b.intake.reserve(ctx, b.conn, n, share, patient)
}

// Len returns the body's size.
func (b *Body) Len() int { return b.size }

// NewReader returns a reader of the body.
func (b *Body) NewReader() io.Reader {
	readers := make([]io.Reader, len(b.blocks))
	for i, block := range b.blocks {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// Join returns the body in one piece, and drops its blocks. The error is ErrRefused.
func (b *Body) Join(ctx context.Context) ([]byte, error) {
	if len(b.blocks) == 1 {
		return b.blocks[0], nil
	}
	size := unit.Bytes(b.size)
	if err := b.reserve(ctx, size, 1, false); err != nil {
		return nil, err
	}
	out := bytes.Join(b.blocks, nil)
	b.blocks = [][]byte{out}
	if b.conn != nil {
		b.intake.release(b.conn, size)
	}
	return out, nil
}

// Hold reserves n bytes more for a request that is carried out. The error is
// ErrRefused.
func Hold(ctx context.Context, n unit.Bytes) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.intake.reserve(ctx, c, n, 1, false)
}
