package discovery

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/core"
)

// List is discovery's list of shop workers, or changes to it.
type List struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Entry is one shop worker of the list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   any     `json:"group"` // a number; any form will do, as it only has to be compared
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// TargetGroup turns the list into the core's form. An entry that cannot be read is left
// out; the error then says so, and the rest holds.
func (l *List) TargetGroup() (core.Group, error) {
	g := core.Group{Scope: balance.Changes}
	if l.Snapshot {
		g.Scope = balance.Whole
	}
	var bad error
	for _, e := range l.Endpoints {
		t := core.Target{Address: e.Address, StartedMS: e.SinceMS, Member: balance.Member{
			ID: e.Name, Zone: e.Zone, Kind: e.Type, Cell: fmt.Sprint(e.Group), Weight: e.Weight}}
		switch e.Status {
		case "SERVING":
			t.State = balance.Ready
		case "DRAINING":
			t.State = balance.Draining
		case "DELETED":
			t.State = balance.Gone
		default: // unknown: send nothing there
			t.State = balance.Draining
			bad = fmt.Errorf("target %s has the unknown status %q", e.Name, e.Status)
		}
		if e.Name == "" {
			bad = fmt.Errorf("an entry has no name")
			continue
		}
		g.Targets = append(g.Targets, t)
	}
	return g, bad
}
