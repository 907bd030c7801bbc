package main

import (
	"strings"
	"testing"

	"cottonwell/internal/wire"
)

const spawn = " rng-seed=9 classes.count=1 classes.0.name=a classes.0.semantics=safe classes.0.aim-us=100000 " +
	"classes.0.deadline-us=5000000 classes.0.worth=1 fleet-size=2 permissions.attempts-cap=2 rules.cold-from=0.4 " +
	"rules.tip-multiple=3 tick-us=1000\n"

func run(t *testing.T, text string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := serve(strings.NewReader(text), &out, nil)
	return out.String(), err
}

// An ANNOUNCE uses the PAGE before it, even if a later PAGE of the same batch replaces the buffer.
func TestAnnounceUsesLatestPage(t *testing.T) {
	out, err := run(t, "FRAME sim-time-us=1 seq=1\nSPAWN dispatcher=1"+spawn+"SPAWN dispatcher=2"+spawn+
		"PAGE buffer=0 items=1\nM runner=one mode=IN\nANNOUNCE dispatcher=1 scope=disk serial=1 buffer=0\n"+
		"PAGE buffer=0 items=1\nM runner=two mode=IN\nANNOUNCE dispatcher=2 scope=disk serial=1 buffer=0\n"+
		"REQUEST dispatcher=1 corr=5 class=a time-budget-us=5000000\nREQUEST dispatcher=2 corr=5 class=a time-budget-us=5000000\nEND\n")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, "SEND dispatcher=1 corr=5 runner=one\n") || !strings.Contains(out, "SEND dispatcher=2 corr=5 runner=two\n") {
		t.Errorf("got\n%s", out)
	}
	if !strings.HasSuffix(out, "YIELD seq=1\n") {
		t.Errorf("no reply: %q", out)
	}
}

func TestServeRejectsBadInput(t *testing.T) {
	for _, bad := range []string{
		"FRAME sim-time-us=1 seq=1\nBELL dispatcher=7 key-back=1\nEND\n",
		"FRAME sim-time-us=1 seq=1\nCRASH_NOW dispatcher=7\nEND\n",
		"FRAME sim-time-us=1 seq=1\nSPAWN dispatcher=1 rng-seed=1 classes.count=0\nEND\n",
		"FRAME sim-time-us=1 seq=1\n", "hello\n",
	} {
		if _, err := run(t, bad); err == nil {
			t.Errorf("%q: no error", bad)
		} else if !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: the error names no line: %v", bad, err)
		}
	}
	if out, err := run(t, "FRAME sim-time-us=1 seq=1\nEND\n\nFRAME sim-time-us=2 seq=2\nEND\n"); err != nil || out != "YIELD seq=1\nYIELD seq=2\n" {
		t.Errorf("%q, %v", out, err)
	}
}

// A panic in a decision ends that instance and no other. It is reported once.
func TestPanicEndsItsInstanceOnly(t *testing.T) {
	var out strings.Builder
	h := &host{instances: map[int]*instance{1: {}}, out: wire.NewWriter(&out)} // no Balancer: every step panics
	for range 2 {
		if err := h.handleItem(&wire.Item{Kind: wire.Event, Instance: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.out.Close(1); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "PANIC dispatcher=1 reason-text="); n != 1 {
		t.Errorf("%d messages of a panic, want 1:\n%s", n, out.String())
	}
}
