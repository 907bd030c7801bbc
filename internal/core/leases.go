package core

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"

	"cottonwell/balance"
	"cottonwell/internal/freshness"
)

// listLease is the core's side of the lease on the list of the source that is watched. The lease decides; here the module,
// the transport and other schedulers are told.
type listLease struct {
	lease      *freshness.Lease // nil: lists are acted on for ever
	peers      *freshness.Peers // nil where schedulers have no way to one another
	leased     *source          // the source whose list it is
	unreadable int              // datagrams about discovery's word that could not be read
	wakeAt     float64          // when the next timer for the lease rings; in the past if none is set
	lapsedAt   float64          // when it ran out, or the start; infinite while it is valid
}

// The exchange with other schedulers about the word of discovery, in milliseconds.
const (
	askPeersEvery  = 250.0
	askPeersMany   = 3
	askPeersAt     = 1000.0 // without a watch
	askPeersSilent = 2600.0 // with one: a sign of life comes every 2 s
	wordYounger    = 200.0
	keepQuestion   = 1500.0
)

var errNothingWatched = errors.New("a lease on a list that no source is asked for")

// startLease sets the lease up for the source that is watched.
func (c *Core) startLease() (err error) {
	if c.cfg.ListLease <= 0 {
		close(c.fresh)
		return nil
	}
	for _, s := range c.sources {
		if s.Watch != nil {
			c.leased = s
		}
	}
	if c.leased == nil {
		return errNothingWatched
	}
	now, settings := c.clock.Now(), &c.cfg.Settings
	c.lapsedAt = now
	if c.lease, err = freshness.NewLease(c.cfg.ListLease, cmp.Or(c.cfg.UnwatchedLease, c.cfg.ListLease)); err != nil {
		return err
	}
	if c.cfg.Tell == nil || !settings.Peers || settings.Fleet < 2 {
		return nil
	}
	c.peers, err = freshness.NewPeers(now, freshness.PeersConfig{Self: settings.Self, Fleet: settings.Fleet, Seed: c.cfg.Seed, AskEvery: askPeersEvery,
		AskAt: askPeersAt, SilentAt: askPeersSilent, AskMany: askPeersMany, Younger: wordYounger, KeepFor: keepQuestion}, c.lease)
	return err
}

// listHeard tells the lease of a list, or of changes to it, that the source's members show by now.
func (c *Core) listHeard(s *source, g *Group) (changed bool) {
	if c.lease == nil || s != c.leased {
		return false
	}
	serving := make([]freshness.Target, 0, len(s.members))
	for id, t := range s.members {
		if t.State == balance.Ready {
			serving = append(serving, freshness.Target{Name: id, StartedMS: t.StartedMS})
		}
	}
	now := c.clock.Now()
	if g.Scope == balance.FromDisk {
		return c.lease.Load(now, serving)
	}
	return c.lease.Listed(now, g.ReadAt, serving)
}

// SignOfLife tells that a source gave one on its open watch, and when it was read.
func (c *Core) SignOfLife(from string, readAt float64) { c.post(signOfLife{from, readAt}) }

type signOfLife struct {
	from   string
	readAt float64
}

func (e signOfLife) apply(c *Core) {
	c.books.SignsOfLife++
	c.trace.word("a sign of life", c.clock.Now()-e.readAt)
	if s := c.sources[e.from]; s != nil && c.lease != nil && s == c.leased {
		c.leaseReviewed(s, c.lease.SignOfLife(c.clock.Now(), e.readAt))
	}
}

// Moved tells that a source is asked at another address from now on.
func (c *Core) Moved(from string) { c.post(moved{from}) }

type moved struct{ from string }

func (e moved) apply(c *Core) {
	s := c.sources[e.from]
	if s == nil || c.lease == nil || s != c.leased || c.cfg.MovedLease <= 0 {
		return
	}
	now := c.clock.Now()
	c.leaseReviewed(s, c.lease.EndBy(now, now+c.cfg.MovedLease))
}

// listLost tells the lease that a call failed or a watch ended.
func (c *Core) listLost(s *source) {
	if c.lease != nil && s == c.leased {
		c.leaseReviewed(s, c.lease.WatchLost(c.clock.Now()))
	}
}

// probeHeard tells the lease what came of a probe.
func (c *Core) probeHeard(r ProbeResult) {
	if c.lease == nil || c.targets[r.Target] != c.leased {
		return
	}
	answer := freshness.Silent
	switch {
	case r.NotReady:
		answer = freshness.NotReady
	case r.Result == balance.OK:
		answer = freshness.Serving
	}
	c.leaseReviewed(c.leased, c.lease.Probed(c.clock.Now(), r.Target, answer))
}

// wordHeard takes in what another scheduler asks or says of discovery's word.
func (c *Core) wordHeard(who int, raw string) {
	if c.peers == nil {
		c.unreadable++
		return
	}
	out, changed, err := c.peers.Heard(c.clock.Now(), who, raw)
	if err != nil {
		c.unreadable++
		return
	}
	c.sendWords(out)
	if changed {
		c.books.WordsPassedOn++
		c.trace.word("another scheduler", c.lease.Age(c.clock.Now()))
		c.step(balance.Event{Kind: balance.Answered})
	}
	c.leaseReviewed(c.leased, changed)
}

func (c *Core) sendWords(out []freshness.Message) {
	for _, m := range out {
		c.books.WordsTold += len(m.To)
		c.cfg.Tell(m.To, m.Raw)
	}
}

func (c *Core) leaseDue() {
	c.wakeAt = math.Inf(-1)
	c.leaseReviewed(c.leased, c.lease.Review(c.clock.Now()))
}

// leaseReviewed does what follows of an event on the lease of a source: it tells who may be sent to if that has changed, asks and
// answers other schedulers, and asks to be woken for what comes next.
func (c *Core) leaseReviewed(s *source, changed bool) {
	if c.lease == nil || s != c.leased {
		return
	}
	if changed {
		c.tellWithheld()
	}
	c.noteLapse()
	now := c.clock.Now()
	at := c.lease.Next(now)
	if c.peers != nil {
		c.sendWords(c.peers.Renewed(now))
		c.sendWords(c.peers.Due(now))
		at = min(at, c.peers.Next(now))
	}
	if waiting := c.wakeAt > now; !math.IsInf(at, 1) && (!waiting || at < c.wakeAt) {
		c.wakeAt = at
		c.timers.add(timer{at: at, what: leaseTimer})
	}
}

// noteLapse counts and logs that the lease ran out, or was renewed after that.
func (c *Core) noteLapse() {
	switch lapsed := c.lease.Lapsed(); {
	case !lapsed && !math.IsInf(c.lapsedAt, 1):
		after := c.clock.Now() - c.lapsedAt
		c.books.LapsedFor += after
		c.lapsedAt = math.Inf(1)
		if c.books.Lapses == 0 {
			close(c.fresh)
		}
		c.log.Info("lease on the list renewed", "lapsed_ms", after, "watching", c.lease.Watching())
	case lapsed && math.IsInf(c.lapsedAt, 1):
		c.books.Lapses++
		c.lapsedAt = c.clock.Now()
		c.log.Warn("lease on the list ran out, nothing is sent until discovery answers", "withheld", c.withholds())
	}
}

// tellWithheld tells the module and the transport which targets may be sent to.
func (c *Core) tellWithheld() {
	c.tellOf(c.leased, slices.Collect(maps.Values(c.leased.members))...)
}

// withheld says whether the lease keeps a target from being sent to.
func (c *Core) withheld(target string) bool {
	return c.lease != nil && c.targets[target] == c.leased && c.lease.Withheld(target)
}

// withholds is how many targets serve by the list and are withheld.
func (c *Core) withholds() (n int) {
	if c.lease == nil {
		return 0
	}
	for id, t := range c.leased.members {
		if t.State == balance.Ready && c.lease.Withheld(id) {
			n++
		}
	}
	return n
}

// maySendUntil is until when an attempt may leave for a target of a source. It is looked at again as the first byte goes,
// as a connection may be long in coming up, and a process may stand still.
func (c *Core) maySendUntil(s *source, target string) float64 {
	switch {
	case c.offline[target]:
		return math.Inf(-1)
	case c.lease == nil || s == nil || s != c.leased:
		return math.Inf(1)
	}
	return c.lease.MaySendUntil(target)
}
