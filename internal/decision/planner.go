package decision

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"cottonwell/balance"
	"cottonwell/internal/backfill"
	"cottonwell/internal/gossip"
)

// plannerState is the part of the Decider that serves the planner.
type plannerState struct {
	classes          []string                   // class names by the planner's class number
	plannerActions   []backfill.Action          // not yet applied to the module
	peerReservations []backfill.PeerReservation // buffer for the reservations of one scheduler
	peerTargets      [][]string                 // targets in the last loads of each scheduler
}

// millis converts a time of the module to the planner's unit.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// durationOf converts milliseconds, the planner's unit, to the module's. The limits contain every
// time of a real clock since the Unix epoch. They cut off infinite times, which a Duration cannot
// represent.
func durationOf(ms float64) time.Duration {
	return time.Duration(max(-9e12, min(9e12, ms)) * float64(time.Millisecond))
}

// startPlanner creates the planner, unless plannerConfig is nil. The settings take precedence over
// plannerConfig for the scheduler's number, the fleet size and the classes.
func (d *Decider) startPlanner(plannerConfig *backfill.Config) (err error) {
	if plannerConfig == nil {
		return nil
	}
	config := *plannerConfig
	config.Self, config.Fleet = d.settings.Self, d.settings.Fleet
	config.Classes = nil
	for _, class := range d.settings.Classes {
		config.Classes = append(config.Classes, class.Name)
	}
	if d.planner, err = backfill.New(config); err != nil {
		return fmt.Errorf("reservation planner: %w", err)
	}
	d.classes = config.Classes
	d.peerTargets = make([][]string, d.settings.Fleet)
	return nil
}

// Planner returns the planner for inspection, or nil if it is disabled.
func (d *Decider) Planner() *backfill.Planner { return d.planner }

// notifyPlanner passes an event to the planner. exchangeActions applies the resulting actions.
func (d *Decider) notifyPlanner(now time.Duration, ev backfill.Event) {
	d.plannerActions = d.planner.Step(millis(now), &ev, d.plannerActions)
}

// finishesLate reports whether this event ends a request after its latency target. It must run
// before the module processes the event, as the module then forgets the request.
func (d *Decider) finishesLate(now time.Duration, ev *balance.Event) (late bool) {
	return d.planner != nil && ev.Kind == balance.Ended && ev.Final && !d.module.OnTime(now, ev.Request)
}

// afterModule passes an event and the module's actions on it to the planner, and the planner's
// actions to the module, until neither produces more. The module's actions start at actions[first].
func (d *Decider) afterModule(now time.Duration, ev *balance.Event, late bool, first int, actions []balance.Action) []balance.Action {
	if d.planner == nil {
		return actions
	}
	switch ev.Kind {
	case balance.Listed:
		d.updatePlannerTargets(now, ev)
	case balance.Progressed:
		if ev.Started {
			d.notifyPlanner(now, backfill.Event{Kind: backfill.AttemptStarted, Flow: ev.Request})
		}
	case balance.Probed:
		d.measureTarget(now, ev.Worker, &ev.Report)
	case balance.Ended:
		d.notifyPlanner(now, backfill.Event{Kind: backfill.AttemptEnded, Flow: ev.Request, OK: ev.Result == balance.OK})
		d.measureTarget(now, ev.Worker, &ev.Report)
		if ev.Final {
			d.notifyPlanner(now, backfill.Event{Kind: backfill.FlowDone, Flow: ev.Request, OK: ev.Result == balance.OK && !late})
		}
	case balance.Departed:
		d.notifyPlanner(now, backfill.Event{Kind: backfill.FlowDone, Flow: ev.Request})
	}
	actions = d.exchangeActions(now, ev, first, actions)
	if ev.Kind == balance.Arrived || ev.Kind == balance.Ended && !ev.Final {
		if latest, anywhere, queued := d.module.Queued(now, ev.Request); queued && anywhere {
			wait := backfill.Event{Kind: backfill.FlowQueued, Flow: ev.Request, LatestStart: millis(latest)}
			if ev.Kind == balance.Arrived {
				wait.Class, wait.Tenant, wait.Need, wait.Memory, wait.MachineKind = ev.Class, ev.Tenant, ev.Slots, ev.Memory, d.machineKindOf(ev.Class)
			}
			first = len(actions)
			d.notifyPlanner(now, wait)
			actions = d.exchangeActions(now, ev, first, actions)
		}
	}
	return actions
}

// machineKindOf returns the kind of machine that a class needs; empty if unset.
func (d *Decider) machineKindOf(class string) string {
	for i := range d.settings.Classes {
		if d.settings.Classes[i].Name == class {
			return d.settings.Classes[i].Kind
		}
	}
	return ""
}

// exchangeActions passes the module's actions from actions[first] on to the planner, and the planner's
// to the module. Each round sends a request, ends one or changes a reservation. The planner does so
// a bounded number of times for each event, so the loop ends.
func (d *Decider) exchangeActions(now time.Duration, ev *balance.Event, first int, actions []balance.Action) []balance.Action {
	for i := first; i < len(actions) || len(d.plannerActions) > 0; {
		for ; i < len(actions); i++ {
			d.forwardModuleAction(now, ev, &actions[i])
		}
		plannerActions := d.plannerActions
		d.plannerActions = nil
		for k := range plannerActions {
			actions = d.applyPlannerAction(now, &plannerActions[k], actions)
		}
		if len(d.plannerActions) == 0 {
			d.plannerActions = plannerActions[:0]
		}
	}
	return actions
}

// forwardModuleAction passes one action of the module to the planner.
func (d *Decider) forwardModuleAction(now time.Duration, ev *balance.Event, action *balance.Action) {
	switch action.Kind {
	case balance.Send:
		sent := backfill.Event{Kind: backfill.AttemptSent, Flow: action.Request, Target: action.Worker}
		if ev.Kind == balance.Arrived && ev.Request == action.Request {
			sent.Class, sent.Need, sent.Memory = ev.Class, ev.Slots, ev.Memory
		}
		d.notifyPlanner(now, sent)
		d.measureTarget(now, action.Worker, nil)
	case balance.Refuse, balance.Fail:
		d.notifyPlanner(now, backfill.Event{Kind: backfill.FlowDone, Flow: action.Request})
	}
}

// applyPlannerAction applies one action of the planner: it requests a timer, or updates the
// reservation at a target in the module.
func (d *Decider) applyPlannerAction(now time.Duration, action *backfill.Action, actions []balance.Action) []balance.Action {
	d.event = balance.Event{Kind: balance.Reserved, Worker: action.Target, Request: action.Flow}
	switch action.Kind {
	case backfill.Wake:
		return append(actions, balance.Action{Kind: balance.Wake, Timer: plannerTimer, After: max(0, durationOf(action.At)-now)})
	case backfill.Reserve:
		reservation := &balance.Reservation{Request: action.Flow, SpareSlots: action.SpareSlots, BackfillSlots: action.BackfillSlots}
		for i, until := range action.BackfillUntil {
			if until > millis(now) {
				if reservation.BackfillUntil == nil {
					reservation.BackfillUntil = make(map[string]time.Duration, len(action.BackfillUntil))
				}
				reservation.BackfillUntil[d.classes[i]] = durationOf(until)
			}
		}
		d.event.Reservation = reservation
	}
	return d.module.Step(now, &d.event, actions)
}

// updatePlannerTargets passes a list of targets, or changes to it, to the planner.
func (d *Decider) updatePlannerTargets(now time.Duration, ev *balance.Event) {
	if ev.List == balance.RequestFailed {
		return
	}
	if ev.List != balance.Changes {
		listed := map[string]bool{}
		for i := range ev.Members {
			listed[ev.Members[i].ID] = true
		}
		for _, id := range d.planner.Targets() {
			if !listed[id] {
				d.notifyPlanner(now, backfill.Event{Kind: backfill.TargetDown, Target: id})
			}
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		if m.State == balance.Suspended {
			continue // reservations there stay; the module sends nothing there until the target is ready
		}
		if m.State != balance.Ready {
			d.notifyPlanner(now, backfill.Event{Kind: backfill.TargetDown, Target: m.ID})
			continue
		}
		h := fnv.New32a()
		h.Write([]byte(m.ID))
		d.notifyPlanner(now, backfill.Event{Kind: backfill.TargetUp, Target: m.ID, Hash: h.Sum32(), MachineKind: m.Kind, AllowedClasses: m.Classes})
		d.measureTarget(now, m.ID, nil)
	}
}

// measureTarget passes the module's estimate of a target to the planner, with the free memory if
// report contains it. report may be nil.
func (d *Decider) measureTarget(now time.Duration, id string, report *balance.Report) {
	view, ok := d.module.WorkerEstimate(now, id)
	if !ok {
		return
	}
	measured := backfill.Event{Kind: backfill.TargetMeasured, Target: id, Slots: view.Slots, Busy: view.Load, Memory: -1, Slowdown: view.Slowness, Cold: view.Cold,
		UsableFrom: millis(view.UsableFrom)}
	if report != nil && report.Present && report.Memory > 0 {
		measured.Memory = report.Memory
	}
	d.notifyPlanner(now, measured)
}

// plannerDue passes the planner's timer to it and applies the resulting actions.
func (d *Decider) plannerDue(now time.Duration, actions []balance.Action) []balance.Action {
	if d.planner == nil {
		return actions
	}
	first := len(actions)
	d.notifyPlanner(now, backfill.Event{Kind: backfill.TimerDue})
	d.event = balance.Event{Kind: balance.TimerDue}
	return d.exchangeActions(now, &d.event, first, actions)
}

// collectReservations lists this scheduler's reservations for the next full state.
func (d *Decider) collectReservations(now time.Duration) {
	d.outgoing.Reservations = d.outgoing.Reservations[:0]
	if d.planner == nil {
		return
	}
	d.planner.OwnReservations(func(id string, slots, out, neededAt float64) {
		d.outgoing.Reservations = append(d.outgoing.Reservations, gossip.Reservation{Target: gossip.NameOf(id), Slots: slots, OtherSlots: out, From: neededAt - millis(now)})
	})
}

// applyPeerState passes the loads and reservations of another scheduler to the module and the planner.
func (d *Decider) applyPeerState(now time.Duration, peer int, reservations []gossip.Reservation, actions []balance.Action) []balance.Action {
	first := len(actions)
	d.event = balance.Event{Kind: balance.PeerLoads, Peer: peer, Loads: d.peerLoads[peer]}
	actions = d.module.Step(now, &d.event, actions)
	if d.planner == nil {
		return actions
	}
	for _, id := range d.peerTargets[peer] {
		d.measureTarget(now, id, nil)
	}
	d.peerTargets[peer] = d.peerTargets[peer][:0]
	for _, id := range slices.Sorted(maps.Keys(d.peerLoads[peer])) {
		d.peerTargets[peer] = append(d.peerTargets[peer], id)
		d.measureTarget(now, id, nil)
	}
	d.peerReservations = d.peerReservations[:0]
	for _, h := range reservations {
		for _, id := range d.targetsNamed(h.Target) {
			d.peerReservations = append(d.peerReservations, backfill.PeerReservation{Target: id, Slots: h.Slots, From: millis(now) + h.From})
		}
	}
	d.notifyPlanner(now, backfill.Event{Kind: backfill.PeerReserved, Peer: peer, Reservations: d.peerReservations})
	d.event = balance.Event{Kind: balance.PeerLoads}
	return d.exchangeActions(now, &d.event, first, actions)
}
