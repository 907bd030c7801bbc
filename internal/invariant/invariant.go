// Package invariant checks conditions that must always be true.
//
// The caller passes the condition, a name and a message to Set.Check. If the condition is false, a debug build (-tags debug)
// panics with the message. A release build counts the violation by its name and continues. The package does not correct
// the caller's state.
package invariant

import (
	"fmt"
	"maps"
	"sync"
)

// Set counts the violations of the invariants of one program. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	counts map[string]int
}

// New returns a set without violations.
func New() *Set { return &Set{counts: map[string]int{}} }

// Check counts a violation under the given name if ok is false, or panics in a debug build. It returns ok, so that the caller
// can skip the operation that the condition guards.
func (s *Set) Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	if debug {
		panic("invariant " + name + ": " + fmt.Sprintf(format, args...))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	return false
}

// Counts returns the number of violations by name.
func (s *Set) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}
