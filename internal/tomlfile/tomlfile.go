// Package tomlfile reads TOML settings files strictly.
//
// Load is given a path and a value to decode into. Every mistake in the file, such as a syntax error or an unknown key, is one
// error that names the file and the line. The package does not check the meaning of the settings.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// Load decodes a file into v. A key without a field in v is an error.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	meta, err := toml.Decode(string(data), v)
	var parseErr toml.ParseError
	switch {
	case errors.As(err, &parseErr):
		return fmt.Errorf("%s:%d: %s", path, parseErr.Position.Line, parseErrorText(parseErr))
	case err != nil:
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s:%d: unknown key %s", path, lineOf(string(data), unknown[0]), unknown[0])
	}
	return nil
}

// parseErrorText returns the message of a parse error, with the key before it if the message does not contain it.
func parseErrorText(parseErr toml.ParseError) string {
	if parseErr.LastKey != "" && !strings.Contains(parseErr.Message, parseErr.LastKey) {
		return parseErr.LastKey + ": " + strings.TrimPrefix(parseErr.Message, "toml: ")
	}
	if parseErr.Message == "" {
		return parseErr.Error()
	}
	return parseErr.Message
}

// lineOf returns the number of the first line, from 1, that contains the last part of a key within the key's table. If there is
// none, it returns the first line that contains that part, or 1.
func lineOf(data string, key toml.Key) int {
	lastPart, inTable, fallback := key[len(key)-1], len(key) == 1, 0
	for i, line := range strings.Split(data, "\n") {
		line = strings.TrimSpace(line)
		if table := strings.Trim(line, "[] "); strings.HasPrefix(line, "[") {
			inTable = len(key) > 1 && table == strings.Join(key[:len(key)-1], ".")
			if table == key.String() {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && strings.Trim(strings.TrimSpace(name), `"'`) == lastPart {
			if inTable {
				return i + 1
			}
			if fallback == 0 {
				fallback = i + 1
			}
		}
		if fallback == 0 && !strings.HasPrefix(line, "#") && strings.Contains(line, lastPart) {
			fallback = i + 1
		}
	}
	return max(fallback, 1)
}
