// Package config reads the two configuration files of a scheduler: the platform's JSON
// configuration, which includes the settings of the decision module, and the operator's TOML
// file. It is given the paths and the environment, and returns the decoded values or an error that
// names what is wrong. LoadOperator also checks the operator's file against the settings. The
// package starts nothing and does not watch the files.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/net/discovery"
	"cottonwell/internal/wire"
)

// Config is the platform's configuration.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Control   string `json:"control"` // listen address for operators' requests; empty if disabled
	Discovery string `json:"discovery"`
	RawSeed   string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen  string         `json:"peer_listen"`
	Peers       []string       `json:"peers"`
	PeersAll    string         `json:"peers_all"`
	Known       discovery.List `json:"known"`
	RawSettings map[string]any `json:"settings"`

	Settings balance.Settings `json:"-"`
	// ListsPushed reports that discovery is an agent on this machine to which lists are pushed. A list that the agent has
	// received counts as delivered, whether or not the scheduler has read it.
	ListsPushed bool   `json:"-"`
	Seed        uint64 `json:"-"`
}

// Load reads the configuration file at path. The environment variables RELAY_NAME, RELAY_LISTEN,
// RELAY_DISCOVERY and RELAY_CONTROL override its values.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: RELAY_CONFIG is not set and --config not given")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, dest := range map[string]*string{"RELAY_NAME": &cfg.Name, "RELAY_LISTEN": &cfg.Listen, "RELAY_DISCOVERY": &cfg.Discovery, "RELAY_CONTROL": &cfg.Control} {
		if v := env(name); v != "" {
			*dest = v
		}
	}
	if cfg.Listen == "" {
		return nil, fmt.Errorf("configuration %s: listen address is missing", path)
	}
	return cfg, nil
}

// ReadDiscoveryAddress reads the file again and returns its discovery address. It ignores the environment,
// which was set at the start and is therefore older than the file.
func ReadDiscoveryAddress(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	cfg, err := Parse(data)
	if err != nil {
		return "", fmt.Errorf("configuration %s: %w", path, err)
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); err != nil {
		return "", fmt.Errorf("configuration %s: discovery: %w", path, err)
	}
	return cfg.Discovery, nil
}

// Parse decodes a configuration and fills in defaults: 192 MB of memory and 1024 sockets.
func Parse(data []byte) (*Config, error) {
	cfg := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // a float64 would be printed differently for large numbers of microseconds
	if err := decoder.Decode(cfg); err != nil {
		return nil, err
	}
	cfg.Seed = parseSeed(cfg.RawSeed)
	if cfg.Limits.MemoryMB <= 0 {
		cfg.Limits.MemoryMB = 192
	}
	if cfg.Limits.Sockets <= 0 {
		cfg.Limits.Sockets = 1024
	}
	pairs, err := Flatten(cfg.RawSettings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg.Settings, err = parseSettings(pairs)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// On real sockets lists always arrive on a watch that the scheduler opens. The setting only decides whether that
	// watch is at discovery or at the agent.
	cfg.ListsPushed, cfg.Settings.Subscribe = !cfg.Settings.Subscribe, true
	if cfg.ListsPushed {
		// The agent is on this machine, so a request costs nothing. It holds requests while it is silent and responds
		// when it returns, and from then on its list counts as delivered. So the time between two requests is minimal.
		cfg.Settings.MaxQueryInterval = 0
	}
	return cfg, nil
}

// parseSeed converts the seed to a number: a hexadecimal number is parsed, any other text is hashed.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// parseSettings parses path=value pairs with the parser of the simulator's wire, so that the
// scheduler and the simulator read the same format.
func parseSettings(pairs []string) (balance.Settings, error) {
	text := "FRAME sim-time-us=0 seq=0\nSPAWN dispatcher=0 rng-seed=0 " + strings.Join(pairs, " ") + "\nEND\n"
	reader := wire.NewReader(strings.NewReader(text))
	for {
		item, err := reader.Next()
		if err != nil {
			return balance.Settings{}, err
		}
		if item.Kind == wire.Start {
			return item.Settings, nil
		}
	}
}

// Flatten converts nested settings to the wire's path=value pairs, sorted. It joins lists of
// scalars with commas. A list of objects becomes a count and one numbered path for each object.
// It replaces characters that would break a pair with an underscore.
func Flatten(settings map[string]any) ([]string, error) {
	var pairs []string
	var walk func(path string, v any) error
	walk = func(path string, v any) error {
		subpath := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
		switch v := v.(type) {
		case nil:
			return nil
		case map[string]any:
			for name, x := range v {
				if err := walk(subpath(sanitize(name)), x); err != nil {
					return err
				}
			}
			return nil
		case []any:
			if slices.ContainsFunc(v, func(x any) bool { _, ok := x.(map[string]any); return ok }) {
				pairs = append(pairs, subpath("count")+"="+strconv.Itoa(len(v)))
				for i, x := range v {
					if err := walk(subpath(strconv.Itoa(i)), x); err != nil {
						return err
					}
				}
				return nil
			}
			var parts []string
			for _, x := range v {
				s, err := formatScalar(x)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				parts = append(parts, s)
			}
			pairs = append(pairs, path+"="+strings.Join(parts, ","))
			return nil
		}
		s, err := formatScalar(v)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		pairs = append(pairs, path+"="+s)
		return nil
	}
	if err := walk("", settings); err != nil {
		return nil, err
	}
	slices.Sort(pairs)
	return pairs, nil
}

// formatScalar formats a string, boolean or number as the value of a pair.
func formatScalar(v any) (string, error) {
	switch v := v.(type) {
	case string:
		return sanitize(v), nil
	case bool:
		return strconv.FormatBool(v), nil
	case json.Number:
		return v.String(), nil
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	}
	return "", fmt.Errorf("unsupported value type %T", v)
}

// sanitize replaces white space, control characters, commas and equals signs with underscores.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ',' || r == '=' {
			return '_'
		}
		return r
	}, s)
}
