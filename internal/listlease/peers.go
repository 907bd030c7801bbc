package listlease

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"cottonwell/internal/gossip"
)

// Peers exchanges confirmations of the list with other schedulers. A scheduler that gets no response from discovery queries
// others for a younger confirmation than its own.
//
// A query carries its sending time on the querier's clock. The response repeats that time and adds the age of the forwarded
// confirmation. The querier dates the confirmation to the time of the query minus the age. The confirmation was valid at that
// time on the querier's clock, whatever the delay of either datagram and whatever the other clock. A forwarded
// confirmation can be forwarded again, since its age is forwarded with it. Lost datagrams are safe: without a response the
// lease expires.
type Peers struct {
	cfg            PeersConfig
	lease          *Lease
	rng            *rand.Rand
	process        uint32               // random identity of this process, repeated in responses to its queries
	nextQueryAt    float64              // earliest time of the next query
	pendingQueries map[int]pendingQuery // by scheduler: its last query that could not be answered yet
}

// pendingQuery is a query for which there was no younger confirmation when it was received.
type pendingQuery struct {
	gossip.ListRequest
	receivedAt float64
}

// PeersConfig configures Peers.
type PeersConfig struct {
	Self, Fleet int // this scheduler's number, from 0, and the number of schedulers
	Seed        uint64
	// QueryIntervalMS is the minimum pause between two queries, in milliseconds. Up to half of it is added at random.
	QueryIntervalMS float64
	// UnwatchedQueryAgeMS is the age of the own confirmation from which others are queried while no watch is open, in
	// milliseconds. WatchedQueryAgeMS is the same while a watch is open.
	UnwatchedQueryAgeMS, WatchedQueryAgeMS float64
	// PeersPerQuery is the number of schedulers that receive a query.
	PeersPerQuery int
	// MinAgeGainMS is how much younger than the querier's a confirmation must be to be sent, in milliseconds.
	MinAgeGainMS float64
	// KeepQueryMS is how long a query is kept that could not be answered, in milliseconds.
	KeepQueryMS float64
}

// Message is a datagram to send to the schedulers of the given numbers.
type Message struct {
	To  []int
	Raw string
}

// NewPeers returns the exchange of confirmations for a lease, or an error if the configuration is invalid. The first query
// is due after half a query interval, since discovery usually responds before.
func NewPeers(now float64, cfg PeersConfig, lease *Lease) (*Peers, error) {
	if cfg.Fleet < 2 || cfg.Self < 0 || cfg.Self >= cfg.Fleet {
		return nil, fmt.Errorf("listlease: invalid scheduler number %d in a fleet of %d", cfg.Self, cfg.Fleet)
	}
	if !(cfg.QueryIntervalMS > 0) || cfg.PeersPerQuery < 1 || !(cfg.MinAgeGainMS > 0) {
		return nil, fmt.Errorf("listlease: invalid query settings: %d peers per query, interval %g ms, minimum age gain %g ms", cfg.PeersPerQuery, cfg.QueryIntervalMS, cfg.MinAgeGainMS)
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x11575))
	return &Peers{cfg: cfg, lease: lease, rng: rng, process: rng.Uint32(), nextQueryAt: now + cfg.QueryIntervalMS/2, pendingQueries: map[int]pendingQuery{}}, nil
}

// DueQueries returns a query to other schedulers if one is due. The caller calls it after each event of the lease and at
// Next.
func (p *Peers) DueQueries(now float64) []Message {
	if now < max(p.nextQueryAt, p.queryFrom()) {
		return nil
	}
	p.nextQueryAt = now + p.cfg.QueryIntervalMS*(1+0.5*p.rng.Float64())
	q := gossip.ListRequest{Process: p.process, SentAt: micros(now), Age: p.lease.Age(now), Digest: p.lease.digest}
	return []Message{{To: p.choosePeers(), Raw: string(q.Append(nil))}}
}

// Next returns the time by which DueQueries must be called.
func (p *Peers) Next(now float64) float64 {
	return max(now, p.nextQueryAt, p.queryFrom())
}

// queryFrom returns the time from which the own confirmation is old enough for a query.
func (p *Peers) queryFrom() float64 {
	if p.lease.Watching() {
		return p.lease.confirmedAt + p.cfg.WatchedQueryAgeMS
	}
	return p.lease.confirmedAt + p.cfg.UnwatchedQueryAgeMS
}

// choosePeers selects other schedulers at random. A scheduler can be selected more than once.
func (p *Peers) choosePeers() []int {
	to := make([]int, 0, p.cfg.PeersPerQuery)
	for range min(p.cfg.PeersPerQuery, p.cfg.Fleet-1) {
		peer := p.rng.IntN(p.cfg.Fleet - 1)
		if peer >= p.cfg.Self {
			peer++
		}
		to = append(to, peer)
	}
	return to
}

// Receive handles a datagram for which gossip.IsListMessage is true. It returns the datagrams to send in response. changed
// reports whether the withheld state of any target changed.
func (p *Peers) Receive(now float64, sender int, raw string) (out []Message, changed bool, err error) {
	if sender < 0 || sender >= p.cfg.Fleet || sender == p.cfg.Self {
		return nil, false, gossip.ErrFormat
	}
	q, a, err := gossip.ParseList(raw)
	switch {
	case err != nil:
		return nil, false, err
	case a != nil:
		changed = p.receiveResponse(now, a)
		return p.DueResponses(now), changed, nil
	}
	if m, ok := p.respond(now, sender, q); ok {
		return []Message{m}, false, nil
	}
	p.pendingQueries[sender] = pendingQuery{*q, now}
	return nil, false, nil
}

// receiveResponse handles a response. It ignores one to another process of the same scheduler, one whose query time is in the
// future, and one whose age has reached gossip.MaxAge, which also represents all longer ages.
func (p *Peers) receiveResponse(now float64, a *gossip.ListResponse) (changed bool) {
	queriedAt := float64(a.RequestSentAt) / 1000
	if a.Process != p.process || a.Age >= gossip.MaxAge || queriedAt > now {
		return false
	}
	return p.lease.ConfirmByPeer(now, queriedAt-a.Age, a)
}

// DueResponses returns responses to the pending queries that can be answered now. The caller calls it after each renewal of
// the lease.
func (p *Peers) DueResponses(now float64) (out []Message) {
	for _, querier := range slices.Sorted(maps.Keys(p.pendingQueries)) {
		q := p.pendingQueries[querier]
		if now-q.receivedAt > p.cfg.KeepQueryMS {
			delete(p.pendingQueries, querier)
			continue
		}
		aged := q.ListRequest
		aged.Age += now - q.receivedAt
		if m, ok := p.respond(now, querier, &aged); ok {
			out = append(out, m)
			delete(p.pendingQueries, querier)
		}
	}
	return out
}

// respond returns the response to a query. It returns false if the own confirmation is not younger by MinAgeGainMS.
func (p *Peers) respond(now float64, querier int, q *gossip.ListRequest) (Message, bool) {
	age := p.lease.Age(now)
	if !p.lease.Valid() || age+p.cfg.MinAgeGainMS > q.Age {
		return Message{}, false
	}
	a := gossip.ListResponse{Process: q.Process, RequestSentAt: q.SentAt, Age: age, Digest: q.Digest}
	a.Except, a.Keys = p.lease.servingKeys(q.Digest, (float64(querier)+0.5)/float64(p.cfg.Fleet))
	return Message{To: []int{querier}, Raw: string(a.Append(nil))}, true
}

// micros converts milliseconds to whole microseconds, rounded down.
func micros(ms float64) uint64 { return uint64(math.Floor(ms * 1000)) }
