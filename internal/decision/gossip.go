package decision

import (
	"cmp"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/gossip"
)

// updateNames updates the names of the listed targets from a list, or from changes to it.
func (d *Decider) updateNames(ev *balance.Event) {
	if ev.List != balance.Changes {
		clear(d.names)
		clear(d.byShortName)
		clear(d.byName)
	}
	for i := range ev.Members {
		id := ev.Members[i].ID
		n, listed := d.names[id]
		switch gone := ev.Members[i].State == balance.Gone; {
		case listed && gone:
			delete(d.names, id)
			removeID(d.byShortName, n.Short(), id)
			removeID(d.byName, n, id)
		case !listed && !gone:
			n = gossip.NameOf(id)
			d.names[id] = n
			d.byShortName[n.Short()] = append(d.byShortName[n.Short()], id)
			d.byName[n] = append(d.byName[n], id)
		}
	}
}

// removeID removes an id from those with the name n, and the name when no id is left.
func removeID(names map[gossip.Name][]string, n gossip.Name, id string) {
	ids := slices.DeleteFunc(names[n], func(x string) bool { return x == id })
	if names[n] = ids; len(ids) == 0 {
		delete(names, n)
	}
}

// sendState reports this scheduler's outstanding slots and reservations to the other schedulers. It
// sends changes as they occur and the full state periodically, so that no single datagram has to
// arrive. It also discards the loads and reservations of each scheduler that was silent for longer
// than peerTimeout. After that, only the targets' reports include the work of that scheduler.
func (d *Decider) sendState(now time.Duration, actions []balance.Action) []balance.Action {
	if !d.settings.Peers || d.settings.Fleet < 2 {
		return actions
	}
	for peer, receivedAt := range d.receivedAt {
		if receivedAt > 0 && now-receivedAt > peerTimeout {
			d.receivedAt[peer] = 0
			for id := range d.peerLoads[peer] {
				d.setPeerLoad(peer, id, 0)
			}
			actions = d.applyPeerState(now, peer, nil, actions)
		}
	}
	d.collectLoads()
	d.collectReservations(now)
	// A datagram of changes cannot contain reservations. While there are any, or the last full state
	// contained some, only full states are sent.
	reserving, interval := len(d.outgoing.Reservations) > 0 || d.sentReservations, fullStateInterval
	if reserving {
		interval = reservationInterval
	}
	first := d.fullStateAt == 0
	if fullState := first || now-d.fullStateAt >= interval; fullState || !reserving && len(d.changes) > 0 {
		to, needed := d.recipients(fullState)
		message := &gossip.Message{Changes: true, Loads: d.changes}
		if fullState {
			d.fullStateAt, d.sentReservations, message = max(now, 1), len(d.outgoing.Reservations) > 0, &d.outgoing
		}
		// The first message goes to all schedulers, as it ends the loads of an earlier process with the
		// same number. Reservations go to all, as each scheduler plans around them.
		if first || reserving {
			to, needed = nil, true
		}
		if d.sentLoads = append(d.sentLoads[:0], d.outgoing.Loads...); needed {
			actions = d.appendMessage(message, to, actions)
		}
	}
	return append(actions, balance.Action{Kind: balance.Wake, Timer: gossipTimer, After: changesInterval})
}

// collectLoads lists the outstanding slots by target in the order of the names, and the changes to
// them since the last message.
func (d *Decider) collectLoads() {
	d.outgoing.Loads, d.changes = d.outgoing.Loads[:0], d.changes[:0]
	d.module.InFlight(func(id string, slots float64) {
		if n, ok := d.names[id]; ok {
			d.outgoing.Loads = append(d.outgoing.Loads, gossip.Load{Target: n, Slots: slots})
		}
	})
	slices.SortFunc(d.outgoing.Loads, func(x, y gossip.Load) int { return cmp.Compare(x.Target, y.Target) })
	n := 0
	for _, l := range d.outgoing.Loads { // targets with the same full name are reported as one
		if n > 0 && d.outgoing.Loads[n-1].Target == l.Target {
			d.outgoing.Loads[n-1].Slots += l.Slots
			continue
		}
		d.outgoing.Loads[n] = l
		n++
	}
	d.outgoing.Loads = d.outgoing.Loads[:n]
	previous := d.sentLoads
	for _, l := range d.outgoing.Loads {
		for ; len(previous) > 0 && previous[0].Target < l.Target; previous = previous[1:] {
			d.changes = append(d.changes, gossip.Load{Target: previous[0].Target})
		}
		if len(previous) > 0 && previous[0].Target == l.Target {
			if previous[0].Slots != l.Slots {
				d.changes = append(d.changes, l)
			}
			previous = previous[1:]
			continue
		}
		d.changes = append(d.changes, l)
	}
	for _, l := range previous {
		d.changes = append(d.changes, gossip.Load{Target: l.Target})
	}
}

// appendMessage appends the actions that send a message, in as many datagrams as it needs. It uses
// the formats with short names if the message fits into one datagram and no target in it shares its
// short name with another. Otherwise receivers would take omitted targets for idle, or add the load
// to the other target as well.
func (d *Decider) appendMessage(m *gossip.Message, to []int, actions []balance.Action) []balance.Action {
	emit := func() {
		actions = append(actions, balance.Action{Kind: balance.SendToPeers, Raw: string(d.encoded), To: to})
	}
	shared := func(n gossip.Name) bool { return len(d.byShortName[n.Short()]) > 1 }
	if m.FitsShortNames() && !slices.ContainsFunc(m.Loads, func(l gossip.Load) bool { return shared(l.Target) }) &&
		!slices.ContainsFunc(m.Reservations, func(h gossip.Reservation) bool { return shared(h.Target) }) {
		if d.encoded = d.encoded[:0]; m.Changes {
			d.encoded = gossip.AppendChanges(d.encoded, m.Loads)
		} else {
			d.encoded = gossip.AppendFull(d.encoded, m)
		}
		emit()
		return actions
	}
	rest := *m
	for first := gossip.Name(0); ; {
		written := 0
		d.encoded, written, first = gossip.AppendRange(d.encoded[:0], &rest, first)
		emit()
		if rest.Loads = rest.Loads[written:]; len(rest.Loads) == 0 {
			return actions
		}
	}
}

// recipients returns the schedulers that a message concerns. These may have jobs for its targets by
// their place on the ring, or have some there now. So the cost of messages grows with the number of
// schedulers that share a target, and not with the fleet.
//
// A scheduler that received changes also receives full states, and trailingFullStates more after
// the last load that concerns it. So it learns that a load ended even if a datagram is lost. After
// that it receives nothing, and treats this scheduler as silent, which is correct for its targets.
//
// A nil slice means all schedulers. needed is false if the message concerns no scheduler.
func (d *Decider) recipients(fullState bool) (to []int, needed bool) {
	included, count := make([]bool, d.settings.Fleet), 0
	add := func(peer int) {
		if peer != d.settings.Self && !included[peer] {
			included[peer] = true
			count++
		}
	}
	loads := d.changes
	if fullState {
		loads = append(loads, d.outgoing.Loads...)
		d.changes = loads[:len(d.changes)]
	}
	for _, l := range loads {
		for _, id := range d.byName[l.Target] {
			for place, last := d.module.NearbyDispatchers(id); place <= last; place++ {
				add((place + d.settings.Fleet) % d.settings.Fleet)
			}
			for _, peer := range d.peersAt[id] {
				add(peer)
			}
		}
	}
	for peer := range d.fullStatesDue {
		switch {
		case included[peer]:
			d.fullStatesDue[peer] = trailingFullStates
		case fullState && d.fullStatesDue[peer] > 0:
			d.fullStatesDue[peer]--
			add(peer)
		}
	}
	if count == d.settings.Fleet-1 {
		return nil, true
	}
	to = make([]int, 0, count)
	for peer, isIncluded := range included {
		if isIncluded {
			to = append(to, peer)
		}
	}
	return to, count > 0
}

// setPeerLoad records the slots that another scheduler uses at a target.
func (d *Decider) setPeerLoad(peer int, id string, slots float64) {
	loads := d.peerLoads[peer]
	known := loads[id] > 0
	switch {
	case slots > 0:
		if loads[id] = slots; !known {
			d.peersAt[id] = append(d.peersAt[id], peer)
		}
	case known:
		delete(loads, id)
		peers := d.peersAt[id]
		i := slices.Index(peers, peer)
		peers[i] = peers[len(peers)-1]
		if d.peersAt[id] = peers[:len(peers)-1]; len(peers) == 1 {
			if _, listed := d.names[id]; !listed {
				delete(d.peersAt, id)
			}
		}
	}
}

// targetsNamed returns the ids of the targets to which a name in the received message refers.
func (d *Decider) targetsNamed(n gossip.Name) []string {
	if d.received.LongNames {
		return d.byName[n]
	}
	return d.byShortName[n]
}

// receive processes a datagram of another scheduler. It counts and ignores a datagram that cannot
// be parsed, or whose sender is invalid.
func (d *Decider) receive(now time.Duration, ev *balance.Event, actions []balance.Action) []balance.Action {
	if ev.Peer < 0 || ev.Peer >= d.settings.Fleet || ev.Peer == d.settings.Self || gossip.Parse(ev.Raw, &d.received) != nil {
		d.Unreadable++
		return actions
	}
	d.receivedAt[ev.Peer] = now
	if d.peerLoads[ev.Peer] == nil {
		d.peerLoads[ev.Peer] = map[string]float64{}
	}
	if !d.received.Changes {
		for id := range d.peerLoads[ev.Peer] {
			if d.received.LongNames {
				if n := gossip.NameOf(id); n < d.received.First || n > d.received.Last {
					continue
				}
			}
			d.setPeerLoad(ev.Peer, id, 0)
		}
	}
	for _, l := range d.received.Loads {
		for _, id := range d.targetsNamed(l.Target) {
			d.setPeerLoad(ev.Peer, id, l.Slots)
		}
	}
	return d.applyPeerState(now, ev.Peer, d.received.Reservations, actions)
}
