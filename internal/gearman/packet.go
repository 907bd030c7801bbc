// Package gearman is the scheduler's second front. It connects Gearman clients and Gearman
// workers to the scheduler's core, with the published binary protocol and its administrative
// text protocol.
//
// The package is given a checked configuration, a listening socket and the core. It submits
// the jobs of clients to the core as flows, and announces workers to it as targets. It sends
// the attempts that the core starts to those workers, and reports their outcomes and progress
// to the core. It neither chooses a worker nor decides on retries, and stores nothing on disk.
//
// It settles what the protocol leaves open:
//
//   - Gearman workers pull jobs. A send of the decision module queues a job for the chosen
//     worker, NOOP wakes that worker, and its next GRAB_JOB is assigned the job. A job that was
//     queued for a worker and not assigned has never run.
//   - A worker that disconnects with an assigned job counts as a reset: the job may have run.
//     The job's class decides whether it is retried elsewhere, as on the platform.
//   - CANT_DO, RESET_ABILITIES and the end of the connection drain a worker: from then on it
//     receives no jobs of that function, or no jobs at all.
//   - A worker is cold each time it connects, reconnects included.
//   - A job with the function and unique of a job in flight joins that flow. Every client
//     gets exactly one final packet of its own.
//   - A class with keys uses the unique as its key, so its jobs must have a unique. HTTP targets receive it unchanged
//     if it is printable ASCII without a space at either end, and otherwise as "sha256:" and its digest.
//   - With the unique "-" the workload identifies a job in flight. Workers receive "-".
//   - WORK_DATA and WORK_EXCEPTION are sent to the waiting clients as they come. After that no other worker may answer them: if
//     the worker fails or vanishes, the job fails. From the first WORK_DATA on, a client that submits the same job and waits
//     is answered ERROR with in_progress, as it would miss a part.
//   - A refusal is WORK_EXCEPTION (for clients that requested exceptions) or else WORK_WARNING
//     with the text "refused; retry-after=SECONDS". WORK_FAIL follows as the final packet.
//   - A background job that is refused is kept and tried again, since no client waits who could submit it again. One that is
//     not kept is answered ERROR in place of JOB_CREATED: queue_full, too_large or shutting_down.
//   - CAN_DO_TIMEOUT is handled as CAN_DO: deadlines come from the operator's file, per function.
//   - Jobs of a higher priority are assigned first among the queued ones, and never preempt a job.
//   - A connection for which there is no place gets that of the client that is idle longest, or ERROR with no_place.
//   - A second connection with a worker's client ID replaces the first one, which counts as
//     disconnected.
//   - The protocol has no way to revoke a job from a worker. After an assigned attempt is
//     cancelled, the server ignores the worker's packets about it.
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

// Type is the type of a packet, with the numbers of the published protocol.
type Type uint32

// The packet types, and the bounds of packets in bytes.
const (
	CanDo           Type = 1
	CantDo          Type = 2
	ResetAbilities  Type = 3
	PreSleep        Type = 4
	Noop            Type = 6
	SubmitJob       Type = 7
	JobCreated      Type = 8
	GrabJob         Type = 9
	NoJob           Type = 10
	JobAssign       Type = 11
	WorkStatus      Type = 12
	WorkComplete    Type = 13
	WorkFail        Type = 14
	GetStatus       Type = 15
	EchoReq         Type = 16
	EchoRes         Type = 17
	SubmitJobBG     Type = 18
	Error           Type = 19
	StatusRes       Type = 20
	SubmitJobHigh   Type = 21
	SetClientID     Type = 22
	CanDoTimeout    Type = 23
	AllYours        Type = 24
	WorkException   Type = 25
	OptionReq       Type = 26
	OptionRes       Type = 27
	WorkData        Type = 28
	WorkWarning     Type = 29
	GrabJobUniq     Type = 30
	JobAssignUniq   Type = 31
	SubmitJobHighBG Type = 32
	SubmitJobLow    Type = 33
	SubmitJobLowBG  Type = 34
	GrabJobAll      Type = 39
	JobAssignAll    Type = 40
	headerLen            = 12
	maxNamesLen          = 1 << 10 // function, unique and handle, in addition to the workload
	maxDataLen           = buffer.MaxBody + maxNamesLen
	requestMagic         = "\x00REQ"
	responseMagic        = "\x00RES"
	maxNameLen      int  = 512
)

// Errors in packets. The first word of each is the code in the ERROR packet.
const (
	errMagic     = protocolError("bad_magic not a request packet")
	errSize      = protocolError("too_large packet is longer than 64 KiB")
	errTruncated = protocolError("truncated packet ends early")
	errArguments = protocolError("bad_arguments wrong number of arguments")
	errNoMemory  = protocolError("no_memory packets hold as much memory as they may; submit again later")
	errUnknown   = protocolError("unknown_command not a packet that this server takes")
)

// protocolError is a protocol violation of the other side: a code, a space and an explanation.
type protocolError string

func (e protocolError) Error() string { return string(e) }

// argumentCount returns the number of NUL-separated arguments of a request, and false for an
// unknown type. The last argument may contain NUL bytes.
func argumentCount(t Type) (int, bool) {
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

// Packet is a decoded request packet.
type Packet struct {
	Type Type
	Args []string
}

// size returns the length of the arguments in bytes.
func (p *Packet) size() (total int) {
	for _, argument := range p.Args {
		total += len(argument)
	}
	return total
}

// ReadPacket reads one request packet. Before it allocates memory for the data, it passes the length to reserve, and reads no
// further if that returns false. After a protocol error the position in the stream is undefined, so the caller must not read any
// further.
func ReadPacket(r io.Reader, reserve func(bytes int) bool) (Packet, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Packet{}, truncatedError(err)
	}
	if string(header[:4]) != requestMagic {
		return Packet{}, errMagic
	}
	p := Packet{Type: Type(binary.BigEndian.Uint32(header[4:]))}
	size := binary.BigEndian.Uint32(header[8:])
	if size > maxDataLen {
		return p, errSize
	}
	count, ok := argumentCount(p.Type)
	if !ok {
		return p, errUnknown
	}
	if !reserve(int(size)) {
		return p, errNoMemory
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return p, truncatedError(err)
	}
	if count == 0 {
		if size > 0 {
			return p, errArguments
		}
		return p, nil
	}
	parts := bytes.SplitN(data, []byte{0}, count)
	if len(parts) != count {
		return p, errArguments
	}
	for _, part := range parts {
		p.Args = append(p.Args, string(part))
	}
	return p, nil
}

// truncatedError adds errTruncated to the error of a read that reached the end of the stream
// or its deadline. Other errors are returned unchanged.
func truncatedError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", errTruncated, err)
	}
	return err
}

// Response encodes a response packet.
func Response(t Type, args ...string) []byte { return encodePacket(responseMagic, t, args) }

// Request encodes a request packet.
func Request(t Type, args ...string) []byte { return encodePacket(requestMagic, t, args) }

func encodePacket(magic string, t Type, args []string) []byte {
	size := max(0, len(args)-1)
	for _, a := range args {
		size += len(a)
	}
	encoded := make([]byte, headerLen, headerLen+size)
	copy(encoded, magic)
	binary.BigEndian.PutUint32(encoded[4:], uint32(t))
	binary.BigEndian.PutUint32(encoded[8:], uint32(size))
	for i, a := range args {
		if i > 0 {
			encoded = append(encoded, 0)
		}
		encoded = append(encoded, a...)
	}
	return encoded
}
