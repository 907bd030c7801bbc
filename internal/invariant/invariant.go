// Package invariant states what must hold. A debug build (-tags debug) stops where
// it does not; a release build counts it and goes on.
package invariant

import (
	"fmt"
	"maps"
	"sync"
)

// Set counts the broken invariants of one program. It may be used from any goroutine.
type Set struct {
	mu     sync.Mutex
	counts map[string]int
}

// New returns a set in which nothing has been broken.
func New() *Set { return &Set{counts: map[string]int{}} }

// Check notes, under the given name, that something which must hold does not. It
// returns ok, so that the caller can turn away from what it was about to do.
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

// Counts returns how often each invariant was broken.
func (s *Set) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}
