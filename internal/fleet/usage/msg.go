package usage

import (
	"encoding/binary"
	"math"

	"cottonwell/internal/fleet/datagram"
)

// MsgKind is the kind of a message.
type MsgKind byte

// The kinds of messages.
const (
	Usage     MsgKind = 1 + iota // to the usage aggregator: the sender's requests per second, by tenant
	Fractions                    // to all: the fraction of each tenant's requests that is within its share
)

// Msg is a message between schedulers about tenants.
type Msg struct {
	Kind       MsgKind
	TenantsKey uint32    // hash of the tenants' names
	Number     uint64    // Fractions: the usage aggregator's fencing number; Usage: the sender's Config.RunID
	Seq        uint32    // the sender's sequence number
	Lasts      float64   // ms, encoded in steps of 2 ms
	Figures    []float32 // by tenant; Usage: requests per second; Fractions: from 0 to 1
}

// Version is the first byte of a datagram with a usage message.
const Version = 0x53

const fixedSize = 1 + 4 + 8 + 4 + 2

// Append encodes a message as a datagram and appends it to raw. digest is the hash of the
// configuration that must be equal on both ends.
func (msg *Msg) Append(raw []byte, digest uint32) []byte {
	raw = append(datagram.Begin(raw, Version, digest), byte(msg.Kind))
	raw = binary.LittleEndian.AppendUint32(raw, msg.TenantsKey)
	raw = binary.LittleEndian.AppendUint64(raw, msg.Number)
	raw = binary.LittleEndian.AppendUint32(raw, msg.Seq)
	raw = binary.LittleEndian.AppendUint16(raw, uint16(min(65535, max(0, msg.Lasts/2+0.5))))
	for _, f := range msg.Figures[:min(len(msg.Figures), MaxTenants)] {
		raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(f))
	}
	return datagram.Seal(raw)
}

// Parse decodes a datagram and retains no reference to it. A figure that is negative, not a number or
// too large makes the datagram invalid.
func (msg *Msg) Parse(raw []byte, digest uint32) error {
	body, err := datagram.Open(raw, Version, digest)
	if err != nil {
		return err
	}
	n := (len(body) - fixedSize) / 4
	if len(body) <= fixedSize || len(body) != fixedSize+4*n || n > MaxTenants || body[0] < byte(Usage) || body[0] > byte(Fractions) {
		return datagram.ErrInvalid
	}
	*msg = Msg{Kind: MsgKind(body[0]), TenantsKey: binary.LittleEndian.Uint32(body[1:]), Number: binary.LittleEndian.Uint64(body[5:]), Seq: binary.LittleEndian.Uint32(body[13:]),
		Lasts: 2 * float64(binary.LittleEndian.Uint16(body[17:])), Figures: msg.Figures[:0]}
	for body = body[fixedSize:]; len(body) > 0; body = body[4:] {
		f := math.Float32frombits(binary.LittleEndian.Uint32(body))
		if !(f >= 0 && f < 1e9) {
			return datagram.ErrInvalid
		}
		msg.Figures = append(msg.Figures, f)
	}
	return nil
}
