// Package pacer limits how fast the messages of one connection are handled. A client that sends at full speed otherwise keeps the
// program busy without a pause, and the runtime looks for messages of other connections only every 10 ms.
//
// A Pacer is given the size of each message and blocks while its connection has used up its allowance. It neither reads nor
// closes the connection. It is used by the one goroutine that reads the connection.
package pacer

import "cottonwell/internal/clock"

const (
	// burst is the number of messages that may be handled without a pause.
	burst = 64.0
	// perMillisecond is the number of messages that may be handled in a millisecond on average.
	perMillisecond = 8.0
	// messageBytes is the length in bytes up to which a message counts as one; a longer one counts as several.
	messageBytes = 4 << 10
	// minPause is the shortest pause in milliseconds.
	minPause = 1.0
)

// Pacer is the allowance of one connection.
type Pacer struct {
	clock     clock.Clock
	allowance float64 // messages that may be handled now
	updatedAt float64 // milliseconds
}

// New returns a pacer with its whole burst left.
func New(clk clock.Clock) *Pacer {
	return &Pacer{clock: clk, allowance: burst, updatedAt: clk.Now()}
}

// Pause counts a message of so many bytes that was handled, and blocks while the allowance is used up, or until stop is closed.
func (p *Pacer) Pause(bytes int, stop <-chan struct{}) {
	pause := p.charge(p.clock.Now(), bytes)
	if pause <= 0 {
		return
	}
	alarm := p.clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(p.clock.Now() + pause)
	select {
	case <-alarm.C():
	case <-stop:
	}
}

// charge takes a message out of the allowance, and returns the pause in milliseconds before the next one may be handled.
func (p *Pacer) charge(now float64, bytes int) (pause float64) {
	p.allowance = min(burst, p.allowance+(now-p.updatedAt)*perMillisecond) - 1 - float64(bytes/messageBytes)
	p.updatedAt = now
	if p.allowance >= 0 {
		return 0
	}
	return max(minPause, -p.allowance/perMillisecond)
}
