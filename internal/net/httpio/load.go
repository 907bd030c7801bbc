package httpio

import (
	"math"
	"strconv"
	"strings"

	"cottonwell/balance"
)

// ParseLoad reads a load report in the form of a header: name=value,name=value. What
// it cannot read is no report: a target's figures are never worth failing an answer for.
func ParseLoad(s string) balance.Report {
	if s == "" {
		return balance.Report{}
	}
	figures := map[string]float64{}
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			figures[name] = x
		}
	}
	return Load(figures)
}

// Load makes a report of named figures, by the names that the wire and the sockets use.
func Load(figures map[string]float64) balance.Report {
	rep := balance.Report{InFlight: -1, Waiting: -1, Free: -1}
	for name, x := range figures {
		if math.IsNaN(x) || math.Abs(x) > 1e18 {
			continue
		}
		switch name {
		case "inflight", "active":
			rep.InFlight = max(x, 0)
		case "queue", "waiting":
			rep.Waiting = max(x, 0)
		case "x0":
			rep.Free = max(x, 0)
		case "x1":
			rep.Memory = max(x, 0.001) // 0 would say that none is reported
		default:
			continue
		}
		rep.Present = true
	}
	return rep
}
