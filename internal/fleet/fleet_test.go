package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cottonwell/internal/fleet/lease"
	"cottonwell/internal/fleet/members"
)

func testConfig(self, n int, duties ...string) Config {
	c := Config{Members: members.Default(), Lease: lease.Default()}
	c.Members.Self, c.Members.Fleet = self, n
	c.Lease.Self, c.Lease.Fleet, c.Lease.Voters, c.Lease.RunID = self, n, min(n, 5), uint32(self+1)
	for i := range n {
		c.Addresses = append(c.Addresses, fmt.Sprintf("127.0.0.1:%d", 9000+i))
	}
	for _, d := range duties {
		c.Lease.Duties = append(c.Lease.Duties, lease.Duty{Name: d})
	}
	return c
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"scheduler 9 of 5":            func(c *Config) { c.Lease.Self, c.Members.Self = 9, 9 },
		"voters is 6":                 func(c *Config) { c.Lease.Voters = 6 },
		"lease is 100ms":              func(c *Config) { c.Lease.Lease = 100 },
		"quiet is 1000ms":             func(c *Config) { c.Lease.Quiet = 1000 },
		"drift is 0.2":                func(c *Config) { c.Lease.Drift = 0.2 },
		"its ID equals that of \"a\"": func(c *Config) { c.Lease.Duties = []lease.Duty{{Name: "a"}, {Name: "a"}} },
		"duties configured; at most 1024 are allowed": func(c *Config) { c.Lease.Duties = make([]lease.Duty, 1025) },
		"1 zones configured for 5":                    func(c *Config) { c.Lease.Zones = []string{"a"} },
		"period is 1ms":                               func(c *Config) { c.Members.Period = 1 },
		"answer_in is 400ms":                          func(c *Config) { c.Members.PingTimeout = 400 },
		"helpers is 9":                                func(c *Config) { c.Members.Helpers = 9 },
		"4 addresses, 5 schedulers and 5 members":     func(c *Config) { c.Addresses = c.Addresses[:4] },
	} {
		c := testConfig(0, 5, "examiner")
		change(&c)
		_, err := New(c, 0)
		require.ErrorContains(t, err, want)
	}
}

// Datagrams that are truncated, corrupted or of another fleet are counted and change nothing.
func TestInvalidDatagrams(t *testing.T) {
	m, err := New(testConfig(0, 5, "examiner"), 1000)
	require.NoError(t, err)
	var datagrams [2]string
	for i, other := range []Config{testConfig(1, 5, "examiner"), testConfig(1, 5, "examiner")} {
		if i == 1 {
			other.Lease.Lease = 3000 // settings of another fleet
			other.Lease.Quiet = 3000
		}
		o, err := New(other, 0)
		require.NoError(t, err)
		for now := 0.0; datagrams[i] == ""; now += 50 {
			for _, a := range o.Step(now, &Event{Kind: Due}, nil) {
				if a.Kind == Send && a.To == 0 && a.Raw[0] == lease.Version {
					datagrams[i] = a.Raw
				}
			}
		}
	}
	receive := func(raw string) []Action { return m.Step(1000, &Event{Kind: DatagramReceived, From: 1, Raw: raw}, nil) }
	require.NotEmpty(t, receive(datagrams[0]), "a voter responds")
	require.Zero(t, m.Unreadable)
	receive(datagrams[1])
	require.Equal(t, 1, m.Unreadable)
	for i := range len(datagrams[0]) {
		receive(datagrams[0][:i])
		b := []byte(datagrams[0])
		b[i] ^= 0x55
		receive(string(b))
	}
	require.Equal(t, 1+2*len(datagrams[0])-2, m.Unreadable, "all but the empty datagram and the one whose first byte is that of another version")
	require.True(t, IsFleetDatagram(datagrams[0]))
	require.False(t, IsFleetDatagram("") || IsFleetDatagram("\x01abc"))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		b := make([]byte, rng.IntN(300))
		for i := range b {
			b[i] = byte(rng.UintN(256))
		}
		if len(b) > 0 {
			b[0] = byte(members.Version + rng.IntN(2))
		}
		receive(string(b))
	}
	_, held := m.View(1000)
	require.Equal(t, -1, held[0].Holder)
	require.Equal(t, 5, m.LiveMembers())
}

// Whatever messages arrive in whatever order, a voter grants a duty to another scheduler only after
// the previous grant has expired by its own clock or was released, and the granted numbers never
// decrease.
func TestVoterGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig(0, 5, "examiner").Lease
		m, err := lease.New(c, 0)
		require.NoError(t, err)
		now, newest := c.Quiet, uint64(0)
		type grant struct {
			to   int
			life uint32
			seq  uint32
			end  float64
		}
		var last grant
		id := lease.ID("examiner")
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += rapid.Float64Range(0, 900).Draw(t, "gap")
			x := lease.Msg{Duty: id, Kind: rapid.SampledFrom([]lease.MsgKind{lease.Request, lease.Request, lease.Request, lease.Query, lease.Release}).Draw(t, "kind"),
				RunID: uint32(rapid.IntRange(1, 2).Draw(t, "life")), Seq: uint32(rapid.IntRange(1, 9).Draw(t, "seq")), Number: uint64(rapid.IntRange(1, 12).Draw(t, "number"))}
			from := rapid.IntRange(1, 4).Draw(t, "from")
			if x.Kind == lease.Release && last.to == from && last.life == x.RunID && x.Seq >= last.seq {
				last.end = now
			}
			for _, a := range m.Step(now, &lease.Event{Kind: lease.MessageReceived, From: from, Msg: x}, nil) {
				if a.Kind != lease.Send || a.Msg.Kind != lease.Grant {
					continue
				}
				if (last.to != from || last.life != x.RunID) && now < last.end {
					t.Fatalf("granted to %d at %g, but %d holds the grant until %g", from, now, last.to, last.end)
				}
				if a.Msg.Number < newest || a.Msg.Number == newest && (last.to != from || last.life != x.RunID) {
					t.Fatalf("number %d after %d", a.Msg.Number, newest)
				}
				newest = a.Msg.Number
				last = grant{from, x.RunID, x.Seq, now + c.Lease}
			}
		}
	})
}

// Guards against a holder that released its grants before it reported the loss to its host. A process
// that paused between the two would still act as the holder of a duty that another had been granted.
func TestLossIsReportedBeforeRelease(t *testing.T) {
	m, now := newHolder(t)
	lost := false
	for _, a := range m.Step(now+1, &lease.Event{Kind: lease.Resign}, nil) {
		lost = lost || a.Kind == lease.Lost
		if a.Kind == lease.Send {
			require.True(t, lost, "the voters got the release before the host got the loss")
		}
	}
	require.True(t, lost)
}

// Guards against a scheduler that resigned after its lease had expired and did not report the loss to
// its host.
func TestOneThatResignsTooLateTellsItsHost(t *testing.T) {
	m, now := newHolder(t)
	losses := 0
	for _, a := range m.Step(now+10_000, &lease.Event{Kind: lease.Resign}, nil) {
		if a.Kind == lease.Lost {
			losses++
		}
		require.False(t, a.Kind == lease.Send && a.Msg.Kind == lease.Handover, "there is nothing to hand over")
	}
	require.Equal(t, 1, losses)
}

// newHolder returns a scheduler of a fleet of three that holds a duty, and the time.
func newHolder(t *testing.T) (m *lease.Machine, now float64) {
	c := testConfig(0, 3, "examiner").Lease
	m, err := lease.New(c, 0)
	require.NoError(t, err)
	for _, held := m.Holds(0, now); !held; _, held = m.Holds(0, now) {
		now += 20
		require.Less(t, now, 20_000.0)
		for _, a := range m.Step(now, &lease.Event{Kind: lease.Due}, nil) {
			if a.Kind != lease.Send || a.Msg.Kind != lease.Query && a.Msg.Kind != lease.Request {
				continue
			}
			x := a.Msg
			if x.Kind++; a.Msg.Kind == lease.Request { // Free after Query, Grant after Request
				x.Kind = lease.Grant
			}
			m.Step(now, &lease.Event{Kind: lease.MessageReceived, From: a.To, Msg: x}, nil)
		}
	}
	return m, now
}

// BenchmarkEvent measures the most frequent operations in a large fleet: a ping with its response, and
// a lease renewal at a voter.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{5, 50, 300, 1000} {
		b.Run(fmt.Sprintf("members/schedulers=%d", n), func(b *testing.B) {
			c := testConfig(0, n).Members
			m, err := members.New(c, 0)
			if err != nil {
				b.Fatal(err)
			}
			msg := &members.Msg{Kind: members.Ping}
			var acts []members.Action
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				msg.Seq = uint32(i)
				acts = m.Step(float64(i)/1000, &members.Event{Kind: members.MessageReceived, From: 1 + i%(n-1), Msg: msg}, acts[:0])
			}
		})
		b.Run(fmt.Sprintf("lease/schedulers=%d", n), func(b *testing.B) {
			c := testConfig(0, n, "examiner").Lease
			m, err := lease.New(c, 0)
			if err != nil {
				b.Fatal(err)
			}
			ev := lease.Event{Kind: lease.MessageReceived, From: 1, Msg: lease.Msg{Kind: lease.Request, Duty: lease.ID("examiner"), RunID: 7, Number: 9}}
			var acts []lease.Action
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ev.Msg.Seq = uint32(i)
				acts = m.Step(c.Quiet+float64(i)/1000, &ev, acts[:0])
			}
		})
	}
}
