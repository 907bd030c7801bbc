package discovery

import (
	"fmt"

	"cottonwell/balance"
	"cottonwell/internal/core"
)

// List is discovery's list of targets, or changes to it.
type List struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Entry is one target of the list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   any     `json:"group"` // a number; any JSON value is accepted, as it is only compared
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// TargetList converts the list for the core. An entry that cannot be read is left out; the error then names it,
// and the other entries are valid.
func (l *List) TargetList() (core.TargetList, error) {
	list := core.TargetList{Scope: balance.Changes}
	if l.Snapshot {
		list.Scope = balance.Complete
	}
	var entryErr error
	for _, entry := range l.Endpoints {
		target := core.Target{Address: entry.Address, StartedMS: entry.SinceMS, Member: balance.Member{
			ID: entry.Name, Zone: entry.Zone, Kind: entry.Type, Cell: fmt.Sprint(entry.Group), Weight: entry.Weight}}
		switch entry.Status {
		case "SERVING":
			target.State = balance.Ready
		case "DRAINING":
			target.State = balance.Draining
		case "DELETED":
			target.State = balance.Gone
		default: // unknown: send it nothing
			target.State = balance.Draining
			entryErr = fmt.Errorf("target %s has an unknown status %q", entry.Name, entry.Status)
		}
		if entry.Name == "" {
			entryErr = fmt.Errorf("entry without a name")
			continue
		}
		list.Targets = append(list.Targets, target)
	}
	return list, entryErr
}
