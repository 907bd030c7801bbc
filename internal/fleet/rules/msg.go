package rules

import (
	"bytes"
	"encoding/binary"

	"cottonwell/internal/fleet/frame"
)

// MsgKind tells messages apart.
type MsgKind byte

// The kinds of messages.
const (
	Ask     MsgKind = 1 + iota // to the publisher: what is in force? I act on Version; I looked at Doc, and Reason is wrong with it
	Grant                      // its answer to Seq: act on Version. Doc is proposed
	Want                       // send me the Missing pieces of Doc
	Piece                      // the piece I of N of Doc
	Offer                      // to the publisher: put Doc in force
	Outcome                    // its answer: Doc is put aside, as Who says Reason
	lastMsg = Outcome
)

// PieceSize is how much of a document one datagram holds.
const PieceSize = 200

// maxPieces is how many pieces a document has at most; Missing has a bit for each.
const maxPieces = (MaxBytes + PieceSize - 1) / PieceSize

// Msg is what schedulers say of the rules.
type Msg struct {
	Kind    MsgKind
	Valid   bool // Ask: the permission for Version has not ended
	Life    uint32
	Seq     uint32
	Version Version
	Doc     Digest
	Duty    uint64 // Ask: the publisher's number, as the asker knows it
	Who     int
	Missing uint64
	I, N    int
	Reason  string
	Data    []byte
}

// Format is the first byte of a datagram that holds such a message.
const Format = 0x54

const fixed = 1 + 1 + 4 + 4 + 3*8 + 8 + 8 + 2

// Append writes a message as a datagram. Digest is of what must be the same at both ends.
func (x *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(frame.Begin(raw, Format, digest), byte(x.Kind))
	le := binary.LittleEndian
	switch x.Kind {
	case Want:
		raw = le.AppendUint64(le.AppendUint64(raw, uint64(x.Doc)), x.Missing)
	case Piece:
		raw = append(le.AppendUint64(raw, uint64(x.Doc)), byte(x.I), byte(x.N))
		raw = append(raw, x.Data[:min(len(x.Data), PieceSize)]...)
	default:
		valid := byte(0)
		if x.Valid {
			valid = 1
		}
		raw = append(raw, valid)
		raw = le.AppendUint32(raw, x.Life)
		raw = le.AppendUint32(raw, x.Seq)
		for _, v := range []uint64{x.Version.Number, uint64(x.Version.A), uint64(x.Version.B), uint64(x.Doc), x.Duty} {
			raw = le.AppendUint64(raw, v)
		}
		raw = le.AppendUint16(raw, uint16(x.Who))
		raw = append(raw, x.Reason[:min(len(x.Reason), MaxReason)]...)
	}
	return frame.Seal(raw)
}

// Parse reads a datagram. It keeps nothing of it.
func (x *Msg) Parse(raw []byte, digest uint32) error {
	b, err := frame.Open(raw, Format, digest)
	if err != nil {
		return err
	}
	if len(b) < 1 || b[0] < byte(Ask) || b[0] > byte(lastMsg) {
		return frame.ErrInvalid
	}
	le := binary.LittleEndian
	*x = Msg{Kind: MsgKind(b[0])}
	switch x.Kind {
	case Want:
		if len(b) != 17 {
			return frame.ErrInvalid
		}
		x.Doc, x.Missing = Digest(le.Uint64(b[1:])), le.Uint64(b[9:])
	case Piece:
		if len(b) < 12 || len(b) > 11+PieceSize || int(b[9]) >= int(b[10]) || int(b[10]) > maxPieces {
			return frame.ErrInvalid
		}
		x.Doc, x.I, x.N, x.Data = Digest(le.Uint64(b[1:])), int(b[9]), int(b[10]), bytes.Clone(b[11:])
	default:
		if len(b) < fixed || len(b) > fixed+MaxReason || b[1] > 1 {
			return frame.ErrInvalid
		}
		x.Valid, x.Life, x.Seq = b[1] == 1, le.Uint32(b[2:]), le.Uint32(b[6:])
		x.Version = Version{le.Uint64(b[10:]), Digest(le.Uint64(b[18:])), Digest(le.Uint64(b[26:]))}
		x.Doc, x.Duty, x.Who, x.Reason = Digest(le.Uint64(b[34:])), le.Uint64(b[42:]), int(le.Uint16(b[50:])), string(b[fixed:])
	}
	return nil
}
