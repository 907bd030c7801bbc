package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cottonwell/balance"
)

// settingPairs holds the path=value pairs of a SPAWN message. Its methods parse single values,
// keep the first error, and return a default for a missing path.
type settingPairs struct {
	values map[string]string
	err    error
}

func (p *settingPairs) float(path string, defaultValue float64) float64 {
	s, ok := p.values[path]
	if !ok || s == "" {
		return defaultValue
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		p.fail(path)
		return defaultValue
	}
	return x
}

func (p *settingPairs) fail(path string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s has a value that cannot be read", path)
	}
}

// duration parses a time in microseconds.
func (p *settingPairs) duration(path string) time.Duration {
	return time.Duration(p.float(path, 0) * float64(time.Microsecond))
}

func (p *settingPairs) bool(path string) bool {
	switch p.values[path] {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	}
	p.fail(path)
	return false
}

// count returns the length of a list of objects, 0 to 10000.
func (p *settingPairs) count(path string) int {
	n := p.float(path, 0)
	if n < 0 || n > 10000 || n != float64(int(n)) {
		p.fail(path)
		return 0
	}
	return int(n)
}

// list parses a comma-separated list of values.
func (p *settingPairs) list(path string) []string {
	if p.values[path] == "" {
		return nil
	}
	return strings.Split(p.values[path], ",")
}

// parseStart parses a SPAWN message. It ignores settings with unknown paths.
func parseStart(f *fields) (Item, error) {
	item := Item{Kind: Start}
	pairs := &settingPairs{values: make(map[string]string, 128)}
	for f.next() {
		switch f.name {
		case "dispatcher":
			item.Instance, f.present = int(f.int()), f.present|hasInstance
		case "rng-seed":
			item.Seed, f.present = f.uint(), f.present|hasSeed
		default:
			pairs.values[f.name] = strings.Clone(f.value)
		}
	}
	if err := f.require(hasInstance | hasSeed); err != nil {
		return item, err
	}
	item.Settings = parseSettings(pairs)
	return item, pairs.err
}

// parseSettings returns the settings of the decision module. A bad value is recorded in pairs.err.
func parseSettings(pairs *settingPairs) balance.Settings {
	s := balance.Settings{
		Self:               int(pairs.float("me", 0)),
		Fleet:              int(pairs.float("fleet-size", 1)),
		Zone:               pairs.values["locality"],
		Tick:               pairs.duration("tick-us"),
		ByWork:             pairs.values["counted-by"] == "work",
		ReportsStart:       pairs.bool("family-info.tells-start"),
		ProgressEvery:      pairs.duration("family-info.progress-us"),
		Subscribe:          pairs.values["registry-mode"] == "subscribe",
		MaxAttempts:        int(pairs.float("permissions.attempts-cap", 1)),
		Duplicates:         pairs.bool("permissions.may-duplicate"),
		Cancel:             pairs.bool("permissions.cancel"),
		Probes:             pairs.bool("permissions.probes"),
		Peers:              pairs.bool("permissions.may-tell"),
		MaxRetryAfter:      pairs.duration("permissions.max-retry-after-us"),
		StreamsPerConn:     int(pairs.float("permissions.streams-per-conn", 1)),
		ConnIdle:           pairs.duration("permissions.conn-idle-us"),
		DialTimeout:        pairs.duration("permissions.dial-timeout-us"),
		ResponseSlack:      pairs.duration("rules.answer-slack-us"),
		MaxQueryInterval:   pairs.duration("rules.ask-within-us"),
		ColdFrom:           pairs.float("rules.cold-from", 1),
		ColdFor:            pairs.duration("rules.cold-us"),
		DrainGrace:         pairs.duration("rules.drain-grace-us"),
		CollapseMultiple:   pairs.float("rules.tip-multiple", 1),
		CollapseWindow:     pairs.duration("rules.fall-us"),
		ClientsMarkRetries: pairs.bool("client-habits.marks-retry"),
		KeyPause:           pairs.duration("rules.settle-after-doubt-us"),
		RetryBudgetFree:    pairs.float("rules.extra-free", 0),
		RetryBudgetRatio:   pairs.float("rules.extra-ratio", 0),
		RetryBudgetWindow:  pairs.duration("rules.budget-window-us"),
		FullMayHaveRun:     pairs.bool("rules.late-shedding"),
		BeyondShareValue:   pairs.float("over-share-worth", 1),
		Prices: balance.Prices{
			CrossZone:  pairs.float("prices.cross-zone", 0),
			Waste:      pairs.float("prices.waste", 0),
			LateFail:   pairs.float("prices.late-fail", 0),
			Handshake:  pairs.float("prices.handshake", 0),
			Connection: pairs.float("prices.connection", 0),
			Probe:      pairs.float("prices.probe", 0),
			Fetch:      pairs.float("prices.origin", 0),
		},
		Goal: balance.Goal{
			Whole:       pairs.float("score-parts.whole", 1),
			WorstWindow: pairs.float("score-parts.worst-window", 0),
			WorstClass:  pairs.float("score-parts.worst-class", 0),
		},
	}
	if !pairs.bool("permissions.retry-after") {
		s.MaxRetryAfter = 0
	}
	for _, name := range pairs.list("load-info.names") {
		if name == "x0" && pairs.values["family-info.report-x0"] == "free_slots" {
			s.ReportsFree = true
		}
	}
	for i := range pairs.count("classes.count") {
		s.Classes = append(s.Classes, parseClass(pairs, i))
	}
	for i := range pairs.count("tenants.count") {
		prefix := "tenants." + strconv.Itoa(i) + "."
		if tenant := (balance.Tenant{Name: pairs.values[prefix+"name"], Allowance: pairs.float(prefix+"allowance-per-s", 0)}); tenant.Allowance > 0 {
			s.Tenants = append(s.Tenants, tenant)
		}
	}
	return s
}

// parseClass returns the settings of the class with that index.
func parseClass(pairs *settingPairs, index int) balance.Class {
	prefix := "classes." + strconv.Itoa(index) + "."
	c := balance.Class{
		Name:          pairs.values[prefix+"name"],
		Window:        pairs.duration(prefix + "memory-span-us"),
		LatencyTarget: pairs.duration(prefix + "aim-us"),
		Deadline:      pairs.duration(prefix + "deadline-us"),
		Value:         pairs.float(prefix+"worth", 1),
		LateShare:     pairs.float(prefix+"late-value", 0),
		Stream:        pairs.bool(prefix + "streaming"),
		Stretch:       pairs.float(prefix+"aim-stretch", 0),
		InOrder:       pairs.bool(prefix + "sequential"),
	}
	switch pairs.values[prefix+"semantics"] {
	case "safe":
		c.Effect = balance.Safe
	case "keyed":
		c.Effect = balance.Keyed
	default: // "unsafe", and values unknown to this version
		c.Effect = balance.Unsafe
	}
	switch pairs.values[prefix+"key-scope"] {
	case "all":
		c.Scope = balance.ScopeAll
	case "zone":
		c.Scope = balance.ScopeZone
	default: // "cell", and values unknown to this version
		c.Scope = balance.ScopeCell
	}
	if byClass := pairs.list("family-info.class-stretch"); index < len(byClass) && c.Stretch == 0 {
		x, err := strconv.ParseFloat(byClass[index], 64)
		if err != nil {
			pairs.fail("family-info.class-stretch")
		}
		c.Stretch = x
	}
	kinds := pairs.list("kinds")
	if byClass := pairs.list("family-info.class-kind"); index < len(byClass) && byClass[index] != "-1" {
		c.Kind = byClass[index]
		if n, err := strconv.Atoi(byClass[index]); err == nil && n >= 0 && n < len(kinds) {
			c.Kind = kinds[n]
		}
	}
	if c.Name == "" && pairs.err == nil {
		pairs.err = errors.New("a class has no name")
	}
	return c
}
