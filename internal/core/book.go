package core

import (
	"fmt"
	"log/slog"
	"maps"
	"strings"

	"cottonwell/balance"
)

// Books are a core's counts since its start.
type Books struct {
	Taken, Served, Refused, Failed, Left int // flows, by how they ended
	Twice, Full                          int // not admitted: id in use; too many open
	Sends, Cancels                       int
	Probes, ProbesEnded                  int            // begun; ended, in whatever way
	Lists, ListFailures                  int            // lists and changes heard; watches that failed
	SignsOfLife                          int            // on watches, between lists
	Withheld                             int            // targets that nothing may be sent to, as the lease on the list ran out or they said that they drain
	WordsTold, WordsPassedOn             int            // datagrams about discovery's word; those by which this one was renewed
	Lapses, RefusedLapsed                int            // times that the lease ran out; refusals while it had
	LapsedFor                            float64        // ms without a lease until it was renewed last, those before the first list included
	Outcomes                             [8]int         // by balance.Result
	Dropped                              map[string]int // late news, by what it was
	Open, Targets                        int
	Room                                 slog.Value // of held room; empty while it is off
	Unreadable                           int        // datagrams that could not be read
	Reasons                              Reasons
}

func (b *Books) outcome(r balance.Result) {
	if r >= 0 && int(r) < len(b.Outcomes) {
		b.Outcomes[r]++
	}
}

// LogValue is a flow's story so far: its attempts with the milliseconds from its taking in to
// their begin and end, and how they ended.
func (f *flow) LogValue() slog.Value {
	var tries strings.Builder
	taken := f.deadline - f.Patience
	for _, a := range f.attempts {
		fmt.Fprintf(&tries, " %s %.0f", a.target, a.sentAt-taken)
		if a.ended {
			fmt.Fprintf(&tries, "-%.0f=%v", a.endedAt-taken, a.result)
		}
	}
	return slog.GroupValue(slog.String("id", f.ID), slog.String("class", f.Class), slog.Float64("slots", f.Slots), slog.Float64("patience", f.Patience),
		slog.String("attempts", strings.TrimSpace(tries.String())))
}

// finish marks a flow as over for its client.
func (c *Core) finish(f *flow) {
	f.answered = true
	c.open--
	if c.open == 0 {
		for _, ch := range c.idle {
			close(ch)
		}
		c.idle = nil
	}
	c.book(f)
}

// book closes the account of a flow that is over once nothing of it is out.
func (c *Core) book(f *flow) {
	if !f.answered || f.out >= 0 {
		return
	}
	if c.flows[f.number] == f {
		delete(c.flows, f.number)
		delete(c.byID, f.ID)
		c.free(f)
	}
}

func (c *Core) free(f *flow) {
	if f.Job.Body != nil {
		f.Job.Body.Release()
		f.Job.Body = nil
	}
}

// drop counts something that came too late to matter.
func (c *Core) drop(what string) { c.books.Dropped[what]++ }

// Books returns the counts, or what they were if the core has stopped.
func (c *Core) Books() Books {
	ch := make(chan Books, 1)
	c.post(readBooks{ch})
	select {
	case b := <-ch:
		return b
	case <-c.done:
		return Books{}
	}
}

type readBooks struct{ ch chan Books }

func (e readBooks) apply(c *Core) {
	b := c.books
	b.Dropped = maps.Clone(b.Dropped)
	b.Reasons = c.trace.reasons.clone()
	b.Open, b.Targets, b.Unreadable, b.Withheld = c.open, len(c.targets), c.module.Unreadable+c.unreadable, c.withholds()
	if p := c.module.Room(); p != nil {
		b.Room = p.LogValue()
	}
	e.ch <- b
}
