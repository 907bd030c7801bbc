package core

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"

	"cottonwell/balance"
	"cottonwell/internal/listlease"
)

// listLease applies the lease on the list of the watched source. Package listlease decides which targets may be used. The
// code here passes the result to the decision module, the transport and other schedulers.
type listLease struct {
	lease              *listlease.Lease // nil: lists are used without limit
	peers              *listlease.Peers // nil if schedulers exchange no messages
	leasedSource       *source          // the source whose list is under the lease
	unreadableMessages int              // datagrams about the list that could not be parsed
	leaseTimerAt       float64          // when the next lease timer is due, in milliseconds; in the past if none is set
	lapsedAt           float64          // when the lease expired, or the start, in milliseconds; infinite while it is valid
}

// Parameters of the exchange with other schedulers about confirmations of the list. They configure listlease.Peers.
const (
	peerQueryIntervalMS = 250.0
	peersPerQuery       = 3
	queryAgeUnwatchedMS = 1000.0 // while no watch is open
	queryAgeWatchedMS   = 2600.0 // while a watch is open: it receives a heartbeat every 2 s
	minAgeGainMS        = 200.0
	keepQueryMS         = 1500.0
)

var errNoWatchedSource = errors.New("list lease configured, but no source has a watch")

// startLease creates the lease for the watched source.
func (c *Core) startLease() (err error) {
	if c.cfg.ListLease <= 0 {
		close(c.listReady)
		return nil
	}
	for _, s := range c.sources {
		if s.Watch != nil {
			c.leasedSource = s
		}
	}
	if c.leasedSource == nil {
		return errNoWatchedSource
	}
	now, settings := c.clock.Now(), &c.cfg.Settings
	c.lapsedAt = now
	if c.lease, err = listlease.NewLease(c.cfg.ListLease, cmp.Or(c.cfg.UnwatchedLease, c.cfg.ListLease)); err != nil {
		return err
	}
	if c.cfg.SendToPeers == nil || !settings.Peers || settings.Fleet < 2 {
		return nil
	}
	c.peers, err = listlease.NewPeers(now, listlease.PeersConfig{Self: settings.Self, Fleet: settings.Fleet, Seed: c.cfg.Seed, QueryIntervalMS: peerQueryIntervalMS,
		UnwatchedQueryAgeMS: queryAgeUnwatchedMS, WatchedQueryAgeMS: queryAgeWatchedMS, PeersPerQuery: peersPerQuery, MinAgeGainMS: minAgeGainMS, KeepQueryMS: keepQueryMS}, c.lease)
	return err
}

// updateLeaseList passes the source's current targets to the lease after a list, or changes to it, were applied to them.
func (c *Core) updateLeaseList(s *source, list *TargetList) (changed bool) {
	if c.lease == nil || s != c.leasedSource {
		return false
	}
	serving := make([]listlease.Target, 0, len(s.targets))
	for id, t := range s.targets {
		if t.State == balance.Ready {
			serving = append(serving, listlease.Target{Name: id, StartedMS: t.StartedMS})
		}
	}
	now := c.clock.Now()
	if list.Scope == balance.FromDisk {
		return c.lease.Load(now, serving)
	}
	return c.lease.ConfirmList(now, list.ReadAt, serving)
}

// Heartbeat reports a heartbeat on the open watch of a source, and when it was read.
func (c *Core) Heartbeat(sourceName string, readAt float64) {
	c.post(heartbeatEvent{sourceName, readAt})
}

type heartbeatEvent struct {
	source string
	readAt float64
}

func (e heartbeatEvent) apply(c *Core) {
	c.stats.Heartbeats++
	c.trace.leaseConfirmed("a sign of life", c.clock.Now()-e.readAt)
	if s := c.sources[e.source]; s != nil && c.lease != nil && s == c.leasedSource {
		c.afterLeaseEvent(s, c.lease.Heartbeat(c.clock.Now(), e.readAt))
	}
}

// DiscoveryAddressChanged reports that a source is polled at another address from now on.
func (c *Core) DiscoveryAddressChanged(sourceName string) { c.post(addressChangedEvent{sourceName}) }

type addressChangedEvent struct{ source string }

func (e addressChangedEvent) apply(c *Core) {
	s := c.sources[e.source]
	if s == nil || c.lease == nil || s != c.leasedSource || c.cfg.AddressChangeLease <= 0 {
		return
	}
	now := c.clock.Now()
	c.afterLeaseEvent(s, c.lease.LimitTo(now, now+c.cfg.AddressChangeLease))
}

// watchLost notifies the lease that a request to the source failed or that its watch ended.
func (c *Core) watchLost(s *source) {
	if c.lease != nil && s == c.leasedSource {
		c.afterLeaseEvent(s, c.lease.WatchEnded(c.clock.Now()))
	}
}

// updateLeaseProbe passes the result of a probe to the lease.
func (c *Core) updateLeaseProbe(r ProbeResult) {
	if c.lease == nil || c.sourceByTarget[r.Target] != c.leasedSource {
		return
	}
	status := listlease.NoResponse
	switch {
	case r.NotReady:
		status = listlease.NotReady
	case r.Result == balance.OK:
		status = listlease.Serving
	}
	c.afterLeaseEvent(c.leasedSource, c.lease.Probed(c.clock.Now(), r.Target, status))
}

// receiveListMessage handles a query or a response of another scheduler about the confirmation of the list.
func (c *Core) receiveListMessage(sender int, raw string) {
	if c.peers == nil {
		c.unreadableMessages++
		return
	}
	out, changed, err := c.peers.Receive(c.clock.Now(), sender, raw)
	if err != nil {
		c.unreadableMessages++
		return
	}
	c.sendListMessages(out)
	if changed {
		c.stats.ForwardedConfirmations++
		c.trace.leaseConfirmed("another scheduler", c.lease.Age(c.clock.Now()))
		c.enqueue(balance.Event{Kind: balance.PeerGotList})
	}
	c.afterLeaseEvent(c.leasedSource, changed)
}

func (c *Core) sendListMessages(out []listlease.Message) {
	for _, m := range out {
		c.stats.ListMessagesSent += len(m.To)
		c.cfg.SendToPeers(m.To, m.Raw)
	}
}

// leaseTimerDue reviews the lease when its timer fires.
func (c *Core) leaseTimerDue() {
	c.leaseTimerAt = math.Inf(-1)
	c.afterLeaseEvent(c.leasedSource, c.lease.Review(c.clock.Now()))
}

// afterLeaseEvent completes an event of the lease. If the withheld targets changed, it publishes them. It sends the due
// queries and responses to other schedulers, and sets the timer for the next review.
func (c *Core) afterLeaseEvent(s *source, changed bool) {
	if c.lease == nil || s != c.leasedSource {
		return
	}
	if changed {
		c.publishWithheld()
	}
	c.recordLapse()
	now := c.clock.Now()
	at := c.lease.Next(now)
	if c.peers != nil {
		c.sendListMessages(c.peers.DueResponses(now))
		c.sendListMessages(c.peers.DueQueries(now))
		at = min(at, c.peers.Next(now))
	}
	if waiting := c.leaseTimerAt > now; !math.IsInf(at, 1) && (!waiting || at < c.leaseTimerAt) {
		c.leaseTimerAt = at
		c.timers.add(timer{at: at, kind: leaseTimer})
	}
}

// recordLapse counts and logs that the lease expired, or that it was renewed after an expiry.
func (c *Core) recordLapse() {
	switch lapsed := c.lease.Lapsed(); {
	case !lapsed && !math.IsInf(c.lapsedAt, 1):
		lapsedMS := c.clock.Now() - c.lapsedAt
		c.stats.LapsedMS += lapsedMS
		c.lapsedAt = math.Inf(1)
		if c.stats.Lapses == 0 {
			close(c.listReady)
		}
		c.log.Info("lease on the list renewed", "lapsed_ms", lapsedMS, "watching", c.lease.Watching())
	case lapsed && math.IsInf(c.lapsedAt, 1):
		c.stats.Lapses++
		c.lapsedAt = c.clock.Now()
		c.log.Warn("lease on the list ran out, no attempt is started until discovery responds", "withheld", c.withheldCount())
	}
}

// publishWithheld passes the usable state of all targets under the lease to the decision module and the transport.
func (c *Core) publishWithheld() {
	c.publishTargets(c.leasedSource, slices.Collect(maps.Values(c.leasedSource.targets))...)
}

// withheld reports whether the lease forbids attempts at a target.
func (c *Core) withheld(target string) bool {
	return c.lease != nil && c.sourceByTarget[target] == c.leasedSource && c.lease.Withheld(target)
}

// withheldCount returns the number of targets that are listed as ready and withheld.
func (c *Core) withheldCount() (n int) {
	if c.lease == nil {
		return 0
	}
	for id, t := range c.leasedSource.targets {
		if t.State == balance.Ready && c.lease.Withheld(id) {
			n++
		}
	}
	return n
}

// maySendUntil returns the time by which an attempt at a target of a source must be sent, in milliseconds. The transport
// checks it again before the first byte, since a connection may take long to establish and the process may be paused.
func (c *Core) maySendUntil(s *source, target string) float64 {
	switch {
	case c.offline[target]:
		return math.Inf(-1)
	case c.lease == nil || s == nil || s != c.leasedSource:
		return math.Inf(1)
	}
	return c.lease.MaySendUntil(target)
}
