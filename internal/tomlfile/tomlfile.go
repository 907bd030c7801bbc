// Package tomlfile reads settings files strictly: every mistake is one error that names the
// file and the line.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Load decodes a file into v. A key that v does not know is an error.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	meta, err := toml.Decode(string(data), v)
	var at toml.ParseError
	switch {
	case errors.As(err, &at):
		return fmt.Errorf("%s:%d: %s", path, at.Position.Line, text(at))
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return fmt.Errorf("%s:%d: unknown key %s", path, lineOf(string(data), odd[0]), odd[0])
	}
	return nil
}

func text(at toml.ParseError) string {
	if at.LastKey != "" && !strings.Contains(at.Message, at.LastKey) {
		return at.LastKey + ": " + strings.TrimPrefix(at.Message, "toml: ")
	}
	if at.Message == "" {
		return at.Error()
	}
	return at.Message
}

// lineOf is the first line at which the last part of a key stands after the table that it
// is in, counted from 1.
func lineOf(data string, key toml.Key) int {
	last, in, first := key[len(key)-1], len(key) == 1, 0
	for i, line := range strings.Split(data, "\n") {
		line = strings.TrimSpace(line)
		if table := strings.Trim(line, "[] "); strings.HasPrefix(line, "[") {
			in = len(key) > 1 && table == strings.Join(key[:len(key)-1], ".")
			if table == key.String() {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && strings.Trim(strings.TrimSpace(name), `"'`) == last {
			if in {
				return i + 1
			}
			if first == 0 {
				first = i + 1
			}
		}
		if first == 0 && !strings.HasPrefix(line, "#") && strings.Contains(line, last) {
			first = i + 1
		}
	}
	return max(first, 1)
}
