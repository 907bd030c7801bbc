package rules

import "math"

// publisher is the state of the holder of the duty. It is discarded when the number under which the
// duty is held changes.
type publisher struct {
	duty       uint64 // 0: this scheduler does not publish
	since      float64
	settled    bool    // has waited until all grants of earlier publishers have expired
	count      uint64  // versions created under this number
	newest     Version // newest version that any scheduler reported, while not settled
	granted    Version // version that is granted
	peers      []peer
	proposal   Digest  // 0: no proposal
	proposer   int     // scheduler that offered the proposal
	proposedAt float64 // time since which the proposal is being checked
	adopted    bool    // Adopted was emitted for the granted version
}

// peer is what the publisher records about one scheduler.
type peer struct {
	lastRequestAt  float64 // time of its last request; -Inf: none
	current        Version // version that it last reported to act on
	valid          bool
	otherGrantedAt float64 // when it was last granted a version other than the one that is granted now
	checked        Digest
	checkError     string
}

func (p *publisher) reset(fleet int, duty uint64, now float64) {
	*p = publisher{duty: duty, since: now}
	if duty > 0 {
		p.peers = make([]peer, fleet)
		for i := range p.peers {
			p.peers[i].lastRequestAt, p.peers[i].otherGrantedAt = math.Inf(-1), math.Inf(-1)
		}
	}
}

// onRequest responds to a scheduler's request for the version in force, and records its report.
func (m *Machine) onRequest(now float64, who int, msg *Msg) {
	peer := &m.peers[who]
	peer.lastRequestAt, peer.current, peer.valid = now, msg.Version, msg.Valid
	if msg.Doc != 0 {
		peer.checked, peer.checkError = msg.Doc, msg.Reason
	}
	version := m.granted
	if !m.settled {
		if msg.Version.Number > m.newest.Number {
			m.newest = msg.Version
		}
		// Until all grants of earlier publishers have expired, each scheduler keeps its version. No
		// other scheduler is granted that version.
		if version = msg.Version; !msg.Valid {
			version = Version{}
		}
	}
	if version.Number > 0 && version != m.granted {
		peer.otherGrantedAt = now
	}
	grant := Msg{Kind: Grant, RunID: msg.RunID, Seq: msg.Seq, Version: version, Doc: m.proposal}
	if who == m.config.Self {
		m.onGrant(now, who, &grant)
		return
	}
	m.send(who, grant)
}

// advance proceeds to the next version when its conditions are met.
func (m *Machine) advance(now float64, ev *Event) {
	if !m.settled {
		if now >= m.since+m.config.PermissionTime || m.config.Unsafe.NoWait {
			m.startGranting(now)
		}
		return
	}
	if !m.hasDocs(m.granted) { // documents of the granted version have not been received here yet
		return
	}
	all := true
	for i := range m.peers {
		peer := &m.peers[i]
		if peer.current == m.granted {
			continue
		}
		// A peer that does not act on the granted version is dead, isolated, or has not switched
		// yet. It may act on the previous version until that permission ends.
		if now < peer.otherGrantedAt+m.config.PermissionTime && !m.config.Unsafe.NoWait {
			return
		}
		all = all && !(ev.Alive == nil || ev.Alive(i))
	}
	switch {
	case m.granted.B != 0: // no scheduler acts on the first of the pair any more
		m.grant(now, Version{A: m.granted.B})
	case all && !m.adopted:
		m.adopted = true
		m.emit(Action{Kind: Adopted, Version: m.granted, Digest: m.granted.A})
	}
	if m.proposal != 0 && m.granted.B == 0 && m.proposal != m.granted.A && m.docs[m.proposal] != nil {
		m.decideProposal(now, ev)
	}
}

// startGranting starts with the newest version that any scheduler has, under a number of this
// publisher. The number is therefore higher than any number that a scheduler acts on.
func (m *Machine) startGranting(now float64) {
	if m.newest.Number < m.current.Number {
		m.newest = m.current
	}
	version := m.newest
	if version.Number == 0 {
		d, err := m.storeDoc(m.config.InitialDoc)
		if err != nil {
			m.emit(Action{Kind: Alarm, Scheduler: m.config.Self, Reason: err.Error()}) // cannot happen: New stored the same document
			return
		}
		version = Version{A: d}
	}
	if !m.fetchMissing(now, m.schedulerWith(version), version) {
		if now < m.since+proposalTimeoutLeases*m.config.PermissionTime {
			return
		}
		// No scheduler sends it. Continue with this scheduler's own version rather than with none.
		m.Counts.Alarms++
		m.emit(Action{Kind: Alarm, Scheduler: m.config.Self, Version: version, Reason: "no scheduler provides the newest version; an older one is used"})
		if version = m.current; version.Number == 0 {
			d, err := m.storeDoc(m.config.InitialDoc)
			if err != nil {
				return
			}
			version = Version{A: d}
		}
	}
	m.settled = true
	m.grant(now, version)
}

// schedulerWith returns a scheduler that has a version.
func (m *Machine) schedulerWith(v Version) int {
	for i := range m.peers {
		if m.peers[i].current == v && i != m.config.Self {
			return i
		}
	}
	return m.config.Self
}

func (m *Machine) hasDocs(v Version) bool {
	return m.docs[v.A] != nil && (v.B == 0 || m.docs[v.B] != nil)
}

// grant makes a version the one that all schedulers are granted.
func (m *Machine) grant(now float64, v Version) {
	m.count++
	v.Number = m.duty<<16 | m.count
	if m.granted, m.adopted = v, false; v.target() == m.proposal && v.B == 0 {
		m.proposal = 0
	}
	for i := range m.peers {
		// It may act on the previously granted version until that permission ends.
		if peer := &m.peers[i]; peer.lastRequestAt > math.Inf(-1) {
			peer.otherGrantedAt = max(peer.otherGrantedAt, peer.lastRequestAt)
		}
	}
	m.nextRequestAt = min(m.nextRequestAt, now) // this scheduler requests it too
}

// decideProposal switches to the proposal once all live members have accepted it, or drops it.
func (m *Machine) decideProposal(now float64, ev *Event) {
	for i := range m.peers {
		peer := &m.peers[i]
		if peer.checked == m.proposal && peer.checkError != "" {
			m.dropProposal(i, peer.checkError)
			return
		}
	}
	for i := range m.peers {
		peer := &m.peers[i]
		if peer.checked == m.proposal || ev.Alive != nil && !ev.Alive(i) {
			continue
		}
		if now >= m.proposedAt+proposalTimeoutLeases*m.config.PermissionTime {
			m.dropProposal(i, "the scheduler did not report a result for the proposal")
		}
		return
	}
	from, to := m.docs[m.granted.A], m.docs[m.proposal]
	version := Version{A: m.proposal}
	if !m.config.Unsafe.NoIntermediate && len(Contradicts(from, to)) > 0 {
		version = Version{A: m.granted.A, B: m.proposal}
	}
	m.grant(now, version)
}

// dropProposal drops the proposal and notifies its proposer.
func (m *Machine) dropProposal(who int, reason string) {
	m.emit(Action{Kind: Refused, Digest: m.proposal, Scheduler: who, Reason: reason})
	if m.proposer == m.config.Self {
		m.offered = 0
	} else {
		m.send(m.proposer, Msg{Kind: Outcome, Doc: m.proposal, Scheduler: who, Reason: reason})
	}
	m.proposal = 0
}

// onOffer accepts an offered document as the proposal, unless another one is in progress.
func (m *Machine) onOffer(now float64, from int, d Digest) {
	switch {
	case !m.settled || d == m.proposal || d == m.granted.target():
	case m.proposal != 0 || m.granted.B != 0:
		if from != m.config.Self {
			m.send(from, Msg{Kind: Outcome, Doc: d, Scheduler: m.config.Self, Reason: "another version is in progress"})
		} else {
			m.offered = 0
			m.emit(Action{Kind: Refused, Digest: d, Scheduler: from, Reason: "another version is in progress"})
		}
	default:
		m.proposal, m.proposer, m.proposedAt = d, from, now
		for i := range m.peers {
			m.peers[i].checked = 0
		}
		if m.docs[d] == nil {
			m.fetch(now, from, d, 0)
			return
		}
		m.onDocArrived(now, d)
	}
}

// onDocArrived continues with a document that was fetched.
func (m *Machine) onDocArrived(now float64, d Digest) {
	if d == m.proposal && m.checked != d {
		m.checkProposal(now, m.config.Self, d)
	}
}
