package httpio

import (
	"strconv"
	"strings"
)

// This file checks values of one message before they become part of another. A control character in a value would end
// its line: what follows it would be read as further header fields, or as a request of its own.

// The longest values that are forwarded, in bytes.
const (
	maxIDLen            = 128
	maxRequestTargetLen = 2048
)

// ValidID reports whether an ID can be part of a path and a header without escaping.
func ValidID(id string) bool {
	return len(id) > 0 && len(id) <= maxIDLen && !strings.ContainsFunc(id, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	})
}

// VisibleASCII reports whether s has only visible ASCII characters.
func VisibleASCII(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// ValidRequestTarget reports whether s is a path with an optional query, in plain or percent-encoded characters.
func ValidRequestTarget(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > maxRequestTargetLen || !VisibleASCII(s) || strings.ContainsAny(s, "\"<>\\^`{|}#") {
		return false
	}
	for i := strings.IndexByte(s, '%'); i >= 0; {
		if _, err := strconv.ParseUint(s[i+1:min(i+3, len(s))], 16, 8); err != nil || i+3 > len(s) {
			return false
		}
		next := strings.IndexByte(s[i+3:], '%')
		if next < 0 {
			break
		}
		i += 3 + next
	}
	return true
}

// ValidFieldValue reports whether s can be the value of a header field and is received unchanged: printable ASCII without
// a space at either end, which a receiver would remove.
func ValidFieldValue(s string) bool {
	return strings.TrimSpace(s) == s && VisibleASCII(strings.ReplaceAll(s, " ", ""))
}
