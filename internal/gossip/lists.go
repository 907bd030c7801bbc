package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Versions 32 to 34 are for schedulers that get no response from discovery. Version 32 is a request:
//
//	32  process (4)  sent at (8)  age (2)  digest (8)
//
// Versions 33 and 34 are the responses, which repeat the fields that identify the request. Version 33 states
// that all targets of the request's digest are serving except the listed ones. Version 34 states that the
// listed targets are serving:
//
//	33  process (4)  sent at (8)  age (2)  digest (8)  keys of targets (8 each)
//	34  process (4)  sent at (8)  age (2)  0 (8)       keys of targets (8 each)
//
// Numbers are little-endian. A scheduler that does not know these versions counts them as unreadable.
const (
	versionListRequest = 32
	versionListExcept  = 33
	versionListOnly    = 34
	listHeaderSize     = 23 // bytes, of each version
	keySize            = 8  // bytes
	// MaxKeys is the maximum number of targets in a response.
	MaxKeys = (MaxSize - listHeaderSize) / keySize
	// MaxAge is the highest age that can be encoded, in ms. It represents all higher ages too.
	MaxAge = math.MaxUint16
)

// Key identifies a listed target since one start of it.
type Key uint64

// KeyOf hashes a target's name and its last start, in ms since the Unix epoch. In one of about 3 million
// million fleets of 3,200 targets, two targets get the same key.
func KeyOf(target string, startedMS float64) Key {
	h := fnv.New64a()
	h.Write([]byte(target))
	h.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(startedMS)))
	return Key(h.Sum64())
}

// DigestOf hashes a set of targets, given as sorted keys.
func DigestOf(keys []Key) uint64 {
	h := fnv.New64a()
	for _, k := range keys {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(k)))
	}
	return h.Sum64()
}

// ListRequest requests from another scheduler a newer list of the serving targets, as reported by discovery.
type ListRequest struct {
	Process uint32  // random number of the requesting process; a later process of the same name has another
	SentAt  uint64  // when it was sent, in µs on the requester's clock; only the requester uses it
	Age     float64 // ms since the requester's own last report of discovery, rounded up
	Digest  uint64  // of the serving targets in the requester's list
}

// ListResponse is another scheduler's latest report of discovery about the serving targets.
type ListResponse struct {
	Process       uint32  // of the request
	RequestSentAt uint64  // of the request
	Age           float64 // ms since the report of discovery
	Except        bool    // all targets of Digest serve except Keys; otherwise Keys serve, and the others are unknown
	Digest        uint64  // of the request
	Keys          []Key   // at most MaxKeys
}

// IsListMessage reports whether a datagram is a request or a response about lists.
func IsListMessage(raw string) bool {
	return len(raw) > 0 && raw[0] >= versionListRequest && raw[0] <= versionListOnly
}

// Append appends the encoded request to raw.
func (q *ListRequest) Append(raw []byte) []byte {
	return appendListHeader(raw, versionListRequest, q.Process, q.SentAt, q.Age, q.Digest)
}

// Append appends the encoded response to raw.
func (a *ListResponse) Append(raw []byte) []byte {
	if a.Except {
		raw = appendListHeader(raw, versionListExcept, a.Process, a.RequestSentAt, a.Age, a.Digest)
	} else {
		raw = appendListHeader(raw, versionListOnly, a.Process, a.RequestSentAt, a.Age, 0)
	}
	for _, k := range a.Keys {
		raw = binary.LittleEndian.AppendUint64(raw, uint64(k))
	}
	return raw
}

func appendListHeader(raw []byte, version byte, process uint32, sentAt uint64, age float64, digest uint64) []byte {
	raw = binary.LittleEndian.AppendUint32(append(raw, version), process)
	raw = binary.LittleEndian.AppendUint64(raw, sentAt)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(min(MaxAge, max(0, math.Ceil(age)))))
	return binary.LittleEndian.AppendUint64(raw, digest)
}

// ParseList decodes a request or a response and returns nil for the other. It returns ErrFormat for
// anything else.
func ParseList(raw string) (*ListRequest, *ListResponse, error) {
	if len(raw) < listHeaderSize || len(raw) > MaxSize || (len(raw)-listHeaderSize)%keySize != 0 {
		return nil, nil, ErrFormat
	}
	b := []byte(raw)
	process, sentAt := binary.LittleEndian.Uint32(b[1:]), binary.LittleEndian.Uint64(b[5:])
	age, digest := float64(binary.LittleEndian.Uint16(b[13:])), binary.LittleEndian.Uint64(b[15:])
	switch {
	case raw[0] == versionListRequest && len(raw) == listHeaderSize:
		return &ListRequest{process, sentAt, age, digest}, nil, nil
	case raw[0] == versionListExcept, raw[0] == versionListOnly:
		a := &ListResponse{Process: process, RequestSentAt: sentAt, Age: age, Except: raw[0] == versionListExcept, Digest: digest}
		for b = b[listHeaderSize:]; len(b) > 0; b = b[keySize:] {
			a.Keys = append(a.Keys, Key(binary.LittleEndian.Uint64(b)))
		}
		return nil, a, nil
	}
	return nil, nil, ErrFormat
}
