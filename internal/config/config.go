// Package config reads what a scheduler is told at its start: the platform's
// configuration with the settings of the decision module, and the operator's file.
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
	Control   string `json:"control"` // address of operators' calls, or empty
	Discovery string `json:"discovery"`
	SeedText  string `json:"seed"`
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
	// Pushed says that discovery is an agent on this machine: what that has counts as told, whether or not it was
	// read.
	Pushed bool   `json:"-"`
	Seed   uint64 `json:"-"`
}

// Load reads the file named by the environment; variables of their own win over it.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration: RELAY_CONFIG is not set and --config not given")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	for name, to := range map[string]*string{"RELAY_NAME": &c.Name, "RELAY_LISTEN": &c.Listen, "RELAY_DISCOVERY": &c.Discovery, "RELAY_CONTROL": &c.Control} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	if c.Listen == "" {
		return nil, fmt.Errorf("configuration %s: no address to listen at", path)
	}
	return c, nil
}

// Discovery reads the file again and returns the address of discovery that stands there.
// The environment was set once, at the start, so that what it says of discovery is older.
func Discovery(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return "", fmt.Errorf("configuration %s: %w", path, err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return "", fmt.Errorf("configuration %s: discovery: %w", path, err)
	}
	return c.Discovery, nil
}

// Parse reads a configuration.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // or large microsecond figures would come out in another form
	if err := d.Decode(c); err != nil {
		return nil, err
	}
	c.Seed = seed(c.SeedText)
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = 192
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	pairs, err := Flatten(c.RawSettings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.Settings, err = settings(pairs)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// On sockets lists always come on a watch that has to be opened; the settings say only whose it is.
	c.Pushed, c.Settings.Subscribe = !c.Settings.Subscribe, true
	if c.Pushed {
		// The agent is on this machine and costs nothing to ask. It holds calls while it is silent and answers them at
		// its return, when what it has counts at once; so the less time there is between two calls, the better.
		c.Settings.AskWithin = 0
	}
	return c, nil
}

// seed turns the seed's text into a number, as hex where it is.
func seed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// settings hands the pairs to the parser of the simulator's wire, so that both sides
// read one form.
func settings(pairs []string) (balance.Settings, error) {
	text := "FRAME sim-time-us=0 seq=0\nSPAWN dispatcher=0 rng-seed=0 " + strings.Join(pairs, " ") + "\nEND\n"
	in := wire.NewReader(strings.NewReader(text))
	for {
		it, err := in.Next()
		if err != nil {
			return balance.Settings{}, err
		}
		if it.Kind == wire.Start {
			return it.Settings, nil
		}
	}
}

// Flatten turns nested settings into the wire's path=value pairs, sorted: lists of
// plain values are joined by commas, lists of objects get a count and numbers, and
// what would break a pair becomes an underscore.
func Flatten(settings map[string]any) ([]string, error) {
	var out []string
	var walk func(path string, v any) error
	walk = func(path string, v any) error {
		at := func(name string) string { return strings.TrimPrefix(path+"."+name, ".") }
		switch v := v.(type) {
		case nil:
			return nil
		case map[string]any:
			for name, x := range v {
				if err := walk(at(clean(name)), x); err != nil {
					return err
				}
			}
			return nil
		case []any:
			if slices.ContainsFunc(v, func(x any) bool { _, ok := x.(map[string]any); return ok }) {
				out = append(out, at("count")+"="+strconv.Itoa(len(v)))
				for i, x := range v {
					if err := walk(at(strconv.Itoa(i)), x); err != nil {
						return err
					}
				}
				return nil
			}
			var parts []string
			for _, x := range v {
				s, err := plain(x)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				parts = append(parts, s)
			}
			out = append(out, path+"="+strings.Join(parts, ","))
			return nil
		}
		s, err := plain(v)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, path+"="+s)
		return nil
	}
	if err := walk("", settings); err != nil {
		return nil, err
	}
	slices.Sort(out)
	return out, nil
}

func plain(v any) (string, error) {
	switch v := v.(type) {
	case string:
		return clean(v), nil
	case bool:
		return strconv.FormatBool(v), nil
	case json.Number:
		return v.String(), nil
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	}
	return "", fmt.Errorf("a value of an unknown form (%T)", v)
}

func clean(s string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r == ',' || r == '=' {
			return '_'
		}
		return r
	}, s)
}
