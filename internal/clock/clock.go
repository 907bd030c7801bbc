// Package clock is the source of time for all other packages. A time is a float64 in milliseconds since the Unix epoch.
//
// Code that needs the time or an alarm takes a Clock. System is the machine's clock. Manual is a clock for tests, which
// moves only when the test advances it. The package does not keep timers for callers: an Alarm signals a channel once, at
// the time it was last set to.
package clock

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Clock provides the current time and alarms.
type Clock interface {
	// Now returns the current time in milliseconds since the Unix epoch.
	Now() float64
	// NewAlarm returns an alarm that is not set.
	NewAlarm() Alarm
	// Deadline returns the time for a socket deadline that is after milliseconds from now. A manual clock returns the zero
	// time, which sets no deadline, so that tests do not depend on the speed of the machine.
	Deadline(after float64) time.Time
}

// Alarm sends once on C at the time it was last set to, in milliseconds since the Unix epoch.
type Alarm interface {
	C() <-chan struct{}
	Set(at float64)
	Stop()
}

// Duration converts milliseconds to a time.Duration, the unit of the decision module. All conversions between the two use
// Duration and Millis.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// System is the machine's clock. It reads the wall clock once and then adds the monotonic clock, so that a step of the wall
// clock does not move any deadline.
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
	a.timer = time.AfterFunc(math.MaxInt64, func() { signal(a.c) })
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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

// Manual is a clock that moves only by Advance. It is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    float64
	alarms []*manualAlarm
}

// NewManual returns a clock that is set to the given time, in milliseconds.
func NewManual(now float64) *Manual { return &Manual{now: now} }

// Now implements Clock.
func (m *Manual) Now() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Deadline implements Clock. It returns the zero time.
func (m *Manual) Deadline(float64) time.Time { return time.Time{} }

// Advance moves the clock forward by ms milliseconds and signals the alarms that are due.
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

// IsSetFor reports whether an alarm is set for the given time and has not been signalled yet.
func (m *Manual) IsSetFor(at float64) bool {
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
		signal(a.c)
	}
}
