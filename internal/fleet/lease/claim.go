package lease

import (
	"math"
	"math/bits"
	"slices"
)

// phase is the state of a scheduler with respect to one duty.
type phase int

const (
	idle       phase = iota // on standby
	querying                // querying the voters for the current holder
	requesting              // requesting grants from the voters
	holding
)

// claimState is a scheduler's state with respect to a duty that it may hold.
type claimState struct {
	id            uint32
	phase         phase
	rank          int
	seq           uint32
	number        uint64  // under which the duty is requested or held
	newestSeen    uint64  // newest number seen; it may have been requested without success, and never held
	newestHeld    uint64  // newest number under which a scheduler is known to have acted; acts below it are refused
	roundAt       float64 // start of the round; grants count from this time
	sends         int     // how often this round was sent
	granted       uint16  // bit set of voters that responded yes in this round
	denied        uint16  // bit set of voters that responded no in this round
	longestWait   float64 // longest remaining time reported by a voter in this round, ms
	until         float64 // phase holding: end of the hold
	losses        int     // recent losses; each doubles the delay before the next claim
	lostAt        float64 // time of the last loss
	quickRetries  int     // immediate retries left while the previous holder is handing the duty over
	handedBy      int     // scheduler that is handing the duty over; -1: no scheduler
	handedNumber  uint64  // its number; voter reports of its hold up to this number are outdated
	handoversLeft int     // shutting down: handover messages still to be sent
	note          string  // for the next holder, or received from the previous one
	announcedAt   float64 // phase holding: time of the last announcement
	holder        int     // known holder, as reported by itself or else by a voter; -1: unknown
	holderNumber  uint64  // number under which the known holder holds the duty
	holderUntil   float64 // latest time until which the known holder may hold the duty
}

const (
	closeStandbys       = 4  // standbys that check soon after a lease ends; those ranked behind them check more rarely
	maxRoundSends       = 4  // times that one round is sent
	maxQuickRetries     = 12 // immediate retries while a duty is handed over
	handoverSends       = 3  // times that a resigning scheduler sends its handover, as each datagram may be lost
	maxBackoffDoublings = 4  // doublings of the delay after losses
	lossMemoryLeases    = 10 // leases after which the last loss is forgotten
)

// notRenewed is the reason for the loss of a duty that was not released.
const notRenewed = "not granted anew in time"

// resendInterval returns the time between two sends of one round, in ms.
func (m *Machine) resendInterval() float64 { return m.config.Lease / 12 }

// standbyDelay returns how long after a duty may be free this scheduler checks it, in ms. Close
// standbys check in steps of an eighth of a lease, so that one dead or isolated standby delays the
// others by only one step. A scheduler that lost the duty recently waits longer, so that others claim
// it first.
func (m *Machine) standbyDelay(duty int) float64 {
	claim := &m.claims[duty]
	wait := float64(claim.rank) * m.config.Lease / 8
	if claim.rank >= closeStandbys {
		wait = float64(claim.rank) * m.config.Lease
	}
	if claim.losses > 0 && m.now < claim.lostAt+lossMemoryLeases*m.config.Lease {
		wait += m.config.Lease / 8 * math.Pow(2, float64(min(claim.losses, maxBackoffDoublings)))
	}
	return wait + m.rng.Float64()*m.config.Lease/32
}

// onTimer handles the expiry of a duty's timer.
func (m *Machine) onTimer(duty int) {
	claim := &m.claims[duty]
	switch {
	case m.leaving && claim.handoversLeft > 0 && claim.newestHeld == claim.number: // no successor is known to hold it yet
		m.release(duty)
		m.handOver(duty)
	case m.leaving:
	case claim.phase == idle && m.now < claim.holderUntil && claim.holder != m.config.Self: // the holder announced itself, so no query is needed
		m.timers.set(duty, claim.holderUntil+m.standbyDelay(duty))
	case claim.phase == idle:
		m.startRound(duty, querying)
	case claim.phase == holding && m.now >= claim.until:
		m.lose(duty, notRenewed)
	case claim.phase == holding && m.now >= claim.roundAt+m.config.Lease/3:
		m.startRound(duty, holding)
	case claim.sends >= maxRoundSends && claim.phase != holding:
		m.abandonRound(duty)
	case claim.sends >= maxRoundSends:
		m.timers.set(duty, min(claim.until, claim.roundAt+m.config.Lease/3))
	default:
		m.sendRound(duty)
	}
}

// startRound starts a round of messages to the voters. Only responses to this round count.
func (m *Machine) startRound(duty int, p phase) {
	claim := &m.claims[duty]
	claim.phase, claim.roundAt, claim.sends, claim.granted, claim.denied, claim.longestWait = p, m.now, 0, 0, 0, 0
	claim.seq++
	m.sendRound(duty)
}

// sendRound sends the round's message to the voters that have not responded, and sets the resend
// timer.
func (m *Machine) sendRound(duty int) {
	claim := &m.claims[duty]
	msg := Msg{Kind: Request, Duty: claim.id, RunID: m.config.RunID, Seq: claim.seq, Number: claim.number}
	if claim.phase == querying {
		msg.Kind = Query
	}
	for v := range m.config.Voters {
		if (claim.granted|claim.denied)>>v&1 == 0 {
			m.send(v, msg)
		}
	}
	claim.sends++
	next := m.now + m.resendInterval()
	if claim.phase == holding {
		next = min(next, claim.until)
	}
	m.timers.set(duty, next)
}

// onVoterResponse processes a voter's response.
func (m *Machine) onVoterResponse(duty, from int, msg *Msg) {
	claim := &m.claims[duty]
	if claim.phase == holding && m.now >= claim.until {
		m.lose(duty, notRenewed) // this process paused, or its timer fired late
	}
	claim.newestSeen = max(claim.newestSeen, msg.Number)
	if msg.Kind == Held && !claim.endedByHandover(msg) {
		m.learnHolder(duty, msg.Holder, msg.Number, m.now+msg.Remaining)
	}
	if claim.phase == idle || msg.RunID != m.config.RunID || msg.Seq != claim.seq {
		return
	}
	bit := uint16(1) << from
	yes := msg.Kind == Grant && claim.phase != querying && msg.Number == claim.number || msg.Kind == Free && claim.phase == querying
	switch {
	case yes && claim.denied&bit == 0:
		claim.granted |= bit
	case !yes && claim.granted&bit == 0:
		claim.denied |= bit
		if msg.Kind != Stale && !claim.endedByHandover(msg) {
			claim.longestWait = max(claim.longestWait, msg.Remaining)
		}
	}
	switch {
	case yes && bits.OnesCount16(claim.granted) >= m.majority():
		m.onMajority(duty)
	case bits.OnesCount16(claim.denied) > m.config.Voters-m.majority() && claim.phase != holding:
		m.abandonRound(duty)
	}
}

// endedByHandover reports whether a voter's report names a holder that has handed the duty over since.
func (c *claimState) endedByHandover(msg *Msg) bool {
	return msg.Holder == c.handedBy && msg.Number <= c.handedNumber
}

// onMajority handles yes responses from a majority of voters.
func (m *Machine) onMajority(duty int) {
	claim := &m.claims[duty]
	until := claim.roundAt + m.holdTime()
	switch {
	case claim.phase == querying:
		claim.number = m.nextNumber(claim)
		m.startRound(duty, requesting)
	case claim.phase == holding:
		claim.until = max(claim.until, until)
		if m.now >= claim.announcedAt+m.config.Lease/2 {
			m.announce(duty)
		}
		m.timers.set(duty, min(claim.until, claim.roundAt+m.config.Lease/3))
	case m.now < until:
		claim.phase, claim.until, claim.quickRetries, claim.handedBy, claim.newestHeld = holding, until, 0, -1, max(claim.newestHeld, claim.number)
		m.Counts.Gained++
		m.recordHolder(duty, m.config.Self, claim.number, until)
		m.emit(Action{Kind: Gained, Duty: duty, Number: claim.number, Note: claim.note})
		m.announce(duty)
		m.timers.set(duty, min(claim.until, claim.roundAt+m.config.Lease/3))
	default:
		m.abandonRound(duty) // the responses took longer than the lease
	}
}

// nextNumber returns a number newer than all seen. If all schedulers that remember a number are gone,
// it is taken from the wall clock, which is past any clock value used before the voters' quiet period.
func (m *Machine) nextNumber(claim *claimState) uint64 {
	return max(claim.newestSeen+1, uint64(max(0, m.wall)))
}

// abandonRound ends an unsuccessful round and schedules the next attempt.
func (m *Machine) abandonRound(duty int) {
	claim := &m.claims[duty]
	if claim.phase == requesting {
		m.release(duty)
	}
	claim.phase = idle
	switch {
	case claim.quickRetries > 0 && claim.longestWait == 0: // the holder's release is still in flight
		claim.quickRetries--
		m.timers.set(duty, m.now+5+5*m.rng.Float64())
	case claim.longestWait > 0:
		claim.quickRetries, claim.handedBy = 0, -1
		m.timers.set(duty, m.now+claim.longestWait+m.standbyDelay(duty))
	default: // others also request it, or no majority responds
		claim.quickRetries, claim.handedBy = 0, -1
		m.timers.set(duty, m.now+m.resendInterval()*(0.5+m.rng.Float64())+m.standbyDelay(duty))
	}
}

// lose ends the hold on a duty.
func (m *Machine) lose(duty int, reason string) {
	claim := &m.claims[duty]
	// Emit Lost before the releases: the host carries out actions one by one and may pause between
	// two. Once the voters have received the release, another scheduler may hold the duty.
	m.emit(Action{Kind: Lost, Duty: duty, Number: claim.number, Reason: reason})
	m.release(duty)
	claim.phase = idle
	if m.now >= claim.lostAt+lossMemoryLeases*m.config.Lease {
		claim.losses = 0
	}
	claim.losses, claim.lostAt = claim.losses+1, m.now
	m.Counts.Lost++
	m.timers.set(duty, m.now+m.standbyDelay(duty))
}

// release notifies the voters that this scheduler's grant is void, so that others need not wait for
// its expiry.
func (m *Machine) release(duty int) {
	claim := &m.claims[duty]
	for v := range m.config.Voters {
		m.send(v, Msg{Kind: Release, Duty: claim.id, RunID: m.config.RunID, Seq: claim.seq, Number: claim.number})
	}
}

// resign hands over all held duties and stops claiming duties. The scheduler still votes.
func (m *Machine) resign() {
	m.leaving = true
	for duty := range m.claims {
		claim := &m.claims[duty]
		switch {
		case claim.phase == holding && m.now >= claim.until:
			m.lose(duty, notRenewed)
		case claim.phase == holding:
			m.lose(duty, "handed on")
			claim.phase, claim.handoversLeft = idle, handoverSends
			m.handOver(duty)
			continue
		case claim.phase == requesting:
			m.release(duty)
		}
		claim.phase = idle
		m.timers.set(duty, math.Inf(1))
	}
}

// handOver offers a duty to the first schedulers of its standby order, each with a delay one step
// longer than that of the one before. The first may have died or paused without this scheduler knowing
// it yet; without the delayed offers the rest would wait for the lease to end.
func (m *Machine) handOver(duty int) {
	claim := &m.claims[duty]
	msg := Msg{Kind: Handover, Duty: claim.id, RunID: m.config.RunID, Number: claim.number, Note: claim.note}
	for i, to := range m.successors(duty) {
		msg.Remaining = float64(i) * m.config.Lease / 8
		m.emit(Action{Kind: Send, To: to, Msg: msg})
	}
	claim.handoversLeft--
	m.timers.set(duty, m.now+m.resendInterval())
}

// onHandover handles a handover offer from the holder. The first successor requests the duty
// immediately, in the usual way. Those with a delay check after it whether the duty is still free.
func (m *Machine) onHandover(duty, from int, msg *Msg) {
	claim := &m.claims[duty]
	repeated := claim.handedBy == from && claim.handedNumber == msg.Number
	if m.leaving || claim.phase == holding || msg.Number < claim.newestHeld || claim.phase != idle && (repeated || msg.Remaining > 0) || repeated && msg.Remaining > 0 {
		return
	}
	claim.newestSeen, claim.note, claim.quickRetries, claim.handedBy, claim.handedNumber, claim.losses = max(claim.newestSeen, msg.Number), msg.Note, maxQuickRetries, from, msg.Number, 0
	claim.holder, claim.holderUntil = -1, 0
	if msg.Remaining > 0 {
		claim.phase = idle
		m.timers.set(duty, m.now+msg.Remaining)
		return
	}
	claim.number = m.nextNumber(claim)
	m.startRound(duty, requesting)
}

// announce sends all live schedulers the holder of the duty and its number. They then need not query
// the voters, and refuse acts under lower numbers.
func (m *Machine) announce(duty int) {
	claim := &m.claims[duty]
	claim.announcedAt = m.now
	msg := Msg{Kind: Announce, Duty: claim.id, RunID: m.config.RunID, Number: claim.number, Remaining: claim.until - m.now}
	for who, yes := range m.alive {
		if yes && who != m.config.Self {
			m.send(who, msg)
		}
	}
}

// onAnnounce accepts an act of a holder, unless an act under a newer number is known: then the message
// is late, or its sender was paused. A newer number that was only requested proves nothing: a few
// voters may have granted it to a scheduler that never held the duty, and the holder's acts must not
// be refused for that.
func (m *Machine) onAnnounce(duty, from int, msg *Msg) {
	claim := &m.claims[duty]
	if msg.Number < claim.newestHeld && !m.config.Unsafe.NoFence {
		m.emit(Action{Kind: ActRefused, Duty: duty, To: from, Number: msg.Number})
		return
	}
	m.emit(Action{Kind: ActAccepted, Duty: duty, To: from, Number: msg.Number})
	claim.newestHeld = max(claim.newestHeld, msg.Number)
	m.recordHolder(duty, from, msg.Number, m.now+msg.Remaining)
}

// learnHolder records a holder reported by a voter, unless a better source is known. A voter's grant
// alone may not be a majority.
func (m *Machine) learnHolder(duty, who int, number uint64, until float64) {
	claim := &m.claims[duty]
	claim.newestSeen = max(claim.newestSeen, number)
	if number < claim.newestHeld || claim.holderNumber == claim.newestHeld && number > claim.newestHeld && m.now < claim.holderUntil || number < claim.holderNumber && m.now < claim.holderUntil {
		return
	}
	m.recordHolder(duty, who, number, until)
}

// recordHolder records the holder of a duty.
func (m *Machine) recordHolder(duty, who int, number uint64, until float64) {
	claim := &m.claims[duty]
	if who != claim.holder || number != claim.holderNumber {
		m.emit(Action{Kind: HolderChanged, Duty: duty, To: who, Number: number})
	}
	claim.newestSeen, claim.holder, claim.holderNumber, claim.holderUntil = max(claim.newestSeen, number), who, number, until
}

// setAlive updates the set of live members and with it this scheduler's rank for each duty.
func (m *Machine) setAlive(alive []bool) {
	if slices.Equal(m.alive, alive) {
		return
	}
	copy(m.alive, alive)
	for duty := range m.claims {
		claim := &m.claims[duty]
		had := claim.rank
		claim.rank = m.standbyRank(duty)
		if claim.rank < had && claim.phase == idle && !m.leaving {
			m.timers.set(duty, max(m.now, claim.holderUntil)+m.standbyDelay(duty))
		}
	}
}
