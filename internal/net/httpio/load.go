package httpio

import (
	"math"
	"strconv"
	"strings"

	"cottonwell/balance"
)

// ParseLoad reads a load report from a header value of the form name=value,name=value. An unreadable value is left
// out: a malformed load report must not make a response fail.
func ParseLoad(s string) balance.Report {
	if s == "" {
		return balance.Report{}
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if x, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = x
		}
	}
	return Load(values)
}

// Load returns the report for named values, by the names used on the wire and on the sockets.
func Load(values map[string]float64) balance.Report {
	report := balance.Report{InFlight: -1, Waiting: -1, Free: -1}
	for name, x := range values {
		if math.IsNaN(x) || math.Abs(x) > 1e18 {
			continue
		}
		switch name {
		case "inflight", "active":
			report.InFlight = max(x, 0)
		case "queue", "waiting":
			report.Waiting = max(x, 0)
		case "x0":
			report.Free = max(x, 0)
		case "x1":
			report.Memory = max(x, 0.001) // 0 would mean that none is reported
		default:
			continue
		}
		report.Present = true
	}
	return report
}
