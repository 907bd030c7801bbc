package httpio

import (
	"maps"
	"sync"
)

// CloseReason says why a connection was closed. The reasons are few and constant.
type CloseReason string

// Closes counts closed connections by reason. The zero value is ready; it may be used by several goroutines.
type Closes struct {
	mu       sync.Mutex
	byReason map[CloseReason]int
}

// Note counts one.
func (c *Closes) Note(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = map[CloseReason]int{}
	}
	c.byReason[reason]++
}

// Counts returns the counts so far.
func (c *Closes) Counts() map[CloseReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byReason)
}
