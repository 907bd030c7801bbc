package httpio

import (
	"bytes"
	"fmt"
	"strings"

	"cottonwell/internal/buffer"
)

// checkHead waits for a whole request head and checks its raw bytes without consuming them. http.ReadRequest is
// more lenient than the targets: it drops a Content-Length next to a Transfer-Encoding and accepts a repeated
// length. Two sides could then disagree about the end of a body, and one would take part of the body for another
// request.
func (c *Conn) checkHead() error {
	for searched := 0; ; {
		seen, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return err
		}
		if len(seen) > 0 && !tokenByte(seen[0]) {
			return fmt.Errorf("%w: line does not begin with a method", ErrMalformed)
		}
		if i := bytes.Index(seen[searched:], []byte("\r\n\r\n")); i >= 0 {
			return checkLines(string(seen[:searched+i]))
		}
		if len(seen) >= buffer.Size {
			return ErrHeadTooLarge
		}
		searched = max(0, len(seen)-3)
		if _, err := c.br.Peek(len(seen) + 1); err != nil {
			return err
		}
	}
}

// checkLines checks the lines of a head, without the empty line at its end.
func checkLines(head string) error {
	count := map[string]int{}
	for i, line := range strings.Split(head, "\r\n") {
		if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return fmt.Errorf("%w: control character in line %d", ErrMalformed, i+1)
		}
		if i == 0 {
			continue // ReadRequest checks the request line strictly enough
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !tokenByte(byte(r)) }) {
			return fmt.Errorf("%w: line %d is not a header field", ErrMalformed, i+1)
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		count[name]++
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
		if count[name] > 1 {
			return fmt.Errorf("%w: repeated %s", ErrMalformed, name)
		}
	}
	if count["content-length"] > 0 && count["transfer-encoding"] > 0 {
		return fmt.Errorf("%w: Content-Length together with Transfer-Encoding", ErrMalformed)
	}
	return nil
}

// tokenByte reports whether b is allowed in a method or a field name.
func tokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
