// Package gossip defines the format of the datagrams by which the schedulers of one tier report their
// outstanding load and their reservations to each other. It encodes messages to bytes and parses them.
// It does no I/O, and does not decide who sends datagrams, to whom or when.
//
// Three versions carry loads and reservations. Numbers are little-endian.
//
// Version 1 is a full state in at most 256 bytes: the version, and groups of three bytes. The loads come
// first, with a group for each target: two bytes of the hash of its name, and the slots. A group of zeros
// ends them. The reservations follow, with two groups for each:
//
//	name (2)  outstanding and reserved slots together
//	reserved slots, start (8 ms units)  0
//
// A scheduler that knows only loads uses the last group that names a target. So it takes reserved slots
// for load, and does not use them. It takes the second group of a reservation for a target without load.
// If that group happens to equal a target's name (one chance in 65,536 for each target and reservation),
// it sees no load of the sender at that target until the next datagram. Loads sent by such a scheduler
// never contain a group of zeros.
//
// Version 2 reports changes between two full states, in groups of three bytes as above. No slots mean that
// the load at the target ended. A scheduler that does not know version 2 counts the datagram as unreadable
// and keeps the last state. A scheduler that lost one is corrected by the next full state.
//
// Versions 1 and 2 would be wrong for a target whose short name is also that of another listed target.
// Version 1 would also be wrong if not all loads fit, as a receiver takes omitted targets for idle. In these
// cases version 3 replaces both. It uses four-byte names, and states the range of names for which it is
// complete. A full state may consist of several such datagrams, each correct by itself:
//
//	3  number of loads  first name (4)  last name (4)
//	for each load: name (4)  slots
//	for each reservation: name (4)  slots  start (8 ms units)
//
// An empty range (first above last) makes it a datagram of changes. A scheduler that does not know version 3
// counts it as unreadable, and treats the sender as silent after a while.
package gossip

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
)

// MaxSize is the maximum size of a datagram on the platform, in bytes.
const MaxSize = 256

const (
	versionFull          = 1
	versionChanges       = 2
	versionRange         = 3  // four-byte names
	groupSize            = 3  // bytes
	rangeHeaderSize      = 10 // bytes, of version 3
	rangeLoadSize        = 5  // bytes, of version 3
	rangeReservationSize = 6  // bytes, of version 3
	timeUnit             = 8  // ms
	// MaxReservations is the maximum number of reservations in a datagram. Further ones wait for the next.
	MaxReservations = 8
)

// Name identifies a target in a datagram. Version 3 uses all of it, the other versions use Short.
type Name uint32

// MaxName is the highest name.
const MaxName = Name(math.MaxUint32)

// NameOf hashes a target's name. In one of 200,000 fleets of 200 targets, two targets get the same Name.
func NameOf(target string) Name {
	h := fnv.New32a()
	h.Write([]byte(target))
	return Name(h.Sum32())
}

// Short returns the two bytes that identify a target in versions 1 and 2. In more than a quarter of all
// fleets of 200 targets, two targets share them.
func (n Name) Short() Name { return n >> 8 & 0xffff }

// Load is the number of slots that a scheduler uses at a target.
type Load struct {
	Target Name
	Slots  float64
}

// Reservation is a number of slots that a scheduler reserved at a target.
type Reservation struct {
	Target     Name
	Slots      float64 // reserved for one flow
	OtherSlots float64 // used by the scheduler at the target at present; only AppendFull reads it
	From       float64 // ms from the sending until its flow can start, up to 2,040
}

// Message is the content of a datagram.
type Message struct {
	// Changes is set if Loads contains only changes. A load of no slots then means that the load ended,
	// and other targets keep their load.
	Changes bool
	// LongNames is set if targets are identified by full names, and not by short ones.
	LongNames bool
	// First and Last are the range of names for which Loads is complete, if LongNames is set and Changes
	// is not.
	First, Last  Name
	Loads        []Load
	Reservations []Reservation
}

// ErrFormat is returned for a datagram that is malformed or has an unknown version.
var ErrFormat = errors.New("gossip: malformed datagram or unknown version")

// FitsShortNames reports whether a message fits into one datagram of version 1 or 2.
func (m *Message) FitsShortNames() bool {
	space := MaxSize - 1
	if len(m.Reservations) > 0 {
		space -= groupSize * (1 + 2*min(len(m.Reservations), MaxReservations))
	}
	return len(m.Loads) <= space/groupSize
}

// AppendFull appends a message in version 1, with short names. If not all fits, reservations take
// precedence over loads, and the rest of either is omitted. Use AppendRange for a message that
// does not fit.
func AppendFull(raw []byte, m *Message) []byte {
	reservations := m.Reservations[:min(len(m.Reservations), MaxReservations)]
	space := MaxSize - 1
	if len(reservations) > 0 {
		space -= groupSize * (1 + 2*len(reservations))
	}
	raw = append(raw, versionFull)
	for _, l := range m.Loads[:min(len(m.Loads), space/groupSize)] {
		raw = append(appendShortName(raw, l.Target), encodeSlotsInUse(l.Slots))
	}
	if len(reservations) == 0 {
		return raw
	}
	raw = append(raw, 0, 0, 0)
	for _, h := range reservations {
		raw = append(appendShortName(raw, h.Target), encodeSlotsInUse(h.OtherSlots+h.Slots), encodeSlotsInUse(h.Slots), encodeTime(h.From), 0)
	}
	return raw
}

// AppendChanges appends a message of changes in version 2. It omits changes that do not fit.
func AppendChanges(raw []byte, loads []Load) []byte {
	raw = append(raw, versionChanges)
	for _, l := range loads[:min(len(loads), (MaxSize-1)/groupSize)] {
		raw = append(appendShortName(raw, l.Target), encodeSlots(l.Slots))
	}
	return raw
}

// AppendRange appends as much of a message as fits into one datagram of version 3. It returns the number
// of loads written, and the first name of the next datagram, or 0 after the last. The loads must be in
// the order of their names, with none before first. The datagram is complete for the names from first
// up to, but not including, next.
func AppendRange(raw []byte, m *Message, first Name) (out []byte, written int, next Name) {
	reservations := m.Reservations[:min(len(m.Reservations), MaxReservations)]
	written = min(len(m.Loads), (MaxSize-rangeHeaderSize-rangeReservationSize*len(reservations))/rangeLoadSize)
	last := MaxName
	switch {
	case m.Changes:
		first, last = 1, 0
	case written < len(m.Loads):
		next = m.Loads[written].Target
		last = next - 1
	}
	raw = append(raw, versionRange, byte(written))
	raw = binary.LittleEndian.AppendUint32(raw, uint32(first))
	raw = binary.LittleEndian.AppendUint32(raw, uint32(last))
	for _, l := range m.Loads[:written] {
		raw = append(binary.LittleEndian.AppendUint32(raw, uint32(l.Target)), encodeSlots(l.Slots))
	}
	for _, h := range reservations {
		raw = append(binary.LittleEndian.AppendUint32(raw, uint32(h.Target)), encodeSlotsInUse(h.Slots), encodeTime(h.From))
	}
	return raw, written, next
}

func appendShortName(raw []byte, n Name) []byte {
	return append(raw, byte(n.Short()), byte(n.Short()>>8))
}

func encodeTime(ms float64) byte { return byte(min(255, max(0, math.Round(ms/timeUnit)))) }

// encodeSlots returns a number of slots as a byte, with 0 for a load that ended.
func encodeSlots(slots float64) byte {
	if slots <= 0 {
		return 0
	}
	return encodeSlotsInUse(slots)
}

// encodeSlotsInUse returns a number of slots as a byte, at least 1, as 0 has a meaning of its own.
func encodeSlotsInUse(slots float64) byte { return byte(min(255, max(1, math.Ceil(slots)))) }

// Parse decodes a datagram into m and reuses its slices.
func Parse(raw string, m *Message) error {
	*m = Message{Loads: m.Loads[:0], Reservations: m.Reservations[:0]}
	if len(raw) > 0 && raw[0] == versionRange {
		return m.parseRange(raw)
	}
	if len(raw)%groupSize != 1 || len(raw) > MaxSize || raw[0] != versionFull && raw[0] != versionChanges {
		return ErrFormat
	}
	m.Changes = raw[0] == versionChanges
	pos := 1
	for ; pos < len(raw); pos += groupSize {
		if raw[pos+2] == 0 && !m.Changes {
			break
		}
		m.Loads = append(m.Loads, Load{decodeShortName(raw[pos:]), float64(raw[pos+2])})
	}
	if pos == len(raw) {
		return nil
	}
	// One invalid byte makes all reservations invalid. The loads before them are still valid.
	rest := raw[pos:]
	if rest[0] != 0 || rest[1] != 0 || (len(rest)-groupSize)%(2*groupSize) != 0 || (len(rest)-groupSize)/(2*groupSize) > MaxReservations {
		return ErrFormat
	}
	for rest = rest[groupSize:]; len(rest) > 0; rest = rest[2*groupSize:] {
		r := Reservation{Target: decodeShortName(rest), Slots: float64(rest[3]), From: timeUnit * float64(rest[4])}
		if rest[2] == 0 || rest[3] == 0 || rest[5] != 0 || rest[3] > rest[2] {
			m.Reservations = m.Reservations[:0]
			return ErrFormat
		}
		m.Reservations = append(m.Reservations, r)
	}
	return nil
}

// parseRange decodes a datagram of version 3. It rejects the whole datagram if any part is invalid.
func (m *Message) parseRange(raw string) error {
	if len(raw) < rangeHeaderSize || len(raw) > MaxSize {
		return ErrFormat
	}
	loads, rest := int(raw[1]), raw[rangeHeaderSize:]
	reservationBytes := len(rest) - rangeLoadSize*loads
	if reservationBytes < 0 || reservationBytes%rangeReservationSize != 0 || reservationBytes > rangeReservationSize*MaxReservations {
		return ErrFormat
	}
	m.LongNames, m.First, m.Last = true, decodeName(raw[2:]), decodeName(raw[6:])
	m.Changes = m.First > m.Last
	for range loads {
		l := Load{decodeName(rest), float64(rest[4])}
		if !m.Changes && (l.Slots == 0 || l.Target < m.First || l.Target > m.Last) {
			m.Loads = m.Loads[:0]
			return ErrFormat
		}
		m.Loads, rest = append(m.Loads, l), rest[rangeLoadSize:]
	}
	for ; len(rest) > 0; rest = rest[rangeReservationSize:] {
		if rest[4] == 0 {
			m.Loads, m.Reservations = m.Loads[:0], m.Reservations[:0]
			return ErrFormat
		}
		m.Reservations = append(m.Reservations, Reservation{Target: decodeName(rest), Slots: float64(rest[4]), From: timeUnit * float64(rest[5])})
	}
	return nil
}

func decodeName(s string) Name {
	return Name(s[0]) | Name(s[1])<<8 | Name(s[2])<<16 | Name(s[3])<<24
}

func decodeShortName(s string) Name { return Name(s[0]) | Name(s[1])<<8 }
