package rules

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// twoMachines runs two machines with immediate message delivery. Machine 0 is the publisher.
type twoMachines struct {
	t          *testing.T
	now        float64
	machines   [2]*Machine
	duty       uint64
	isolated   bool // machine 1 receives no messages
	applied    [2]Action
	outcomes   []Action
	checkError error // machine 1 refuses every document with this error
	filter     func(*Msg) *Msg
}

func attempts(n int) *Doc { return &Doc{Classes: map[string]Class{"view": {Attempts: &n}}} }

func newTwoMachines(t *testing.T) *twoMachines {
	p := &twoMachines{t: t, duty: 7}
	for i := range p.machines {
		c := Default()
		c.Self, c.Fleet, c.RunID, c.Classes, c.InitialDoc, c.PermissionTime = i, 2, uint32(i), []string{"view"}, attempts(3), 1000
		if i == 1 {
			c.Check = func(*Doc) error { return p.checkError }
		}
		var err error
		p.machines[i], err = New(c, 0)
		require.NoError(t, err)
	}
	return p
}

func (p *twoMachines) step(i int, ev Event) {
	ev.HolderNumber = p.duty
	if i == 0 {
		ev.Duty = p.duty
	}
	for _, a := range p.machines[i].Step(p.now, &ev, nil) {
		switch a.Kind {
		case Send:
			if p.isolated && a.To == 1 {
				continue
			}
			msg := a.Msg
			if p.filter != nil {
				if msg = p.filter(msg); msg == nil {
					continue
				}
			}
			raw := msg.Append(nil, 5)
			require.LessOrEqual(p.t, len(raw), 256)
			var x Msg
			require.NoError(p.t, x.Parse(raw, 5))
			p.step(a.To, Event{Kind: MessageReceived, From: i, Msg: &x})
		case Apply:
			p.applied[i] = a
		case Adopted, Refused, Alarm:
			p.outcomes = append(p.outcomes, a)
		}
	}
}

func (p *twoMachines) run(ms float64) {
	for end := p.now + ms; p.now < end; p.now += 10 {
		p.step(0, Event{Kind: Due})
		p.step(1, Event{Kind: Due})
	}
}

func (p *twoMachines) attempts(i int) int {
	_, d, _ := p.machines[i].InForce(p.now)
	return *d.Classes["view"].Attempts
}

func TestSwitchThroughIntermediateVersion(t *testing.T) {
	p := newTwoMachines(t)
	require.Equal(t, 1, p.attempts(0), "the strict form applies until a version is granted")
	p.run(1500)
	require.Equal(t, 3, p.attempts(0))
	require.Equal(t, 3, p.attempts(1))
	first, _, _ := p.machines[1].InForce(p.now)
	p.step(1, Event{Kind: Publish, Doc: attempts(5)})
	seen := map[int]bool{}
	for range 300 {
		p.run(10)
		seen[p.attempts(1)] = true
	}
	require.Equal(t, map[int]bool{3: true, 5: true}, seen)
	v, _, strict := p.machines[1].InForce(p.now)
	require.False(t, strict)
	require.Equal(t, first.Number+2, v.Number, "an intermediate version and the new one")
	require.Equal(t, Adopted, p.outcomes[len(p.outcomes)-1].Kind)
	p.step(0, Event{Kind: Publish, Doc: attempts(5)})
	require.Equal(t, "the document is already in force", p.outcomes[len(p.outcomes)-1].Reason)
}

// An isolated scheduler switches to the strict form when its permission ends, and the others wait
// exactly until then.
func TestWaitsForIsolatedScheduler(t *testing.T) {
	p := newTwoMachines(t)
	p.run(2000)
	p.step(0, Event{Kind: Publish, Doc: attempts(5)})
	p.run(150) // machine 1 has checked the proposal
	p.isolated = true
	at := p.now
	for p.attempts(0) != 5 {
		p.run(10)
		require.Less(t, p.now, at+3000)
	}
	_, _, strict := p.machines[1].InForce(p.now)
	require.True(t, strict, "when the new version is in force")
	require.Equal(t, 1, p.attempts(1))
	p.isolated = false
	p.run(500)
	require.Equal(t, 5, p.attempts(1))
	// The same follows from its clock alone if the process was paused: no event has been processed.
	p.now += 1000
	require.Equal(t, 1, p.attempts(1))
}

func TestRefusalReportsReason(t *testing.T) {
	p := newTwoMachines(t)
	p.run(2000)
	p.checkError = errors.New("class.view.attempts is 5, and the settings allow 4")
	p.step(0, Event{Kind: Publish, Doc: attempts(5)})
	p.run(3000)
	last := p.outcomes[len(p.outcomes)-1]
	require.Equal(t, Refused, last.Kind)
	require.Equal(t, 1, last.Scheduler)
	require.Equal(t, p.checkError.Error(), last.Reason)
	require.Equal(t, 3, p.attempts(0))
	p.step(1, Event{Kind: Publish, Doc: attempts(4)})
	p.run(3000)
	require.Equal(t, p.checkError.Error(), p.outcomes[len(p.outcomes)-1].Reason, "the proposer is notified")
	p.checkError = nil
	p.step(1, Event{Kind: Publish, Doc: attempts(2)})
	p.run(3000)
	require.Equal(t, 2, p.attempts(0), "a later proposal is accepted")
}

// A publisher without data starts with the version of the others, under a higher number. It uses its
// own file only if no scheduler has a version.
func TestAnotherPublisherGoesOn(t *testing.T) {
	p := newTwoMachines(t)
	p.run(2000)
	p.step(0, Event{Kind: Publish, Doc: attempts(2)})
	p.run(3000)
	before, _, _ := p.machines[1].InForce(p.now)
	c := p.machines[0].config
	c.RunID, c.InitialDoc = 9, attempts(4)
	var err error
	p.machines[0], err = New(c, p.now)
	require.NoError(t, err)
	p.duty++
	for range 30 {
		p.run(100)
		require.Equal(t, 2, p.attempts(1), "the version is never interrupted")
	}
	require.Equal(t, 2, p.attempts(0))
	after, _, _ := p.machines[1].InForce(p.now)
	require.Greater(t, after.Number, before.Number)
	require.Equal(t, before.A, after.A)
}

// A late permission counts from its request. A permission is refused if it is for another run, for an
// older version, or for another document under a known number.
func TestLateOrInvalidGrants(t *testing.T) {
	p := newTwoMachines(t)
	p.run(2000)
	var grant *Msg
	p.filter = func(x *Msg) *Msg {
		if x.Kind == Grant && grant == nil {
			saved := *x
			grant = &saved
			return nil
		}
		return x
	}
	p.run(300)
	require.NotNil(t, grant)
	p.filter = func(*Msg) *Msg { return nil }
	p.run(900)
	receive := func(x Msg) { p.step(1, Event{Kind: MessageReceived, From: 0, Msg: &x}) }
	stale := p.machines[1].Counts.Stale
	p.now += 2000
	receive(*grant)
	_, _, strict := p.machines[1].InForce(p.now)
	require.True(t, strict)
	require.Equal(t, stale+1, p.machines[1].Counts.Stale)
	other := *grant
	other.RunID++
	receive(other)
	require.Equal(t, stale+2, p.machines[1].Counts.Stale)
	older := *grant
	older.Seq, older.Version.Number = p.machines[1].seq, older.Version.Number-1
	receive(older)
	require.Equal(t, stale+3, p.machines[1].Counts.Stale)
	twice := *grant
	twice.Seq, twice.Version.A = p.machines[1].seq, twice.Version.A+2
	receive(twice)
	require.Equal(t, 1, p.machines[1].Counts.Alarms)
	receive(Msg{Kind: Piece, Doc: 77, Index: 0, NumPieces: 1, Data: []byte("x")})
	require.Equal(t, stale+4, p.machines[1].Counts.Stale, "a piece that was not requested")
	p.filter = nil
	p.run(500)
	require.Equal(t, 3, p.attempts(1))
}

// Pieces may be lost, corrupted or duplicated, and may disagree about their number. The tables stay
// within their limits.
func TestPieces(t *testing.T) {
	p := newTwoMachines(t)
	p.run(2000)
	big := attempts(4)
	for i := range 300 {
		big.Drains = append(big.Drains, Drain{Target: digestText(i)})
	}
	n := 0
	p.filter = func(x *Msg) *Msg {
		if x.Kind != Piece {
			return x
		}
		switch n++; n % 5 {
		case 0:
			return nil
		case 1:
			bad := *x
			bad.Data = append([]byte("!"), x.Data[1:]...)
			if n < 60 {
				return &bad
			}
		case 2:
			bad := *x
			bad.NumPieces = x.NumPieces + 1
			if n < 30 {
				return &bad
			}
		}
		return x
	}
	p.step(0, Event{Kind: Publish, Doc: big})
	p.run(8000)
	require.Equal(t, 4, p.attempts(1))
	require.Empty(t, p.machines[1].partials)
	for i := range 40 {
		p.step(0, Event{Kind: Publish, Doc: attempts(1 + i%50)})
		p.run(50)
	}
	p.run(3000)
	require.LessOrEqual(t, len(p.machines[0].docs), maxStoredDocs+1)
	require.LessOrEqual(t, len(p.machines[1].docs), maxStoredDocs+1)
	require.Equal(t, len(p.machines[0].docs), len(p.machines[0].packed))
	for i := range 10 {
		p.machines[1].fetch(p.now, 0, Digest(1000+i), 0)
	}
	require.Len(t, p.machines[1].partials, maxPartialDocs)
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"scheduler 5 of 5":       func(c *Config) { c.Self = 5 },
		"agree_within is 100ms":  func(c *Config) { c.PermissionTime = 100 },
		"drift is 0.2":           func(c *Config) { c.Drift = 0.2 },
		"no document":            func(c *Config) { c.InitialDoc = nil },
		"class.view.attempts is": func(c *Config) { c.InitialDoc = attempts(0) },
	} {
		c := Default()
		c.Fleet, c.InitialDoc = 5, attempts(1)
		change(&c)
		_, err := New(c, 0)
		require.ErrorContains(t, err, want)
	}
}

func BenchmarkStep(b *testing.B) {
	c := Default()
	c.Fleet, c.InitialDoc = 300, attempts(3)
	m, err := New(c, 0)
	require.NoError(b, err)
	alive := func(int) bool { return true }
	var acts []Action
	for now := 0.0; now < 10_000; now += 100 {
		acts = m.Step(now, &Event{Kind: Due, Duty: 9, HolderNumber: 9, Alive: alive}, acts[:0])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		x := Msg{Kind: Request, RunID: 1, Seq: uint32(i), Duty: 9, Version: m.granted, Valid: true}
		acts = m.Step(10_000, &Event{Kind: MessageReceived, From: i % 300, Msg: &x, Duty: 9, HolderNumber: 9, Alive: alive}, acts[:0])
	}
}
