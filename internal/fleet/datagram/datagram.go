// Package datagram encodes the common header of all fleet datagrams: a version byte, a checksum, and a
// digest of the configuration that must be equal on both ends. Open rejects datagrams that are
// truncated, corrupted, of another version, or from a scheduler with another configuration. The
// package does not interpret the body.
package datagram

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// MaxSize is the maximum size of a datagram in bytes, as set by the platform.
const MaxSize = 256

// HeaderSize is the size of the header in bytes.
const HeaderSize = 9

// ErrInvalid is returned for a datagram that is malformed, or of another version or fleet.
var ErrInvalid = errors.New("fleet: datagram is malformed, or of another version or fleet")

// Begin appends a header without checksum to raw. The caller appends the body and calls Seal.
func Begin(raw []byte, version byte, digest uint32) []byte {
	return binary.LittleEndian.AppendUint32(append(raw, version, 0, 0, 0, 0), digest)
}

// Seal sets the checksum of a datagram.
func Seal(raw []byte) []byte {
	binary.LittleEndian.PutUint32(raw[1:], crc32.ChecksumIEEE(raw[5:]))
	return raw
}

// Open validates a datagram and returns its body.
func Open(raw []byte, version byte, digest uint32) (body []byte, err error) {
	if len(raw) < HeaderSize || len(raw) > MaxSize || raw[0] != version || crc32.ChecksumIEEE(raw[5:]) != binary.LittleEndian.Uint32(raw[1:]) ||
		binary.LittleEndian.Uint32(raw[5:]) != digest {
		return nil, ErrInvalid
	}
	return raw[HeaderSize:], nil
}
