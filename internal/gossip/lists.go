package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Two more forms of datagrams serve schedulers that discovery does not answer. A question, version 32:
//
//	32  process (4)  asked at (8)  age (2)  digest (8)
//
// and two answers to it, which repeat what tells the question. Version 33 says that all targets of the asker's digest serve
// but those that it names, version 34 that those that it names do:
//
//	33  process (4)  asked at (8)  age (2)  digest (8)  keys of targets (8 each)
//	34  process (4)  asked at (8)  age (2)  0 (8)       keys of targets (8 each)
//
// Numbers are little-endian. A scheduler that does not know them counts them as unreadable.
const (
	listQuestion = 32
	listExcept   = 33
	listNames    = 34
	listHeader   = 23 // bytes, of each
	keySize      = 8
	// MaxKeys is how many targets an answer names at the most.
	MaxKeys = (MaxSize - listHeader) / keySize
	// MaxAge is the longest age that is told, in milliseconds. It also stands for all that are longer.
	MaxAge = math.MaxUint16
)

// Key stands for a target of the list since a start of it.
type Key uint64

// KeyOf hashes a target's name and its last start, in milliseconds since the Unix epoch. Of 3,200 targets two share one in
// some 3 million million fleets.
func KeyOf(target string, startedMS float64) Key {
	h := fnv.New64a()
	h.Write([]byte(target))
	h.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(startedMS)))
	return Key(h.Sum64())
}

// DigestOf stands for a set of targets, in the order of their keys.
func DigestOf(keys []Key) uint64 {
	h := fnv.New64a()
	for _, k := range keys {
		h.Write(binary.LittleEndian.AppendUint64(nil, uint64(k)))
	}
	return h.Sum64()
}

// ListQuestion asks another scheduler for a younger word of discovery on which targets serve.
type ListQuestion struct {
	Process uint32  // drawn by the asking process; another one of the same name has another
	AskedAt uint64  // when it was sent, in microseconds on the asker's clock; nobody else reads it
	Age     float64 // ms since the asker's own last word of discovery, rounded up
	Digest  uint64  // of the targets that serve by its list
}

// ListAnswer is the word of discovery that another scheduler has on which targets serve.
type ListAnswer struct {
	Process uint32 // of the question
	AskedAt uint64 // of the question
	Age     float64
	Except  bool   // all of Digest but those of Keys; else those of Keys, and of others nothing is said
	Digest  uint64 // of the question
	Keys    []Key  // MaxKeys at the most
}

// IsAboutLists says whether a datagram is a question or an answer on lists.
func IsAboutLists(raw string) bool {
	return len(raw) > 0 && raw[0] >= listQuestion && raw[0] <= listNames
}

// Append writes the question.
func (q *ListQuestion) Append(raw []byte) []byte {
	return appendList(raw, listQuestion, q.Process, q.AskedAt, q.Age, q.Digest)
}

// Append writes the answer.
func (a *ListAnswer) Append(raw []byte) []byte {
	if a.Except {
		raw = appendList(raw, listExcept, a.Process, a.AskedAt, a.Age, a.Digest)
	} else {
		raw = appendList(raw, listNames, a.Process, a.AskedAt, a.Age, 0)
	}
	for _, k := range a.Keys {
		raw = binary.LittleEndian.AppendUint64(raw, uint64(k))
	}
	return raw
}

func appendList(raw []byte, version byte, process uint32, askedAt uint64, age float64, digest uint64) []byte {
	raw = binary.LittleEndian.AppendUint32(append(raw, version), process)
	raw = binary.LittleEndian.AppendUint64(raw, askedAt)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(min(MaxAge, max(0, math.Ceil(age)))))
	return binary.LittleEndian.AppendUint64(raw, digest)
}

// ParseList reads a question or an answer; the other is nil. Anything else is ErrForm.
func ParseList(raw string) (*ListQuestion, *ListAnswer, error) {
	if len(raw) < listHeader || len(raw) > MaxSize || (len(raw)-listHeader)%keySize != 0 {
		return nil, nil, ErrForm
	}
	b := []byte(raw)
	process, askedAt := binary.LittleEndian.Uint32(b[1:]), binary.LittleEndian.Uint64(b[5:])
	age, digest := float64(binary.LittleEndian.Uint16(b[13:])), binary.LittleEndian.Uint64(b[15:])
	switch {
	case raw[0] == listQuestion && len(raw) == listHeader:
		return &ListQuestion{process, askedAt, age, digest}, nil, nil
	case raw[0] == listExcept, raw[0] == listNames:
		a := &ListAnswer{Process: process, AskedAt: askedAt, Age: age, Except: raw[0] == listExcept, Digest: digest}
		for b = b[listHeader:]; len(b) > 0; b = b[keySize:] {
			a.Keys = append(a.Keys, Key(binary.LittleEndian.Uint64(b)))
		}
		return nil, a, nil
	}
	return nil, nil, ErrForm
}
