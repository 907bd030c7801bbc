package rules

import (
	"bytes"
	"encoding/binary"

	"cottonwell/internal/fleet/datagram"
)

// MsgKind is the kind of a message.
type MsgKind byte

// The kinds of messages.
const (
	Request      MsgKind = 1 + iota // to the publisher: requests the version in force; the sender acts on Version and checked Doc, with error Reason
	Grant                           // response to Seq: the receiver may act on Version; Doc is proposed
	PieceRequest                    // requests the Missing pieces of Doc
	Piece                           // piece Index of NumPieces of Doc
	Offer                           // to the publisher: requests that Doc be put into force
	Outcome                         // response to Offer: Doc is dropped, because Scheduler refuses it for Reason
	lastKind     = Outcome
)

// PieceSize is the maximum number of bytes of a document in one datagram.
const PieceSize = 200

// maxPieces is the maximum number of pieces of a document. Msg.Missing has one bit for each.
const maxPieces = (MaxBytes + PieceSize - 1) / PieceSize

// Msg is a message between schedulers about the agreed settings.
type Msg struct {
	Kind             MsgKind
	Valid            bool // Request: the permission for Version has not expired
	RunID            uint32
	Seq              uint32
	Version          Version
	Doc              Digest
	Duty             uint64 // Request: the publisher's number, as known to the sender
	Scheduler        int
	Missing          uint64
	Index, NumPieces int
	Reason           string
	Data             []byte
}

// Format is the first byte of a datagram with a rules message.
const Format = 0x54

const fixedSize = 1 + 1 + 4 + 4 + 3*8 + 8 + 8 + 2

// Append encodes a message as a datagram and appends it to raw. digest is the hash of the
// configuration that must be equal on both ends.
func (msg *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(datagram.Begin(raw, Format, digest), byte(msg.Kind))
	le := binary.LittleEndian
	switch msg.Kind {
	case PieceRequest:
		raw = le.AppendUint64(le.AppendUint64(raw, uint64(msg.Doc)), msg.Missing)
	case Piece:
		raw = append(le.AppendUint64(raw, uint64(msg.Doc)), byte(msg.Index), byte(msg.NumPieces))
		raw = append(raw, msg.Data[:min(len(msg.Data), PieceSize)]...)
	default:
		valid := byte(0)
		if msg.Valid {
			valid = 1
		}
		raw = append(raw, valid)
		raw = le.AppendUint32(raw, msg.RunID)
		raw = le.AppendUint32(raw, msg.Seq)
		for _, v := range []uint64{msg.Version.Number, uint64(msg.Version.A), uint64(msg.Version.B), uint64(msg.Doc), msg.Duty} {
			raw = le.AppendUint64(raw, v)
		}
		raw = le.AppendUint16(raw, uint16(msg.Scheduler))
		raw = append(raw, msg.Reason[:min(len(msg.Reason), MaxReasonBytes)]...)
	}
	return datagram.Seal(raw)
}

// Parse decodes a datagram and retains no reference to it.
func (msg *Msg) Parse(raw []byte, digest uint32) error {
	body, err := datagram.Open(raw, Format, digest)
	if err != nil {
		return err
	}
	if len(body) < 1 || body[0] < byte(Request) || body[0] > byte(lastKind) {
		return datagram.ErrInvalid
	}
	le := binary.LittleEndian
	*msg = Msg{Kind: MsgKind(body[0])}
	switch msg.Kind {
	case PieceRequest:
		if len(body) != 17 {
			return datagram.ErrInvalid
		}
		msg.Doc, msg.Missing = Digest(le.Uint64(body[1:])), le.Uint64(body[9:])
	case Piece:
		if len(body) < 12 || len(body) > 11+PieceSize || int(body[9]) >= int(body[10]) || int(body[10]) > maxPieces {
			return datagram.ErrInvalid
		}
		msg.Doc, msg.Index, msg.NumPieces, msg.Data = Digest(le.Uint64(body[1:])), int(body[9]), int(body[10]), bytes.Clone(body[11:])
	default:
		if len(body) < fixedSize || len(body) > fixedSize+MaxReasonBytes || body[1] > 1 {
			return datagram.ErrInvalid
		}
		msg.Valid, msg.RunID, msg.Seq = body[1] == 1, le.Uint32(body[2:]), le.Uint32(body[6:])
		msg.Version = Version{le.Uint64(body[10:]), Digest(le.Uint64(body[18:])), Digest(le.Uint64(body[26:]))}
		msg.Doc, msg.Duty, msg.Scheduler, msg.Reason = Digest(le.Uint64(body[34:])), le.Uint64(body[42:]), int(le.Uint16(body[50:])), string(body[fixedSize:])
	}
	return nil
}
