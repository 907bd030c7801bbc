package health

import (
	"encoding/binary"

	"cottonwell/internal/fleet/datagram"
)

// MsgKind is the kind of a message.
type MsgKind byte

// The kinds of messages.
const (
	Suspicions MsgKind = 1 + iota // to the health checker: the sender took this target out of its selection
	Verdicts                      // to all: these targets are unhealthy, or healthy again
)

// Entry is a report about one target.
type Entry struct {
	Target  uint32 // the hash of its id
	Failing bool   // it responds, but fails; otherwise it does not respond
	Healthy bool
}

// Msg is a message between schedulers about targets.
type Msg struct {
	Kind    MsgKind
	Number  uint64  // the health checker's fencing number
	Seq     uint32  // of its messages under that number
	Lasts   float64 // ms, encoded in steps of 2 ms
	Entries []Entry
}

// Version is the first byte of a datagram with a health message.
const Version = 0x52

const (
	fixedSize = 1 + 8 + 4 + 2
	entrySize = 5
	// MaxEntries is the maximum number of targets in one message.
	MaxEntries = (datagram.MaxSize - datagram.HeaderSize - fixedSize) / entrySize
)

const (
	failingFlag = 1 << iota
	healthyFlag
)

// Append encodes a message as a datagram and appends it to raw. digest is the hash of the
// configuration that must be equal on both ends.
func (msg *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(datagram.Begin(raw, Version, digest), byte(msg.Kind))
	raw = binary.LittleEndian.AppendUint64(raw, msg.Number)
	raw = binary.LittleEndian.AppendUint32(raw, msg.Seq)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(min(65535, max(0, msg.Lasts/2+0.5))))
	for _, e := range msg.Entries[:min(len(msg.Entries), MaxEntries)] {
		raw = binary.LittleEndian.AppendUint32(raw, e.Target)
		raw = append(raw, byte(failingFlag*btoi(e.Failing)|healthyFlag*btoi(e.Healthy)))
	}
	return datagram.Seal(raw)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Parse decodes a datagram and retains no reference to it.
func (msg *Msg) Parse(raw []byte, digest uint32) error {
	body, err := datagram.Open(raw, Version, digest)
	if err != nil {
		return err
	}
	n := (len(body) - fixedSize) / entrySize
	if len(body) <= fixedSize || len(body) != fixedSize+n*entrySize || body[0] < byte(Suspicions) || body[0] > byte(Verdicts) || body[0] == byte(Suspicions) && n != 1 {
		return datagram.ErrInvalid
	}
	*msg = Msg{Kind: MsgKind(body[0]), Number: binary.LittleEndian.Uint64(body[1:]), Seq: binary.LittleEndian.Uint32(body[9:]),
		Lasts: 2 * float64(binary.LittleEndian.Uint16(body[13:])), Entries: msg.Entries[:0]}
	for body = body[fixedSize:]; len(body) > 0; body = body[entrySize:] {
		msg.Entries = append(msg.Entries, Entry{binary.LittleEndian.Uint32(body), body[4]&failingFlag != 0, body[4]&healthyFlag != 0})
	}
	return nil
}
