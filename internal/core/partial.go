package core

import (
	"strings"

	"cottonwell/internal/buffer"
)

// This file keeps the partial output of one attempt apart from the result of another. A target may send its result in parts
// and vanish between them. A client must not get parts of two attempts as one result. So the parts are held back until the
// attempt ends, or no other attempt may answer the flow once a client has one.

// maxHeldBytes is the most that is held back of an attempt's result, in bytes: as much as fits a result in one piece.
const maxHeldBytes = buffer.MaxBody

// heldResult is the part of an attempt's result that is held back.
type heldResult struct {
	parts   []string
	bytes   int
	tooLong bool // parts were dropped
}

// add appends a part. Beyond maxHeldBytes it drops all parts, since the result is then unusable.
func (h *heldResult) add(part string) {
	if h.bytes += len(part); h.bytes > maxHeldBytes {
		h.parts, h.tooLong = nil, true
		return
	}
	h.parts = append(h.parts, part)
}

// complete returns the whole result, given its last part, and whether it is short enough.
func (h *heldResult) complete(last string) (result string, ok bool) {
	if h.bytes == 0 {
		return last, true
	}
	if h.tooLong || h.bytes+len(last) > maxHeldBytes {
		return "", false
	}
	return strings.Join(h.parts, "") + last, true
}

// receivePartial handles partial output of an attempt. Other attempts of its flow may be outstanding.
func (c *Core) receivePartial(f *flow, callback *TargetCallback) {
	ref := callback.Attempt
	if ref == nil || ref.Flow != f.number || ref.Index >= len(f.attempts) || f.attempts[ref.Index].ended {
		c.countDropped("news of an attempt that is over")
		return
	}
	if f.clientDone || f.passedOn >= 0 && f.passedOn != ref.Index {
		return // the attempt cannot answer the flow any more
	}
	switch f.Receiver.Partial(*callback.Partial) {
	case PassedOn:
		f.passedOn = ref.Index
	case HeldBack:
		f.attempts[ref.Index].partial.add(callback.Partial.Data)
	case Ignored:
	}
}

// deliverOutcome answers a flow if the end of its attempt n decides the response: with the result, or with a failure if no
// attempt can complete what a client has already.
func (c *Core) deliverOutcome(f *flow, n int, served bool, body string) {
	switch {
	case f.clientDone:
	case served && (f.passedOn < 0 || f.passedOn == n):
		if result, ok := f.attempts[n].partial.complete(body); ok {
			c.deliver(f, Response{Kind: Served, Body: result})
		} else {
			c.deliver(f, Response{Kind: Failed, Reason: resultTooLong})
		}
	case served || f.passedOn == n:
		c.deliver(f, Response{Kind: Failed, TimedOut: c.nearDeadline(f), Reason: partialPassedOn})
	}
}
