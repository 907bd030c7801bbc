package faults

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDeliverAppliesEachFault(t *testing.T) {
	deliver := func(f Fault, now float64, from, to int) (arrived int, maxDelay float64, changed int) {
		n := &DatagramFaults{Script: Script{f}, MeanDelay: 2, Rng: rand.New(rand.NewPCG(1, 2))}
		for i := range 2000 {
			for _, d := range n.Deliver(now+float64(i)/100, from, to, "packet") {
				arrived++
				maxDelay = max(maxDelay, d.After)
				if d.Raw != "packet" {
					changed++
				}
			}
		}
		return arrived, maxDelay, changed
	}
	duringFault := func(f Fault) Fault { f.At, f.Lasts = 1000, 1000; return f }
	for name, c := range map[string]struct {
		f                      Fault
		from, to               int
		minArrived, maxArrived int
		minDelay, changed      float64
	}{
		"loss":                    {duringFault(Fault{Kind: Loss, Share: 0.3}), 0, 1, 1300, 1500, 0, 0},
		"loss on another link":    {duringFault(Fault{Kind: Loss, Share: 1, From: []int{2}}), 0, 1, 2000, 2000, 0, 0},
		"cut":                     {duringFault(Fault{Kind: Cut, From: []int{0}, To: []int{1}}), 0, 1, 0, 0, 0, 0},
		"cut, opposite direction": {duringFault(Fault{Kind: Cut, From: []int{0}, To: []int{1}}), 1, 0, 2000, 2000, 0, 0},
		"split":                   {duringFault(Fault{Kind: Split, Parts: [][]int{{0}, {1, 2}}}), 0, 1, 0, 0, 0, 0},
		"split, within a part":    {duringFault(Fault{Kind: Split, Parts: [][]int{{0}, {1, 2}}}), 2, 1, 2000, 2000, 0, 0},
		"runs":                    {duringFault(Fault{Kind: Runs, Share: 0.5, Size: 0.5}), 0, 1, 400, 1600, 0, 0},
		"delay":                   {duringFault(Fault{Kind: Delay, Size: 500}), 0, 1, 2000, 2000, 500, 0},
		"jitter":                  {duringFault(Fault{Kind: Jitter, Size: 500}), 0, 1, 2000, 2000, 450, 0},
		"duplicate":               {duringFault(Fault{Kind: Duplicate, Share: 1, Size: 100}), 0, 1, 4000, 4000, 90, 0},
		"corrupt":                 {duringFault(Fault{Kind: Corrupt, Share: 1}), 0, 1, 2000, 2000, 0, 2000},
	} {
		arrived, maxDelay, changed := deliver(c.f, 1000, c.from, c.to)
		require.True(t, arrived >= c.minArrived && arrived <= c.maxArrived, "%s: %d arrived", name, arrived)
		require.GreaterOrEqual(t, maxDelay, c.minDelay, name)
		require.EqualValues(t, c.changed, changed, name)
		arrived, maxDelay, _ = deliver(c.f, 2000, c.from, c.to)
		require.Equal(t, 2000, arrived, "%s: no fault after its end", name)
		require.LessOrEqual(t, maxDelay, 3.0)
	}
}

func TestDrawAndCheck(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 9, 12, 24_000, 5000)
		require.Len(t, s, 12)
		require.NoError(t, s.Check(9))
		require.Equal(t, s, Draw(seed, 9, 12, 24_000, 5000))
		for i, f := range s {
			require.True(t, i == 0 || s[i-1].At <= f.At)
			require.LessOrEqual(t, float64(f.At+f.Lasts), 19_000.0, "the run ends without faults")
		}
	}
	for seed := range uint64(200) {
		s := DrawConnectionFaults(seed, 5, 12, 8, 24_000, 5000)
		require.Len(t, s, 8)
		require.NoError(t, s.Check(5))
		require.Equal(t, s, DrawConnectionFaults(seed, 5, 12, 8, 24_000, 5000))
	}
	for want, f := range map[string]Fault{
		"unknown ways \"moon\"":       {Kind: Cut, Links: "moon"},
		"break is allowed only there": {Kind: Break},
		"allow only cut, delay":       {Kind: Loss, Links: Discovery},
		"old applies only to kill":    {Kind: Stall, From: []int{1}, OldList: true},
		"unknown kind \"flood\"":      {Kind: "flood"},
		"unknown scheduler":           {Kind: Cut, From: []int{9}},
		"negative":                    {Kind: Cut, At: -1},
		"share 200%":                  {Kind: Loss, Share: 2},
		"from names no scheduler":     {Kind: Stall},
		"fewer than two parts":        {Kind: Split, Parts: [][]int{{1}}},
	} {
		require.ErrorContains(t, Script{f}.Check(9), want)
	}
}

func TestConnectionFaults(t *testing.T) {
	s := Script{{Kind: Cut, At: 100, Lasts: 100, From: []int{1}, Links: Discovery}, {Kind: Delay, At: 100, Lasts: 50, Size: 30, Links: Targets, To: []int{7}},
		{Kind: Break, At: 120, Lasts: 50, Links: Targets, From: []int{2}}, {Kind: Cut, At: 0, Lasts: 1000}}
	require.NoError(t, s.Check(3))
	require.Equal(t, LinkState{Cut: true}, s.ConnectionState(150, Discovery, 1, 0))
	require.Zero(t, s.ConnectionState(150, Discovery, 0, 0), "another scheduler")
	require.Zero(t, s.ConnectionState(200, Discovery, 1, 0), "after the end of the fault")
	require.Equal(t, LinkState{Delay: 30}, s.ConnectionState(110, Targets, 0, 7))
	require.Zero(t, s.ConnectionState(110, Targets, 0, 6))
	require.Equal(t, LinkState{Broken: true, Delay: 30}, s.ConnectionState(130, Targets, 2, 7))
	n := &DatagramFaults{Script: s[:3], MeanDelay: 2, Rng: rand.New(rand.NewPCG(1, 2))}
	require.Len(t, n.Deliver(150, 1, 0, "packet"), 1, "faults of connections do not affect datagrams between schedulers")
}
