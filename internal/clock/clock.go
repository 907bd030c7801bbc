// Package clock is the one source of time: milliseconds since the Unix epoch as
// a floating-point number. Tests set it by hand.
package clock

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Clock tells the time and rings alarms.
type Clock interface {
	// Now is the present time in milliseconds since the Unix epoch.
	Now() float64
	// NewAlarm returns an alarm that is not set.
	NewAlarm() Alarm
	// Deadline is the moment, for a socket, that lies so many milliseconds ahead.
	// A clock set by hand gives none: no test may hang on the machine's speed.
	Deadline(after float64) time.Time
}

// Alarm rings once at the time it was last set to.
type Alarm interface {
	C() <-chan struct{}
	Set(at float64)
	Stop()
}

// Duration turns milliseconds into the decision module's unit. This pair of functions
// is the only place where one becomes the other.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// Millis turns the decision module's unit into milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// System is the machine's clock. It reads the wall clock once and goes on by the
// monotonic clock, so that a step of the wall clock moves no deadline.
type System struct{ start time.Time }

// NewSystem returns the machine's clock.
func NewSystem() *System { return &System{start: time.Now()} }

// Now implements Clock.
func (s *System) Now() float64 {
	return Millis(time.Duration(s.start.UnixNano()) + time.Since(s.start))
}

// Deadline implements Clock.
func (s *System) Deadline(after float64) time.Time { return time.Now().Add(Duration(after)) }

// NewAlarm implements Clock.
func (s *System) NewAlarm() Alarm {
	a := &systemAlarm{clock: s, c: make(chan struct{}, 1)}
	a.timer = time.AfterFunc(math.MaxInt64, func() { ring(a.c) })
	return a
}

type systemAlarm struct {
	clock *System
	timer *time.Timer
	c     chan struct{}
}

func (a *systemAlarm) C() <-chan struct{} { return a.c }
func (a *systemAlarm) Set(at float64)     { a.timer.Reset(max(0, Duration(at-a.clock.Now()))) }
func (a *systemAlarm) Stop()              { a.timer.Stop() }

func ring(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it rings already
	}
}

// Manual is a clock that moves only when told to.
type Manual struct {
	mu     sync.Mutex
	now    float64
	alarms []*manualAlarm
}

// NewManual returns a clock that stands at the given time.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now implements Clock.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Deadline implements Clock: never.
func (m *Manual) Deadline(float64) time.Time { return time.Time{} }

// Advance moves the clock forward and rings what has come due.
func (m *Manual) Advance(ms float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += ms
	for _, a := range m.alarms {
		a.check()
	}
}

// NewAlarm implements Clock.
func (m *Manual) NewAlarm() Alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &manualAlarm{clock: m, at: math.Inf(1), c: make(chan struct{}, 1)}
	m.alarms = append(m.alarms, a)
	return a
}

// RingsAt says whether an alarm is set for a time that is ahead.
func (m *Manual) RingsAt(at float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.alarms, func(a *manualAlarm) bool { return a.at == at })
}

type manualAlarm struct {
	clock *Manual
	at    float64
	c     chan struct{}
}

func (a *manualAlarm) C() <-chan struct{} { return a.c }

func (a *manualAlarm) Set(at float64) {
	a.clock.mu.Lock()
	defer a.clock.mu.Unlock()
	a.at = at
	a.check()
}

func (a *manualAlarm) Stop() {
	a.clock.mu.Lock()
	defer a.clock.mu.Unlock()
	a.clock.alarms = slices.DeleteFunc(a.clock.alarms, func(x *manualAlarm) bool { return x == a })
}

func (a *manualAlarm) check() {
	if a.clock.now >= a.at {
		a.at = math.Inf(1)
		ring(a.c)
	}
}
