package httpio

import (
	"maps"
	"sync"
)

// CloseReason is the reason for closing a connection. The reasons are a small, fixed set.
type CloseReason string

// Closes counts closed connections by reason. Its zero value is ready to use. It is safe for concurrent use.
type Closes struct {
	mu       sync.Mutex
	byReason map[CloseReason]int
}

// Add counts one closed connection.
func (c *Closes) Add(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = map[CloseReason]int{}
	}
	c.byReason[reason]++
}

// Counts returns a copy of the counts so far.
func (c *Closes) Counts() map[CloseReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byReason)
}
