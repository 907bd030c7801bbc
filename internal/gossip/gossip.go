// Package gossip is the form of the datagrams by which schedulers of one tier tell one another
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
// unreadable and believes what it was told last; one that lost it is put right by the next whole one.
//
// Both forms would say what is not so where a target shares its two bytes with another listed one,
// and version 1 where not all fits, as what it leaves out is taken for idle. There version 3 is
// sent in place of either. It calls targets by four bytes, and says of which stretch of names it
// tells all; several of them tell a whole, each true by itself:
//
//	3  number of loads  first name (4)  last name (4)
//	for each load: name (4)  slots
//	for each hold: name (4)  slots  from (8 ms units)
//
// An empty stretch (first above last) makes it one of changes. Numbers are little-endian. A
// scheduler that does not know it counts it as unreadable, and after a while takes its sender for silent.
package gossip

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
)

// MaxSize is the longest datagram that the platform allows, in bytes.
const MaxSize = 256

const (
	version  = 1
	changes  = 2 // the version that tells changes alone
	exact    = 3 // the version with long names
	group    = 3
	header   = 10 // of version 3
	longLoad = 5
	longHold = 6
	fromUnit = 8 // milliseconds
	// MaxHolds is how many holds a datagram tells; further ones wait for the next.
	MaxHolds = 8
)

// Name is what a datagram calls a target: in version 3 all of it, in the others its Short.
type Name uint32

// Last is the last of all names.
const Last = Name(math.MaxUint32)

// NameOf hashes a target's name. Of 200 targets two share one in a fleet of 200,000.
func NameOf(target string) Name {
	h := fnv.New32a()
	h.Write([]byte(target))
	return Name(h.Sum32())
}

// Short is the two bytes by which versions 1 and 2 call a target. Of 200 targets two share them in
// more than a quarter of all fleets.
func (n Name) Short() Name { return n >> 8 & 0xffff }

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
	Part bool
	// Long says that targets are called by their whole names, and not by short ones.
	Long bool
	// First and Final bound the names of which all is told, where Long is set and Part is not.
	First, Final Name
	Loads        []Load
	Holds        []Hold
}

// ErrForm marks a datagram that is none of these versions.
var ErrForm = errors.New("tell: not a datagram of a known version")

// Fits says whether versions 1 and 2 tell all of a message in one datagram.
func (m *Message) Fits() bool {
	room := MaxSize - 1
	if len(m.Holds) > 0 {
		room -= group * (1 + 2*min(len(m.Holds), MaxHolds))
	}
	return len(m.Loads) <= room/group
}

// Append writes a message in version 1, with short names. Holds come first where there is not room
// for all; of either, what does not fit is left out, so that whoever has more calls AppendLong.
func Append(raw []byte, m *Message) []byte {
	holds := m.Holds[:min(len(m.Holds), MaxHolds)]
	room := MaxSize - 1
	if len(holds) > 0 {
		room -= group * (1 + 2*len(holds))
	}
	raw = append(raw, version)
	for _, l := range m.Loads[:min(len(m.Loads), room/group)] {
		raw = append(short(raw, l.Target), count(l.Slots))
	}
	if len(holds) == 0 {
		return raw
	}
	raw = append(raw, 0, 0, 0)
	for _, h := range holds {
		raw = append(short(raw, h.Target), count(h.Out+h.Slots), count(h.Slots), from(h.From), 0)
	}
	return raw
}

// AppendPart writes a message of changes in version 2. What does not fit is left out.
func AppendPart(raw []byte, loads []Load) []byte {
	raw = append(raw, changes)
	for _, l := range loads[:min(len(loads), (MaxSize-1)/group)] {
		raw = append(short(raw, l.Target), ended(l.Slots))
	}
	return raw
}

// AppendLong writes as much of a message as one datagram of version 3 holds, and returns how many
// loads that is and where the next one begins. The loads are in the order of their names, none
// before first; what it tells all of reaches from first to the name before next, which is 0 after the last.
func AppendLong(raw []byte, m *Message, first Name) (out []byte, told int, next Name) {
	holds := m.Holds[:min(len(m.Holds), MaxHolds)]
	told = min(len(m.Loads), (MaxSize-header-longHold*len(holds))/longLoad)
	final := Last
	switch {
	case m.Part:
		first, final = 1, 0
	case told < len(m.Loads):
		next = m.Loads[told].Target
		final = next - 1
	}
	raw = append(raw, exact, byte(told))
	raw = binary.LittleEndian.AppendUint32(raw, uint32(first))
	raw = binary.LittleEndian.AppendUint32(raw, uint32(final))
	for _, l := range m.Loads[:told] {
		raw = append(binary.LittleEndian.AppendUint32(raw, uint32(l.Target)), ended(l.Slots))
	}
	for _, h := range holds {
		raw = append(binary.LittleEndian.AppendUint32(raw, uint32(h.Target)), count(h.Slots), from(h.From))
	}
	return raw, told, next
}

func short(raw []byte, n Name) []byte { return append(raw, byte(n.Short()), byte(n.Short()>>8)) }

func from(ms float64) byte { return byte(min(255, max(0, math.Round(ms/fromUnit)))) }

// ended is a number of slots as a byte, 0 where nothing is out any more.
func ended(slots float64) byte {
	if slots <= 0 {
		return 0
	}
	return count(slots)
}

// count is a number of slots as a byte, 1 at least: 0 has a meaning of its own.
func count(slots float64) byte { return byte(min(255, max(1, math.Ceil(slots)))) }

// Parse reads a datagram into m, whose slices it uses again.
func Parse(raw string, m *Message) error {
	*m = Message{Loads: m.Loads[:0], Holds: m.Holds[:0]}
	if len(raw) > 0 && raw[0] == exact {
		return m.parseLong(raw)
	}
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

// parseLong reads a datagram of version 3; one that is wrong anywhere says nothing.
func (m *Message) parseLong(raw string) error {
	if len(raw) < header || len(raw) > MaxSize {
		return ErrForm
	}
	loads, rest := int(raw[1]), raw[header:]
	holds := len(rest) - longLoad*loads
	if holds < 0 || holds%longHold != 0 || holds > longHold*MaxHolds {
		return ErrForm
	}
	m.Long, m.First, m.Final = true, long(raw[2:]), long(raw[6:])
	m.Part = m.First > m.Final
	for range loads {
		l := Load{long(rest), float64(rest[4])}
		if !m.Part && (l.Slots == 0 || l.Target < m.First || l.Target > m.Final) {
			m.Loads = m.Loads[:0]
			return ErrForm
		}
		m.Loads, rest = append(m.Loads, l), rest[longLoad:]
	}
	for ; len(rest) > 0; rest = rest[longHold:] {
		if rest[4] == 0 {
			m.Loads, m.Holds = m.Loads[:0], m.Holds[:0]
			return ErrForm
		}
		m.Holds = append(m.Holds, Hold{Target: long(rest), Slots: float64(rest[4]), From: fromUnit * float64(rest[5])})
	}
	return nil
}

func long(s string) Name {
	return Name(s[0]) | Name(s[1])<<8 | Name(s[2])<<16 | Name(s[3])<<24
}

func name(s string) Name { return Name(s[0]) | Name(s[1])<<8 }
