package lease

// vote is a voter's state of one duty. After a start it is empty, so the voter grants nothing until
// every grant from before the start has expired.
type vote struct {
	number      uint64  // newest number granted
	holder      int     // scheduler that holds the grant
	runID       uint32  // run of the holder
	seq         uint32  // newest request of the holder that was granted
	until       float64 // end of the grant
	releasedBy  int     // scheduler that released last; its requests up to releasedSeq are refused, as one may still be in flight
	releasedRun uint32  // run of releasedBy
	releasedSeq uint32
}

// onVoterRequest responds to a request as a voter. At any instant at most one scheduler has this
// voter's grant, and a further grant needs a number newer than all before. The requester measures a
// grant from when it sent the request and the voter from when it received it, so the grant expires
// at the requester first.
func (m *Machine) onVoterRequest(duty, from int, msg *Msg) {
	current := &m.votes[duty]
	response := Msg{Duty: msg.Duty, RunID: msg.RunID, Seq: msg.Seq, Number: current.number, Holder: current.holder}
	ownGrant := current.holder == from && current.runID == msg.RunID
	free := m.now >= current.until
	switch {
	case msg.Kind == Release:
		current.releasedBy, current.releasedRun, current.releasedSeq = from, msg.RunID, msg.Seq
		if ownGrant && msg.Seq >= current.seq {
			current.until = m.now
		}
		return
	case m.now < m.quietUntil:
		response.Kind, response.Remaining = Quiet, m.quietUntil-m.now
	case !free && !ownGrant:
		response.Kind, response.Remaining = Held, current.until-m.now
	case msg.Kind == Query && free:
		response.Kind = Free
	case msg.Kind == Query:
		response.Kind, response.Remaining = Held, current.until-m.now
	case msg.Number < current.number || msg.Number == current.number && !ownGrant, current.releasedBy == from && current.releasedRun == msg.RunID && msg.Seq <= current.releasedSeq:
		response.Kind = Stale
	default:
		seq := msg.Seq
		if ownGrant { // an older request may arrive late
			seq = max(seq, current.seq)
		}
		current.number, current.holder, current.runID, current.seq, current.until = msg.Number, from, msg.RunID, seq, m.now+m.config.Lease
		response.Kind, response.Number = Grant, msg.Number
		m.learnHolder(duty, from, msg.Number, current.until)
	}
	if response.Kind == Grant {
		m.Counts.Granted++
	} else if msg.Kind == Request {
		m.Counts.Refused++
	}
	m.send(from, response)
}
