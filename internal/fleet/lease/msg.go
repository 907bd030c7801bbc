package lease

import (
	"encoding/binary"

	"cottonwell/internal/fleet/datagram"
)

// MsgKind is the kind of a message.
type MsgKind byte

// The kinds of messages.
const (
	Query    MsgKind = 1 + iota // to a voter: request the current holder; grants nothing
	Free                        // from a voter: no holder is known; Number is the newest known
	Request                     // to a voter: request a grant under Number, for Seq
	Grant                       // from a voter: granted under Number, for Seq
	Held                        // from a voter: Holder holds the duty under Number for Remaining
	Stale                       // from a voter: refused, because Number was already used
	Quiet                       // from a voter: recently started, grants nothing for Remaining
	Release                     // to a voter: the grants for Seq and before are void
	Handover                    // to a successor: the duty is free to request after Remaining; Note is from the holder
	Announce                    // to all live members: the sender holds the duty for Remaining; acts under Number are sent in this form
	lastKind = Announce
)

// Msg is a message between schedulers about one duty.
type Msg struct {
	Kind      MsgKind
	Duty      uint32 // its ID
	RunID     uint32 // the requester's Config.RunID
	Seq       uint32 // the requester's sequence number
	Number    uint64
	Holder    int
	Remaining float64 // ms, encoded in steps of 2 ms
	Note      string
}

// Version is the first byte of a datagram with a lease message.
const Version = 0x51

// fixedSize is the size of an encoded message without Note, in bytes.
const fixedSize = 1 + 4 + 4 + 4 + 8 + 2 + 2

// Append encodes a message as a datagram and appends it to raw. digest is the hash of the
// configuration that must be equal on both ends.
func (msg *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(datagram.Begin(raw, Version, digest), byte(msg.Kind))
	raw = binary.LittleEndian.AppendUint32(raw, msg.Duty)
	raw = binary.LittleEndian.AppendUint32(raw, msg.RunID)
	raw = binary.LittleEndian.AppendUint32(raw, msg.Seq)
	raw = binary.LittleEndian.AppendUint64(raw, msg.Number)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(msg.Holder))
	raw = binary.LittleEndian.AppendUint16(raw, uint16(min(65535, max(0, msg.Remaining/2+0.5))))
	return datagram.Seal(append(raw, msg.Note[:min(len(msg.Note), MaxNoteBytes)]...))
}

// Parse decodes a datagram.
func (msg *Msg) Parse(raw []byte, digest uint32) error {
	body, err := datagram.Open(raw, Version, digest)
	if err != nil {
		return err
	}
	if len(body) < fixedSize || len(body) > fixedSize+MaxNoteBytes || body[0] < byte(Query) || body[0] > byte(lastKind) {
		return datagram.ErrInvalid
	}
	*msg = Msg{Kind: MsgKind(body[0]), Duty: binary.LittleEndian.Uint32(body[1:]), RunID: binary.LittleEndian.Uint32(body[5:]),
		Seq: binary.LittleEndian.Uint32(body[9:]), Number: binary.LittleEndian.Uint64(body[13:]), Holder: int(binary.LittleEndian.Uint16(body[21:])),
		Remaining: 2 * float64(binary.LittleEndian.Uint16(body[23:]))}
	if len(body) > fixedSize {
		msg.Note = string(body[fixedSize:])
	}
	return nil
}
