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

// maxFields is the maximum number of fields in the head of a request.
const maxFields = 100

// framingFields counts the fields of a head that say where its body ends and whom it is for.
type framingFields struct{ contentLength, transferEncoding, host int }

// checkLines checks the lines of a head, without the empty line at its end.
func checkLines(head string) error {
	if strings.Count(head, "\r\n") > maxFields {
		return ErrTooManyFields
	}
	var fields framingFields
	lineNumber := 0
	for line := range strings.SplitSeq(head, "\r\n") {
		lineNumber++
		if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return fmt.Errorf("%w: control character in line %d", ErrMalformed, lineNumber)
		}
		if lineNumber == 1 {
			continue // ReadRequest checks the request line strictly enough
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !tokenByte(byte(r)) }) {
			return fmt.Errorf("%w: line %d is not a header field", ErrMalformed, lineNumber)
		}
		if err := fields.add(name, strings.Trim(value, " \t")); err != nil {
			return err
		}
	}
	return fields.check()
}

// add checks the value of a field and counts it.
func (f *framingFields) add(name, value string) error {
	switch {
	case strings.EqualFold(name, "host"):
		f.host++
	case strings.EqualFold(name, "content-length"):
		f.contentLength++
		if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r < '0' || r > '9' }) {
			return fmt.Errorf("%w: Content-Length %q", ErrMalformed, value)
		}
	case strings.EqualFold(name, "transfer-encoding"):
		f.transferEncoding++
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: Transfer-Encoding %q", ErrMalformed, value)
		}
	}
	return nil
}

// check returns an error if two sides could disagree about the end of the body or the host.
func (f *framingFields) check() error {
	switch {
	case f.contentLength > 1:
		return fmt.Errorf("%w: repeated content-length", ErrMalformed)
	case f.transferEncoding > 1:
		return fmt.Errorf("%w: repeated transfer-encoding", ErrMalformed)
	case f.host > 1:
		return fmt.Errorf("%w: repeated host", ErrMalformed)
	case f.contentLength > 0 && f.transferEncoding > 0:
		return fmt.Errorf("%w: Content-Length together with Transfer-Encoding", ErrMalformed)
	}
	return nil
}

// tokenByte reports whether b is allowed in a method or a field name.
func tokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
