// Package rules lets the schedulers agree on numbered versions of a document with settings, so that no
// two schedulers act on versions that contradict each other. docs/design/rules.md gives the reasons,
// the guarantees and why they hold.
//
// One scheduler at a time publishes; it holds the lease of a duty. Every scheduler repeatedly requests
// the version in force from the publisher, and may act on the granted version for a stated time from
// its request, by its own clock. A new version that contradicts the current one is granted only after
// all permission for the current one has expired. Between the two, an intermediate version is granted
// that contradicts neither: the stricter of each pair of values. A scheduler that is isolated or was
// paused switches to the strict form of its version by itself, and continues to serve.
//
// The Machine is given events (messages, timers, documents to publish) and returns actions (messages
// to send, documents to apply). It performs no I/O and does not enforce the settings itself. Each
// event carries the fencing number under which this scheduler holds the duty, read at that moment.
// Times are in milliseconds on the host's clock.
package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Duty is the name of the publisher's duty.
const Duty = "publisher"

const (
	requestsPerLease      = 4.0  // requests to the publisher in the time that a permission lasts
	proposalTimeoutLeases = 8.0  // a proposal without a decision by all live members is dropped after this many times Config.PermissionTime
	maxPiecesPerRequest   = 8    // pieces sent in response to one request
	requestIntervalMS     = 50.0 // ms between two requests for pieces of the same document
	maxStoredDocs         = 8    // documents kept in addition to those in use
	maxPartialDocs        = 3    // documents of which only some pieces were received
	// MaxReasonBytes is the maximum length of the reason for refusing a document.
	MaxReasonBytes = 120
)

// Config configures a Machine. PermissionTime and Drift must be the same on all schedulers.
type Config struct {
	Self, Fleet    int
	RunID          uint32   // random number of this run
	PermissionTime float64  // ms that a permission is valid; it lasts no longer by any clock
	Drift          float64  // maximum relative clock rate error, fast or slow
	Classes        []string // classes in the platform's settings
	InitialDoc     *Doc     // document in force while no scheduler knows of any version
	// Check validates a proposed document against the platform's settings; nil accepts all.
	Check func(*Doc) error
	Seed  uint64

	// Unsafe disables safety measures, so that tests can verify that the checkers detect the
	// violations. It is zero in production.
	Unsafe Unsafe
}

// Unsafe disables single measures on which the guarantee rests.
type Unsafe struct {
	NoExpiry       bool // act on the last grant after it has expired
	NoWait         bool // grant the next version immediately
	NoIntermediate bool // switch without an intermediate version
}

// Default returns the values of settings that the operator's file omits.
func Default() Config { return Config{PermissionTime: 3000, Drift: 0.01} }

// CheckConfig returns an error that names the first invalid setting.
func (c *Config) CheckConfig() error {
	switch {
	case c.Fleet < 1 || c.Self < 0 || c.Self >= c.Fleet:
		return fmt.Errorf("rules: scheduler %d of %d is out of range", c.Self, c.Fleet)
	case !(c.PermissionTime >= 200 && c.PermissionTime <= 60_000):
		return fmt.Errorf("rules: agree_within is %gms; it must be 200ms to 1m", c.PermissionTime)
	case !(c.Drift >= 0 && c.Drift <= 0.1):
		return fmt.Errorf("rules: drift is %g; it must be 0 to 0.1", c.Drift)
	case c.InitialDoc == nil:
		return fmt.Errorf("rules: no document is configured as the first version")
	}
	return c.InitialDoc.Check()
}

// Version is a numbered document, or the intermediate of two documents. Numbers increase over the
// whole fleet and over all restarts: their upper part is the fencing number of the publisher's duty.
type Version struct {
	Number uint64
	A, B   Digest // B is 0 unless the version is the intermediate of A and B, the stricter of each pair of values
}

// target returns the document that a version is or leads to.
func (v Version) target() Digest {
	if v.B != 0 {
		return v.B
	}
	return v.A
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	Due             EventKind = iota // the requested wake-up time is reached
	MessageReceived                  // a message was received: From, Msg
	Publish                          // Doc is to be put into force
)

// Event is one input to the Machine.
type Event struct {
	Kind EventKind
	From int
	Msg  *Msg
	Doc  *Doc

	Duty         uint64 // number under which this scheduler holds the duty now; 0: it does not hold the duty
	Holder       int    // holder of the duty, as far as known; -1: unknown
	HolderNumber uint64 // number under which Holder holds the duty
	Alive        func(who int) bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // send Msg to scheduler To
	Apply                     // apply Doc, of Version, until Until; Strict: Doc is the strict form and has no end
	Wake                      // deliver Due at At; replaces an earlier wake-up
	Adopted                   // all live members act on Version, which is Digest
	Refused                   // Digest is dropped: Scheduler refuses it, for Reason
	Alarm                     // an inconsistency was detected: Reason
)

// Action is one output of the Machine. The host carries out actions in order.
type Action struct {
	Kind      ActionKind
	To        int
	Msg       *Msg
	Version   Version
	Doc       *Doc
	Strict    bool
	Until     float64
	At        float64
	Digest    Digest
	Scheduler int
	Reason    string
}

// partial is a document of which only some pieces were received.
type partial struct {
	digest        Digest
	pieces        [][]byte
	from          int
	nextRequestAt float64
}

// Counts holds event counters.
type Counts struct {
	Stale, Ignored, Expired, Alarms int
}

// Machine requests the version in force, and publishes while it holds the duty. Create it with New.
type Machine struct {
	config   Config
	rng      *rand.Rand
	docs     map[Digest]*Doc
	packed   map[Digest][]byte
	docOrder []Digest // digests of docs, in order of arrival
	partials []*partial

	// The state of a scheduler that requests the version in force.
	seq           uint32
	requestedAt   [8]float64 // by seq modulo 8
	nextRequestAt float64    // time of the next request
	current       Version    // version acted on, or whose strict form is; Number 0: none yet
	until         float64
	strict        bool
	pending       Version // granted, but not all of its documents have been received
	pendingUntil  float64
	checked       Digest // the latest proposal that was checked
	checkError    string // why it was refused; empty if accepted

	// The state of a scheduler that has a document to publish.
	offered    Digest
	offerUntil float64 // the offer is withdrawn at this time

	publisher
	actions []Action

	Counts Counts
}

// New returns a newly started machine. Its first event, Due, should be passed to Step immediately.
func New(config Config, now float64) (*Machine, error) {
	if err := config.CheckConfig(); err != nil {
		return nil, err
	}
	m := &Machine{config: config, rng: rand.New(rand.NewPCG(config.Seed, uint64(config.Self)<<32|uint64(config.RunID))), docs: map[Digest]*Doc{}, packed: map[Digest][]byte{},
		nextRequestAt: now, strict: true, until: math.Inf(-1)}
	if _, err := m.storeDoc(config.InitialDoc); err != nil {
		return nil, err
	}
	m.publisher.reset(config.Fleet, 0, now)
	return m, nil
}

// holdTime returns how long a permission lasts, in ms from its request. By the fastest clock this
// ends before PermissionTime ends by the slowest clock.
func (m *Machine) holdTime() float64 {
	return m.config.PermissionTime * (1 - m.config.Drift) / (1 + m.config.Drift)
}

// InForce returns the document that this scheduler may act on at the given time. Call it at the moment
// of acting, with a time read then.
func (m *Machine) InForce(now float64) (v Version, d *Doc, strict bool) {
	d = m.config.InitialDoc
	if m.current.Number > 0 {
		d = m.effective(m.current)
	}
	if m.strict || now >= m.until && !m.config.Unsafe.NoExpiry {
		return m.current, Strict(d, m.config.Classes, m.config.Fleet), true
	}
	return m.current, d, false
}

// effective returns the document that a version denotes. All of its documents must have been
// received.
func (m *Machine) effective(v Version) *Doc {
	if v.B == 0 {
		return m.docs[v.A]
	}
	return Stricter(m.docs[v.A], m.docs[v.B])
}

// Step processes one event at the given time and appends the resulting actions to acts.
func (m *Machine) Step(now float64, ev *Event, acts []Action) []Action {
	m.actions = acts
	if ev.Duty != m.duty {
		m.publisher.reset(m.config.Fleet, ev.Duty, now)
	}
	if m.seq == 0 {
		m.apply(now) // the host must not act on any document before this
	}
	m.expire(now)
	switch ev.Kind {
	case MessageReceived:
		m.receive(now, ev)
	case Publish:
		m.publish(now, ev.Doc)
	}
	m.expire(now)
	if m.duty > 0 {
		m.advance(now, ev)
	}
	if now >= m.nextRequestAt {
		m.nextRequestAt = now + m.config.PermissionTime/requestsPerLease*(0.9+0.2*m.rng.Float64())
		m.sendRequest(now, ev)
	}
	m.requestPieces(now)
	m.emit(Action{Kind: Wake, At: m.nextAt(now)})
	acts, m.actions = m.actions, nil
	return acts
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) send(to int, x Msg) {
	if to >= 0 && to != m.config.Self {
		m.emit(Action{Kind: Send, To: to, Msg: &x})
	}
}

// nextAt returns the time of the next timer, but no earlier than now.
func (m *Machine) nextAt(now float64) float64 {
	at := m.nextRequestAt
	if !m.strict && !m.config.Unsafe.NoExpiry {
		at = min(at, m.until)
	}
	for _, p := range m.partials {
		at = min(at, p.nextRequestAt)
	}
	return max(at, now)
}

// expire switches to the strict form when the permission for the version has ended.
func (m *Machine) expire(now float64) {
	if !m.strict && now >= m.until && !m.config.Unsafe.NoExpiry {
		m.strict = true
		m.Counts.Expired++
		m.apply(now)
	}
}

// apply reports to the host the document to act on.
func (m *Machine) apply(now float64) {
	v, d, strict := m.InForce(now)
	m.emit(Action{Kind: Apply, Version: v, Doc: d, Strict: strict, Until: m.until})
}

// sendRequest requests the version in force. The request reports the version that this scheduler acts
// on and its result for the proposal.
func (m *Machine) sendRequest(now float64, ev *Event) {
	m.seq++
	m.requestedAt[m.seq%8] = now
	msg := Msg{Kind: Request, RunID: m.config.RunID, Seq: m.seq, Version: m.current, Valid: !m.strict, Doc: m.checked, Reason: m.checkError, Duty: ev.HolderNumber}
	switch {
	case m.duty > 0:
		msg.Duty = m.duty
		m.onRequest(now, m.config.Self, &msg)
	case ev.Holder >= 0:
		m.send(ev.Holder, msg)
	}
	if m.offered != 0 {
		m.sendOffer(now, ev)
	}
}

// receive processes a message.
func (m *Machine) receive(now float64, ev *Event) {
	msg := ev.Msg
	if ev.From < 0 || ev.From >= m.config.Fleet {
		m.Counts.Ignored++
		return
	}
	switch msg.Kind {
	case Request:
		if m.duty > 0 && msg.Duty == m.duty {
			m.onRequest(now, ev.From, msg)
		}
	case Grant:
		m.onGrant(now, ev.From, msg)
	case PieceRequest:
		m.sendPieces(ev.From, msg)
	case Piece:
		m.onPiece(now, msg)
	case Offer:
		if m.duty > 0 {
			m.onOffer(now, ev.From, msg.Doc)
		}
	case Outcome:
		m.onOutcome(ev.From, msg)
	}
}

// onGrant handles a permission to act on a version. The permission counts from its request.
func (m *Machine) onGrant(now float64, from int, msg *Msg) {
	if msg.RunID != m.config.RunID || m.seq-msg.Seq >= 8 || msg.Version.Number < m.current.Number {
		m.Counts.Stale++
		return
	}
	if msg.Version.Number == m.current.Number && msg.Version != m.current || msg.Version.Number == m.pending.Number && msg.Version != m.pending && m.pending.Number > 0 {
		m.Counts.Alarms++
		m.emit(Action{Kind: Alarm, Scheduler: from, Version: msg.Version, Reason: "two documents have one number"})
		return
	}
	if msg.Doc != 0 && msg.Doc != m.checked {
		m.checkProposal(now, from, msg.Doc)
	}
	if msg.Version.Number == 0 {
		return
	}
	until := m.requestedAt[msg.Seq%8] + m.holdTime()
	if now >= until {
		m.Counts.Stale++
		return
	}
	if !m.fetchMissing(now, from, msg.Version) {
		m.pending, m.pendingUntil = msg.Version, until
		return
	}
	m.adopt(now, msg.Version, until)
}

// fetchMissing reports whether all documents of a version have been received, and starts to fetch the
// missing ones.
func (m *Machine) fetchMissing(now float64, from int, v Version) bool {
	all := true
	for _, d := range []Digest{v.A, v.B} {
		if d != 0 && m.docs[d] == nil {
			m.fetch(now, from, d, 0)
			all = false
		}
	}
	return all
}

// adopt acts on a version until the given time.
func (m *Machine) adopt(now float64, v Version, until float64) {
	changed := m.strict || v != m.current
	if v != m.current {
		m.until = math.Inf(-1) // a permission for another version does not carry over
	}
	m.current, m.until, m.strict, m.pending = v, max(m.until, until), false, Version{}
	if changed || !m.config.Unsafe.NoExpiry {
		m.apply(now)
	}
	if v.target() == m.offered && v.B == 0 {
		m.offered = 0
	}
	if changed {
		m.nextRequestAt = min(m.nextRequestAt, now) // report to the publisher immediately
	}
}

// checkProposal checks a proposal, once all of it has been received.
func (m *Machine) checkProposal(now float64, from int, d Digest) {
	doc := m.docs[d]
	if doc == nil {
		m.fetch(now, from, d, 0)
		return
	}
	m.checked, m.checkError = d, ""
	if m.config.Check != nil {
		if err := m.config.Check(doc); err != nil {
			m.checkError = err.Error()
			m.checkError = m.checkError[:min(len(m.checkError), MaxReasonBytes)]
		}
	}
	m.nextRequestAt = min(m.nextRequestAt, now)
}

// storeDoc stores a document. Documents that are not in use are removed once there are too many.
func (m *Machine) storeDoc(d *Doc) (Digest, error) {
	packed, digest, err := d.Pack()
	if err != nil {
		return 0, err
	}
	m.storePacked(digest, d, packed)
	return digest, nil
}

func (m *Machine) storePacked(digest Digest, d *Doc, packed []byte) {
	if m.docs[digest] == nil {
		m.docs[digest], m.packed[digest] = d, packed
		m.docOrder = append(m.docOrder, digest)
	}
	for i := 0; len(m.docs) > maxStoredDocs && i < len(m.docOrder); {
		if x := m.docOrder[i]; x == digest || m.inUse(x) {
			i++
		} else {
			delete(m.docs, x)
			delete(m.packed, x)
			m.docOrder = slices.Delete(m.docOrder, i, i+1)
		}
	}
}

func (m *Machine) inUse(d Digest) bool {
	return slices.Contains([]Digest{m.current.A, m.current.B, m.pending.A, m.pending.B, m.offered, m.granted.A, m.granted.B, m.proposal, m.newest.A, m.newest.B}, d)
}

// fetch starts to fetch a document, of n pieces if their number is known.
func (m *Machine) fetch(now float64, from int, d Digest, n int) *partial {
	for _, p := range m.partials {
		if p.digest == d {
			p.from = from
			return p
		}
	}
	if len(m.partials) >= maxPartialDocs {
		m.partials = m.partials[1:] // drop the oldest; it is requested again if still needed
	}
	p := &partial{digest: d, pieces: make([][]byte, n), from: from, nextRequestAt: now}
	m.partials = append(m.partials, p)
	return p
}

// requestPieces requests missing pieces from the scheduler that announced the document, and from a
// random scheduler, which may have it by now.
func (m *Machine) requestPieces(now float64) {
	for _, p := range m.partials {
		if now < p.nextRequestAt {
			continue
		}
		msg := Msg{Kind: PieceRequest, Doc: p.digest, Missing: math.MaxUint64}
		if len(p.pieces) > 0 {
			msg.Missing = 0
			for i, b := range p.pieces {
				if b == nil {
					msg.Missing |= 1 << i
				}
			}
		}
		m.send(p.from, msg)
		if m.config.Fleet > 2 {
			m.send(m.rng.IntN(m.config.Fleet), msg)
		}
		p.nextRequestAt = now + requestIntervalMS*(1+m.rng.Float64())
	}
}

// sendPieces sends some of the requested pieces, if this scheduler has the document.
func (m *Machine) sendPieces(to int, msg *Msg) {
	packed := m.packed[msg.Doc]
	n, sent := (len(packed)+PieceSize-1)/PieceSize, 0
	for i := 0; i < n && sent < maxPiecesPerRequest; i++ {
		if msg.Missing>>i&1 == 1 {
			m.send(to, Msg{Kind: Piece, Doc: msg.Doc, Index: i, NumPieces: n, Data: packed[i*PieceSize : min(len(packed), (i+1)*PieceSize)]})
			sent++
		}
	}
}

// onPiece stores a requested piece of a document. If the complete pieces do not match the digest, all
// of them are requested again.
func (m *Machine) onPiece(now float64, msg *Msg) {
	i := slices.IndexFunc(m.partials, func(p *partial) bool { return p.digest == msg.Doc })
	if i < 0 {
		m.Counts.Stale++
		return
	}
	p := m.partials[i]
	if len(p.pieces) != msg.NumPieces {
		p.pieces = make([][]byte, msg.NumPieces)
	}
	if p.pieces[msg.Index] == nil {
		p.pieces[msg.Index] = msg.Data
		p.nextRequestAt = now + requestIntervalMS // the other pieces are in flight
	}
	if slices.ContainsFunc(p.pieces, func(b []byte) bool { return b == nil }) {
		return
	}
	packed := slices.Concat(p.pieces...)
	if digestOf(packed) != p.digest {
		clear(p.pieces)
		p.nextRequestAt = now
		return
	}
	m.partials = slices.Delete(m.partials, i, i+1)
	d, err := Unpack(packed)
	if err != nil {
		m.checked, m.checkError = msg.Doc, err.Error()[:min(len(err.Error()), MaxReasonBytes)]
		return
	}
	// Another version of the program may have written it in another form, so the bytes are stored as
	// received.
	m.storePacked(msg.Doc, d, packed)
	m.onDocComplete(now, msg.Doc, p.from)
}

// onDocComplete continues what was waiting for a document.
func (m *Machine) onDocComplete(now float64, d Digest, from int) {
	if m.pending.Number > 0 && now < m.pendingUntil && m.fetchMissing(now, from, m.pending) {
		m.adopt(now, m.pending, m.pendingUntil)
	}
	if m.duty > 0 {
		m.onDocArrived(now, d)
	} else if m.checked != d && d != m.current.A && d != m.current.B {
		m.checkProposal(now, from, d)
	}
}

// publish offers a document to the publisher, which may be this scheduler.
func (m *Machine) publish(now float64, doc *Doc) {
	d, err := m.storeDoc(doc)
	if err != nil {
		m.emit(Action{Kind: Refused, Scheduler: m.config.Self, Reason: err.Error()})
		return
	}
	if d == m.current.A && m.current.B == 0 {
		m.emit(Action{Kind: Refused, Digest: d, Scheduler: m.config.Self, Reason: "the document is already in force"})
		return
	}
	m.offered, m.offerUntil = d, now+proposalTimeoutLeases*m.config.PermissionTime
	m.nextRequestAt = now
}

// sendOffer offers the document to the publisher until it is in force or dropped.
func (m *Machine) sendOffer(now float64, ev *Event) {
	switch {
	case now >= m.offerUntil:
		m.emit(Action{Kind: Refused, Digest: m.offered, Scheduler: m.config.Self, Reason: "no publisher put it into force before the deadline"})
		m.offered = 0
	case m.duty > 0:
		m.onOffer(now, m.config.Self, m.offered)
	case ev.Holder >= 0:
		m.send(ev.Holder, Msg{Kind: Offer, Doc: m.offered})
	}
}

// onOutcome handles the refusal of the document that this scheduler offered.
func (m *Machine) onOutcome(from int, msg *Msg) {
	if msg.Doc == m.offered && m.offered != 0 {
		m.emit(Action{Kind: Refused, Digest: msg.Doc, Scheduler: msg.Scheduler, Reason: msg.Reason})
		m.offered = 0
	}
}
