// Package gearman is the second front: Gearman clients and Gearman workers on the
// scheduler's core, by the published binary protocol and its administrative text lines.
//
// What the protocol leaves open is settled so:
//
//   - Gearman is pull: the module's send puts a job before the worker it picked, NOOP wakes
//     that worker, and its next GRAB_JOB gets the job. A job that was put before a worker
//     but not yet handed over has never run.
//   - A worker that vanishes with a job in hand is a reset: the job may have run. Whether it
//     goes on elsewhere is then a matter of its class, as on the platform.
//   - CANT_DO, RESET_ABILITIES and the end of the connection are the drain: from then on
//     nothing of that function (or nothing at all) goes to that worker.
//   - A worker is cold when it connects, also when it connects anew.
//   - A job of the same function and unique as one in flight joins that flow. Every client
//     gets its own final packet, and exactly one.
//   - A class with keys takes its key from the unique, so there a unique must be given.
//   - A refusal is WORK_EXCEPTION (to those who asked for exceptions) or else WORK_WARNING
//     with the words "refused; retry-after=SECONDS", and then WORK_FAIL, the final packet.
//   - CAN_DO_TIMEOUT is CAN_DO: deadlines run from the operator's file, per function.
//   - Jobs of a higher priority go first among those that wait; none pushes another out.
//   - A second connection with a worker's name takes its place: the first one is dead.
//   - The protocol cannot take a job back from a worker. Giving up an attempt that was
//     handed over means that nothing the worker still says of it is heard.
package gearman

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"cottonwell/internal/buffer"
)

// Type is a packet's type, by the published numbers.
type Type uint32

// The packet types.
const (
	CanDo               Type = 1
	CantDo              Type = 2
	ResetAbilities      Type = 3
	PreSleep            Type = 4
	Noop                Type = 6
	SubmitJob           Type = 7
	JobCreated          Type = 8
	GrabJob             Type = 9
	NoJob               Type = 10
	JobAssign           Type = 11
	WorkStatus          Type = 12
	WorkComplete        Type = 13
	WorkFail            Type = 14
	GetStatus           Type = 15
	EchoReq             Type = 16
	EchoRes             Type = 17
	SubmitJobBG         Type = 18
	Error               Type = 19
	StatusRes           Type = 20
	SubmitJobHigh       Type = 21
	SetClientID         Type = 22
	CanDoTimeout        Type = 23
	AllYours            Type = 24
	WorkException       Type = 25
	OptionReq           Type = 26
	OptionRes           Type = 27
	WorkData            Type = 28
	WorkWarning         Type = 29
	GrabJobUniq         Type = 30
	JobAssignUniq       Type = 31
	SubmitJobHighBG     Type = 32
	SubmitJobLow        Type = 33
	SubmitJobLowBG      Type = 34
	GrabJobAll          Type = 39
	JobAssignAll        Type = 40
	headLen                  = 12
	maxNames                 = 1 << 10 // function, unique and handle beside the workload
	maxData                  = buffer.MaxBody + maxNames
	requestMagic             = "\x00REQ"
	responseMagic            = "\x00RES"
	maxFunctionOrUnique int  = 512
)

// What is wrong with a packet; the first word of each is the code of the ERROR packet.
const (
	errMagic     = protocolError("bad_magic not a request packet")
	errSize      = protocolError("too_large packet is longer than 64 KiB")
	errTruncated = protocolError("truncated packet ends early")
	errArguments = protocolError("bad_arguments wrong number of arguments")
	errUnknown   = protocolError("unknown_command not a packet that this server takes")
)

// protocolError is what the other side did wrong: a code and its explanation.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// arguments is how many NUL-separated parts a request has; the last takes what is left.
func arguments(t Type) (int, bool) {
	switch t {
	case ResetAbilities, PreSleep, GrabJob, GrabJobUniq, GrabJobAll, AllYours:
		return 0, true
	case CanDo, CantDo, SetClientID, GetStatus, EchoReq, OptionReq, WorkFail:
		return 1, true
	case CanDoTimeout, WorkComplete, WorkData, WorkWarning, WorkException:
		return 2, true
	case SubmitJob, SubmitJobBG, SubmitJobHigh, SubmitJobHighBG, SubmitJobLow, SubmitJobLowBG, WorkStatus:
		return 3, true
	}
	return 0, false
}

// Packet is a packet that was read.
type Packet struct {
	Type Type
	Args []string
}

// ReadPacket reads one request packet. After an error other than of the connection, the
// stream cannot be followed any further.
func ReadPacket(r io.Reader) (Packet, error) {
	var head [headLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Packet{}, early(err)
	}
	if string(head[:4]) != requestMagic {
		return Packet{}, errMagic
	}
	p := Packet{Type: Type(binary.BigEndian.Uint32(head[4:]))}
	size := binary.BigEndian.Uint32(head[8:])
	if size > maxData {
		return p, errSize
	}
	n, ok := arguments(p.Type)
	if !ok {
		return p, errUnknown
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return p, early(err)
	}
	if n == 0 {
		if size > 0 {
			return p, errArguments
		}
		return p, nil
	}
	parts := bytes.SplitN(data, []byte{0}, n)
	if len(parts) != n {
		return p, errArguments
	}
	for _, part := range parts {
		p.Args = append(p.Args, string(part))
	}
	return p, nil
}

func early(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	return err
}

// Response makes a response packet.
func Response(t Type, args ...string) []byte { return packet(responseMagic, t, args) }

// Request makes a request packet.
func Request(t Type, args ...string) []byte { return packet(requestMagic, t, args) }

func packet(magic string, t Type, args []string) []byte {
	size := max(0, len(args)-1)
	for _, a := range args {
		size += len(a)
	}
	out := make([]byte, headLen, headLen+size)
	copy(out, magic)
	binary.BigEndian.PutUint32(out[4:], uint32(t))
	binary.BigEndian.PutUint32(out[8:], uint32(size))
	for i, a := range args {
		if i > 0 {
			out = append(out, 0)
		}
		out = append(out, a...)
	}
	return out
}
