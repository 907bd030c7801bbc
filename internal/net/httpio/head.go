package httpio

import (
	"bytes"
	"fmt"
	"strings"

	"cottonwell/internal/buffer"
)

// checkHead waits for a whole request head and looks at its bytes as they came, taking
// none of them. http.ReadRequest is more lenient than the targets are: it drops a
// Content-Length that stands beside Transfer-Encoding and takes lengths that are given
// twice, so that two sides could disagree where a body ends, and what one of them holds
// for body be a request to the other.
func (c *Conn) checkHead() error {
	for from := 0; ; {
		seen, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return err
		}
		if len(seen) > 0 && !tokenByte(seen[0]) {
			return fmt.Errorf("%w: no method", ErrMalformed)
		}
		if i := bytes.Index(seen[from:], []byte("\r\n\r\n")); i >= 0 {
			return checkLines(string(seen[:from+i]))
		}
		if len(seen) >= buffer.Size {
			return ErrHeadTooLarge
		}
		from = max(0, len(seen)-3)
		if _, err := c.br.Peek(len(seen) + 1); err != nil {
			return err
		}
	}
}

// checkLines looks at a head without the empty line at its end.
func checkLines(head string) error {
	seen := map[string]int{}
	for i, line := range strings.Split(head, "\r\n") {
		if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return fmt.Errorf("%w: control character in line %d", ErrMalformed, i+1)
		}
		if i == 0 {
			continue // ReadRequest is strict enough about the request line
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !tokenByte(byte(r)) }) {
			return fmt.Errorf("%w: line %d is no field", ErrMalformed, i+1)
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		seen[name]++
		switch name {
		case "content-length":
			if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r < '0' || r > '9' }) {
				return fmt.Errorf("%w: Content-Length %q", ErrMalformed, value)
			}
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("%w: Transfer-Encoding %q", ErrMalformed, value)
			}
		}
	}
	for _, name := range []string{"content-length", "transfer-encoding", "host"} {
		if seen[name] > 1 {
			return fmt.Errorf("%w: %s stands there twice", ErrMalformed, name)
		}
	}
	if seen["content-length"] > 0 && seen["transfer-encoding"] > 0 {
		return fmt.Errorf("%w: Content-Length beside Transfer-Encoding", ErrMalformed)
	}
	return nil
}

// tokenByte says whether b may stand in a method or a field's name.
func tokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
