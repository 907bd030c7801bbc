package members

import (
	"encoding/binary"

	"cottonwell/internal/fleet/datagram"
)

// MsgKind is the kind of a message.
type MsgKind byte

// The kinds of messages.
const (
	Ping         MsgKind = 1 + iota // requests an Ack
	Ack                             // response to Ping
	IndirectPing                    // requests the recipient to ping Target for the sender
	IndirectAck                     // response to IndirectPing: Target responded
)

// Update is the state of one scheduler, as sent to others.
type Update struct {
	Member      uint16
	State       State
	Incarnation uint32
	Reporter    uint16 // Suspected: the latest independent reporter
}

// Msg is a message between schedulers about their states.
type Msg struct {
	Kind       MsgKind
	Seq        uint32
	Target     int
	NumUpdates int // used entries of Updates
	Updates    [maxUpdatesPerMsg]Update
}

func (msg *Msg) add(who int, member *member) {
	update := Update{Member: uint16(who), State: member.state, Incarnation: member.incarnation}
	if member.state == Suspected {
		update.Reporter = uint16(member.reporters[member.numReporters-1])
	}
	msg.Updates[msg.NumUpdates] = update
	msg.NumUpdates++
}

// Version is the first byte of a datagram with a members message.
const Version = 0x50

const (
	fixedSize  = 1 + 4 + 2
	updateSize = 9
)

// Append encodes a message as a datagram and appends it to raw. digest is the hash of the
// configuration that must be equal on both ends.
func (msg *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(datagram.Begin(raw, Version, digest), byte(msg.Kind))
	raw = binary.LittleEndian.AppendUint32(raw, msg.Seq)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(msg.Target))
	for _, r := range msg.Updates[:msg.NumUpdates] {
		raw = binary.LittleEndian.AppendUint16(raw, r.Member)
		raw = append(raw, byte(r.State))
		raw = binary.LittleEndian.AppendUint32(raw, r.Incarnation)
		raw = binary.LittleEndian.AppendUint16(raw, r.Reporter)
	}
	return datagram.Seal(raw)
}

// Parse decodes a datagram.
func (msg *Msg) Parse(raw []byte, digest uint32) error {
	body, err := datagram.Open(raw, Version, digest)
	if err != nil {
		return err
	}
	if len(body) < fixedSize || (len(body)-fixedSize)%updateSize != 0 || (len(body)-fixedSize)/updateSize > maxUpdatesPerMsg || body[0] < byte(Ping) || body[0] > byte(IndirectAck) {
		return datagram.ErrInvalid
	}
	msg.Kind, msg.Seq, msg.Target, msg.NumUpdates = MsgKind(body[0]), binary.LittleEndian.Uint32(body[1:]), int(binary.LittleEndian.Uint16(body[5:])), 0
	for body = body[fixedSize:]; len(body) > 0; body = body[updateSize:] {
		if State(body[2]) > Left {
			return datagram.ErrInvalid
		}
		msg.Updates[msg.NumUpdates] = Update{binary.LittleEndian.Uint16(body), State(body[2]), binary.LittleEndian.Uint32(body[3:]), binary.LittleEndian.Uint16(body[7:])}
		msg.NumUpdates++
	}
	return nil
}
