package freshness

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"cottonwell/internal/gossip"
)

// Peers has schedulers that discovery does not answer ask others for the word that those have of it.
//
// A question carries the time at which it left, on the asker's clock, and the answer repeats it beside the age of the word
// that it passes on. So the asker knows a time on its own clock at which that word was surely true, however long
// either datagram was on its way and whatever the other's clock says: the time of the question less the age. A word that was
// passed on may be passed on again, as its age goes with it. Nothing rests on datagrams that arrive: without an answer the
// lease runs out.
type Peers struct {
	cfg     PeersConfig
	lease   *Lease
	rng     *rand.Rand
	process uint32
	askAt   float64
	asked   map[int]question // by scheduler: its last question, while there was nothing better to answer
}

// question is one that could not be answered when it came.
type question struct {
	gossip.ListQuestion
	cameAt float64
}

// PeersConfig sets Peers up.
type PeersConfig struct {
	Self, Fleet int // this scheduler's number and how many there are
	Seed        uint64
	// AskEvery is the pause between two questions, in milliseconds; up to half as much is added at random.
	AskEvery float64
	// AskAt is the age of the own word from which on others are asked while no watch is open, and SilentAt while one is, in
	// milliseconds.
	AskAt, SilentAt float64
	// AskMany is how many schedulers are asked at once.
	AskMany int
	// Younger is by how much a word has to be younger than the asker's to be worth an answer, in milliseconds.
	Younger float64
	// KeepFor is for how long a question is kept that could not be answered, in milliseconds.
	KeepFor float64
}

// Message is a datagram to send.
type Message struct {
	To  []int
	Raw string
}

// NewPeers returns the exchange about a lease with the other schedulers, or an error that says what is impossible. It asks
// for the first time after a pause, as discovery usually answers before.
func NewPeers(now float64, cfg PeersConfig, lease *Lease) (*Peers, error) {
	if cfg.Fleet < 2 || cfg.Self < 0 || cfg.Self >= cfg.Fleet {
		return nil, fmt.Errorf("freshness: scheduler %d of %d", cfg.Self, cfg.Fleet)
	}
	if !(cfg.AskEvery > 0) || cfg.AskMany < 1 || !(cfg.Younger > 0) {
		return nil, fmt.Errorf("freshness: %d schedulers asked each %g ms for a word younger by %g ms", cfg.AskMany, cfg.AskEvery, cfg.Younger)
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x11575))
	return &Peers{cfg: cfg, lease: lease, rng: rng, process: rng.Uint32(), askAt: now + cfg.AskEvery/2, asked: map[int]question{}}, nil
}

// Due asks others if it is time to. Call it after each event that concerns the lease, and at Next.
func (p *Peers) Due(now float64) []Message {
	if now < max(p.askAt, p.wantsAt()) {
		return nil
	}
	p.askAt = now + p.cfg.AskEvery*(1+0.5*p.rng.Float64())
	q := gossip.ListQuestion{Process: p.process, AskedAt: micros(now), Age: p.lease.Age(now), Digest: p.lease.digest}
	return []Message{{To: p.draw(), Raw: string(q.Append(nil))}}
}

// Next is when Due has to be called at the latest.
func (p *Peers) Next(now float64) float64 {
	return max(now, p.askAt, p.wantsAt())
}

// wantsAt is when the own word is old enough to ask for a younger one.
func (p *Peers) wantsAt() float64 {
	if p.lease.Watching() {
		return p.lease.wordAt + p.cfg.SilentAt
	}
	return p.lease.wordAt + p.cfg.AskAt
}

// draw picks other schedulers, one of them perhaps twice.
func (p *Peers) draw() []int {
	to := make([]int, 0, p.cfg.AskMany)
	for range min(p.cfg.AskMany, p.cfg.Fleet-1) {
		n := p.rng.IntN(p.cfg.Fleet - 1)
		if n >= p.cfg.Self {
			n++
		}
		to = append(to, n)
	}
	return to
}

// Heard takes a datagram in that IsAboutLists. changed says whether any target is withheld or released by it.
func (p *Peers) Heard(now float64, who int, raw string) (out []Message, changed bool, err error) {
	if who < 0 || who >= p.cfg.Fleet || who == p.cfg.Self {
		return nil, false, gossip.ErrForm
	}
	q, a, err := gossip.ParseList(raw)
	switch {
	case err != nil:
		return nil, false, err
	case a != nil:
		changed = p.answered(now, a)
		return p.Renewed(now), changed, nil
	}
	if m, ok := p.answer(now, who, q); ok {
		return []Message{m}, false, nil
	}
	p.asked[who] = question{*q, now}
	return nil, false, nil
}

// answered takes an answer in. One to another process of the same name, or to a question that never was, says nothing.
func (p *Peers) answered(now float64, a *gossip.ListAnswer) (changed bool) {
	askedAt := float64(a.AskedAt) / 1000
	if a.Process != p.process || a.Age >= gossip.MaxAge || askedAt > now {
		return false
	}
	return p.lease.PassedOn(now, askedAt-a.Age, a)
}

// Renewed answers the questions that waited for a younger word. Call it after each renewal of the lease.
func (p *Peers) Renewed(now float64) (out []Message) {
	for _, who := range slices.Sorted(maps.Keys(p.asked)) {
		q := p.asked[who]
		if now-q.cameAt > p.cfg.KeepFor {
			delete(p.asked, who)
			continue
		}
		waited := q.ListQuestion
		waited.Age += now - q.cameAt
		if m, ok := p.answer(now, who, &waited); ok {
			out = append(out, m)
			delete(p.asked, who)
		}
	}
	return out
}

// answer is the answer to a question, if the own word is younger by enough.
func (p *Peers) answer(now float64, who int, q *gossip.ListQuestion) (Message, bool) {
	age := p.lease.Age(now)
	if !p.lease.Valid() || age+p.cfg.Younger > q.Age {
		return Message{}, false
	}
	a := gossip.ListAnswer{Process: q.Process, AskedAt: q.AskedAt, Age: age, Digest: q.Digest}
	a.Except, a.Keys = p.lease.answer(q.Digest, (float64(who)+0.5)/float64(p.cfg.Fleet))
	return Message{To: []int{who}, Raw: string(a.Append(nil))}, true
}

// micros is a time in whole microseconds, not after it.
func micros(ms float64) uint64 { return uint64(math.Floor(ms * 1000)) }
