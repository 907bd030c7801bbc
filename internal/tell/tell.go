// Package tell is the form of the datagrams by which schedulers of one tier tell one another
// what they have out and what room they hold. It is pure text work: who sends them, and when,
// is decided elsewhere.
//
// A datagram that tells all is at most 256 bytes: the version, 1, and groups of three bytes. First come the
// loads, a group for each target: two bytes of the hash of its name, and slots. A group of
// zeros ends them. Then come the holds, two groups for each:
//
//	name (2)  slots out and held together
//	held, from (8 ms units)  0
//
// A scheduler that knows loads alone reads the last group that names a target, so that it
// takes held room for load, and leaves it alone; it takes the second group for a target
// without load. Should that group happen to spell a target's name (one chance in 65,536 for
// each target and hold), it sees that target without this scheduler's work until the next
// datagram. Loads sent by such a scheduler never hold a group of zeros.
//
// Between two of these, a datagram of version 2 tells what changed: groups of three bytes, where
// no slots mean that nothing is out there any more. A scheduler that does not know it counts it as
// strange and believes what it was told last; one that lost it is put right by the next whole one.
package tell

import (
	"errors"
	"hash/fnv"
	"math"
)

// MaxSize is the longest datagram that the platform allows, in bytes.
const MaxSize = 256

const (
	version  = 1
	changes  = 2 // the version that tells changes alone
	group    = 3
	fromUnit = 8 // milliseconds
	// MaxHolds is how many holds a datagram tells; further ones wait for the next.
	MaxHolds = 8
)

// Name is what a datagram calls a target.
type Name uint16

// NameOf hashes a target's name. Two targets may share one.
func NameOf(target string) Name {
	h := fnv.New32a()
	h.Write([]byte(target))
	return Name(h.Sum32() >> 8)
}

// Load is the slots that a scheduler has out at a target.
type Load struct {
	Target Name
	Slots  float64
}

// Hold is room that a scheduler holds at a target.
type Hold struct {
	Target Name
	Slots  float64 // held, for one flow
	Out    float64 // out there besides; only Append reads it
	From   float64 // milliseconds from the sending until it is needed, up to 2,040
}

// Message is what a datagram says.
type Message struct {
	// Part says that Loads are changes alone, where a load of no slots is one that ended, and
	// targets that are not named have what they had.
	Part  bool
	Loads []Load
	Holds []Hold
}

// ErrForm marks a datagram that is none of this version.
var ErrForm = errors.New("tell: not a datagram of this version")

// Append writes a message. Holds come first where there is not room for all, as loads are
// seen in reports, too; of either, what does not fit is left out.
func Append(raw []byte, m *Message) []byte {
	holds := m.Holds[:min(len(m.Holds), MaxHolds)]
	room := MaxSize - 1
	if len(holds) > 0 {
		room -= group * (1 + 2*len(holds))
	}
	raw = append(raw, version)
	for _, l := range m.Loads[:min(len(m.Loads), room/group)] {
		raw = append(raw, byte(l.Target), byte(l.Target>>8), count(l.Slots))
	}
	if len(holds) == 0 {
		return raw
	}
	raw = append(raw, 0, 0, 0)
	for _, h := range holds {
		raw = append(raw, byte(h.Target), byte(h.Target>>8), count(h.Out+h.Slots),
			count(h.Slots), byte(min(255, max(0, math.Round(h.From/fromUnit)))), 0)
	}
	return raw
}

// AppendPart writes a message of changes. What does not fit is left out: the next whole message
// mends that.
func AppendPart(raw []byte, loads []Load) []byte {
	raw = append(raw, changes)
	for _, l := range loads[:min(len(loads), (MaxSize-1)/group)] {
		n := byte(0)
		if l.Slots > 0 {
			n = count(l.Slots)
		}
		raw = append(raw, byte(l.Target), byte(l.Target>>8), n)
	}
	return raw
}

// count is a number of slots as a byte, 1 at least: 0 has a meaning of its own.
func count(slots float64) byte { return byte(min(255, max(1, math.Ceil(slots)))) }

// Parse reads a datagram into m, whose slices it uses again.
func Parse(raw string, m *Message) error {
	m.Loads, m.Holds, m.Part = m.Loads[:0], m.Holds[:0], false
	if len(raw)%group != 1 || len(raw) > MaxSize || raw[0] != version && raw[0] != changes {
		return ErrForm
	}
	m.Part = raw[0] == changes
	at := 1
	for ; at < len(raw); at += group {
		if raw[at+2] == 0 && !m.Part {
			break
		}
		m.Loads = append(m.Loads, Load{name(raw[at:]), float64(raw[at+2])})
	}
	if at == len(raw) {
		return nil
	}
	// Whatever is no hold to the last byte is none at all: the loads before it still count.
	rest := raw[at:]
	if rest[0] != 0 || rest[1] != 0 || (len(rest)-group)%(2*group) != 0 || (len(rest)-group)/(2*group) > MaxHolds {
		return ErrForm
	}
	for rest = rest[group:]; len(rest) > 0; rest = rest[2*group:] {
		h := Hold{Target: name(rest), Slots: float64(rest[3]), From: fromUnit * float64(rest[4])}
		if rest[2] == 0 || rest[3] == 0 || rest[5] != 0 || rest[3] > rest[2] {
			m.Holds = m.Holds[:0]
			return ErrForm
		}
		m.Holds = append(m.Holds, h)
	}
	return nil
}

func name(s string) Name { return Name(s[0]) | Name(s[1])<<8 }
