// Package buffer holds bytes in buffers of one size that are used again from a pool.
// A body is a chain of them.
package buffer

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// Size is the size of every buffer.
	Size = 8 << 10
	// MaxBody is the longest body that any front takes.
	MaxBody = 64 << 10
)

// ErrTooLarge says that a body is longer than MaxBody.
var ErrTooLarge = errors.New("body is longer than 64 KiB")

// Pool hands out buffers.
type Pool struct {
	free sync.Pool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{free: sync.Pool{New: func() any { return new([Size]byte) }}}
}

// Get returns a buffer, its content undefined.
func (p *Pool) Get() *[Size]byte { return p.free.Get().(*[Size]byte) }

// Put takes a buffer back; nobody may hold on to it.
func (p *Pool) Put(b *[Size]byte) { p.free.Put(b) }

// Body is a chain of buffers that several holders share. Its first holder has it from
// Read or FromBytes; each further one calls Retain, and every holder calls Release once.
type Body struct {
	pool   *Pool
	chunks []*[Size]byte
	n      int
	refs   atomic.Int32
}

// Read takes the whole of r into a body, or returns ErrTooLarge.
func (p *Pool) Read(r io.Reader) (*Body, error) {
	b := &Body{pool: p}
	b.refs.Store(1)
	for {
		if b.n == len(b.chunks)*Size {
			b.chunks = append(b.chunks, p.Get())
		}
		m, err := r.Read(b.chunks[b.n/Size][b.n%Size:])
		b.n += m
		switch {
		case b.n > MaxBody:
			b.Release()
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.Release()
			return nil, err
		}
	}
}

// FromBytes copies data into a body.
func (p *Pool) FromBytes(data []byte) (*Body, error) { return p.Read(bytes.NewReader(data)) }

// Len is the number of bytes.
func (b *Body) Len() int { return b.n }

// Retain adds a holder.
func (b *Body) Retain() { b.refs.Add(1) }

// Release ends one holder's use; the buffers go back after the last.
func (b *Body) Release() {
	if b.refs.Add(-1) != 0 {
		return
	}
	for _, c := range b.chunks {
		b.pool.Put(c)
	}
	b.chunks, b.n = nil, 0
}

// Slices returns the bytes in order, good until Release.
func (b *Body) Slices() [][]byte {
	var out [][]byte
	for i, left := 0, b.n; left > 0; i++ {
		m := min(left, Size)
		out = append(out, b.chunks[i][:m])
		left -= m
	}
	return out
}

// Reader reads the bytes from the start.
func (b *Body) Reader() io.Reader {
	var parts []io.Reader
	for _, s := range b.Slices() {
		parts = append(parts, bytes.NewReader(s))
	}
	return io.MultiReader(parts...)
}
