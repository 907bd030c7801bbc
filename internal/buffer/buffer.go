// Package buffer stores bytes, such as the bodies of requests, in fixed-size buffers that are reused.
//
// A Pool provides the buffers. Pool.Read, Pool.FromBytes and Pool.FromString copy up to MaxBody bytes into a Body, which is a chain of
// buffers with a reference count. When the last holder releases the Body, its buffers return to the pool. The package does
// not interpret the bytes.
package buffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	// Size is the size of every buffer in bytes.
	Size = 8 << 10
	// MaxBody is the maximum length of a body in bytes, for every listener.
	MaxBody = 64 << 10
)

// Errors of a body that is not read.
var (
	ErrTooLarge = errors.New("body is longer than 64 KiB")
	ErrNoMemory = errors.New("bodies hold as much memory as they may")
)

// reservedDivisor is the part of a limit, as a divisor, that is kept for the first buffers of bodies. So small bodies find room
// however many large ones there are.
const reservedDivisor = 8

// Limit bounds the memory of many bodies together. A nil Limit is none.
type Limit struct {
	max  int64
	used atomic.Int64 // bytes
}

// NewLimit returns a limit of so many bytes.
func NewLimit(bytes int) *Limit { return &Limit{max: int64(bytes)} }

// charge takes one buffer for a body. It reports false if there is no room.
func (l *Limit) charge(first bool) bool {
	if l == nil {
		return true
	}
	most := l.max
	if !first {
		most -= l.max / reservedDivisor
	}
	if l.used.Add(Size) > most {
		l.release(1)
		return false
	}
	return true
}

// release returns the memory of so many buffers.
func (l *Limit) release(buffers int) {
	if l != nil {
		l.used.Add(-int64(buffers * Size))
	}
}

// Pool is a pool of reusable buffers.
type Pool struct {
	free sync.Pool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{free: sync.Pool{New: func() any { return new([Size]byte) }}}
}

// Get returns a buffer with undefined content.
func (p *Pool) Get() *[Size]byte { return p.free.Get().(*[Size]byte) }

// Put returns a buffer to the pool. The caller must not use it afterwards.
func (p *Pool) Put(b *[Size]byte) { p.free.Put(b) }

// Body is a chain of buffers that several holders share. Read and FromBytes return it to its first holder. Each further
// holder calls Retain, and every holder calls Release once.
type Body struct {
	pool     *Pool
	limit    *Limit // that the chunks count against; may be nil
	chunks   []*[Size]byte
	length   int
	refCount atomic.Int32
}

// Read reads all of r into a body. It returns ErrTooLarge if r is longer than MaxBody.
func (p *Pool) Read(r io.Reader) (*Body, error) { return p.ReadWithin(nil, r) }

// ReadWithin is Read for a body that counts against a limit. It returns ErrNoMemory at the limit.
func (p *Pool) ReadWithin(limit *Limit, r io.Reader) (*Body, error) {
	b := &Body{pool: p, limit: limit}
	b.refCount.Store(1)
	for {
		if b.length == len(b.chunks)*Size {
			if !limit.charge(b.length == 0) {
				b.Release()
				return nil, ErrNoMemory
			}
			b.chunks = append(b.chunks, p.Get())
		}
		count, err := r.Read(b.chunks[b.length/Size][b.length%Size:])
		b.length += count
		switch {
		case b.length > MaxBody:
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

// FromString copies data into a body.
func (p *Pool) FromString(data string) (*Body, error) { return p.Read(strings.NewReader(data)) }

// Len returns the length of the body in bytes.
func (b *Body) Len() int { return b.length }

// Retain adds a holder.
func (b *Body) Retain() { b.refCount.Add(1) }

// Release ends one holder's use. The last Release returns the buffers to the pool.
func (b *Body) Release() {
	if b.refCount.Add(-1) != 0 {
		return
	}
	for _, c := range b.chunks {
		b.pool.Put(c)
	}
	b.limit.release(len(b.chunks))
	b.chunks, b.length = nil, 0
}

// Slices returns the bytes in order. The slices are valid until the holder calls Release.
func (b *Body) Slices() [][]byte {
	var out [][]byte
	for i, remaining := 0, b.length; remaining > 0; i++ {
		chunkLength := min(remaining, Size)
		out = append(out, b.chunks[i][:chunkLength])
		remaining -= chunkLength
	}
	return out
}

// Reader returns a reader of the bytes from the start.
func (b *Body) Reader() io.Reader {
	var parts []io.Reader
	for _, s := range b.Slices() {
		parts = append(parts, bytes.NewReader(s))
	}
	return io.MultiReader(parts...)
}
