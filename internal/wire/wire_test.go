package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cottonwell/balance"
)

func readAll(text string) ([]Item, error) {
	reader := NewReader(strings.NewReader(text))
	var items []Item
	for {
		item, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return items, err
		}
		items = append(items, item)
	}
}

const spawnMessage = "SPAWN dispatcher=3 rng-seed=9 classes.count=2 classes.0.name=a classes.0.semantics=safe " +
	"classes.0.aim-us=100000 classes.0.deadline-us=5000000 classes.0.worth=12.0 classes.1.name=b " +
	"classes.1.semantics=keyed classes.1.key-scope=zone classes.1.memory-span-us=7500000 " +
	"classes.1.deadline-us=900000 family-info.class-stretch=2.0,1.75 family-info.class-kind=-1,1 kinds=big,small " +
	"fleet-size=2 permissions.attempts-cap=5 permissions.may-duplicate=true load-info.names=active,x0 " +
	"family-info.report-x0=free_slots registry-mode=subscribe classes.1.sequential=true rules.extra-free=10 rules.extra-ratio=0.1 " +
	"rules.budget-window-us=2000000 rules.late-shedding=true rules.settle-after-doubt-us=50000 tenants.count=1 " +
	"tenants.0.name=t tenants.0.allowance-per-s=7.5 tenants.0.share=1 over-share-worth=0.2 client-habits.marks-retry=true " +
	"prices.origin=0.15 score-parts.worst-tenant=0.25 rules.cold-from=0.44 tick-us=5000 later.key=x\n"

func TestReaderReadsEveryMessage(t *testing.T) {
	text := "FRAME sim-time-us=8412250 seq=12 later=1\n" + spawnMessage +
		"PAGE buffer=2 items=2\n" +
		"M runner=10.0.0.7:1 region-part=z sku=big cell=4 mode=IN share=1.5 started-at-us=61\n" +
		"M runner=10.0.0.8:1 mode=LAME\n" +
		"ANNOUNCE dispatcher=3 scope=diff serial=4 buffer=2\n" +
		"ANNOUNCE dispatcher=3 scope=error serial=4\n" +
		"REQUEST dispatcher=3 corr=794656413225412 class=a account=t key=data/k time-budget-us=240000 work-hint-us=12000 slots=2 resent=1\n" +
		"ENDED dispatcher=3 corr=5 attempt=1 runner=10.0.0.7:1 ending=254 wait-time-us=70 complete=1 load=waiting:3,active:7,x0:0.4,zz:1\n" +
		"PROGRESS dispatcher=3 corr=5 attempt=1 runner=10.0.0.7:1 what=2 x=0.5\n" +
		"PROGRESS dispatcher=3 corr=5 attempt=1 runner=10.0.0.7:1 what=1\n" +
		"VANISHED dispatcher=3 corr=5\nBELL dispatcher=3 key-back=9223372036854775807\n" +
		"PROBE_RESULT dispatcher=3 runner=10.0.0.7:1 wait-time-us=1 ending=0\n" +
		"FIRST_BYTE dispatcher=3 corr=5 attempt=0 runner=r wait-time-us=1\nHEARD dispatcher=3 who=1 raw=0a\n" +
		"CRASH_NOW dispatcher=3\nEND\n\nFRAME sim-time-us=8412251 seq=13\nEND\n"
	items, err := readAll(text)
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	event := func(e balance.Event) Item {
		if e.Slots == 0 {
			e.Slots = 1
		}
		return Item{Kind: Event, Instance: 3, Event: e}
	}
	want := []Item{
		{Kind: Open, Now: 8412250 * us, Seq: 12}, items[1],
		{Kind: Page, Buffer: 2, Members: []balance.Member{
			{ID: "10.0.0.7:1", Zone: "z", Kind: "big", Cell: "4", Weight: 1.5, Started: 61 * us},
			{ID: "10.0.0.8:1", State: balance.Draining, Weight: 1}}},
		{Kind: List, Instance: 3, Buffer: 2, Event: balance.Event{Kind: balance.Listed, List: balance.Changes}},
		{Kind: List, Instance: 3, Event: balance.Event{Kind: balance.Listed, List: balance.RequestFailed}},
		event(balance.Event{Kind: balance.Arrived, Request: 794656413225412, Class: "a", Tenant: "t", Key: "data/k", Budget: 240 * time.Millisecond,
			Hint: 12 * time.Millisecond, Slots: 2, MarkedRetry: true}),
		event(balance.Event{Kind: balance.Ended, Request: 5, Attempt: 1, Worker: "10.0.0.7:1", Result: balance.Full,
			Final: true, Elapsed: 70 * us, Report: balance.Report{Present: true, InFlight: 7, Waiting: 3, Free: 0.4}}),
		event(balance.Event{Kind: balance.Progressed, Request: 5, Attempt: 1, Worker: "10.0.0.7:1", Fraction: 0.5}),
		event(balance.Event{Kind: balance.Progressed, Request: 5, Attempt: 1, Worker: "10.0.0.7:1", Started: true}),
		event(balance.Event{Kind: balance.Departed, Request: 5}),
		event(balance.Event{Kind: balance.TimerDue, Timer: 1<<63 - 1}),
		event(balance.Event{Kind: balance.Probed, Worker: "10.0.0.7:1", Elapsed: us}),
		event(balance.Event{Kind: balance.Streaming, Request: 5, Worker: "r", Elapsed: us}),
		event(balance.Event{Kind: balance.PeerLoads, Peer: 1, Raw: "\n"}),
		{Kind: Stop, Instance: 3, Event: balance.Event{Slots: 1}},
		{Kind: Close}, {Kind: Open, Now: 8412251 * us, Seq: 13}, {Kind: Close},
	}
	if len(items) != len(want) {
		t.Fatalf("%d items, want %d", len(items), len(want))
	}
	if items[0].Line != 1 || items[2].Line != 3 || items[3].Line != 6 {
		t.Errorf("lines %d, %d, %d, want 1, 3, 6", items[0].Line, items[2].Line, items[3].Line)
	}
	for i := range want {
		items[i].Line, want[i].Line = 0, 0
		if !reflect.DeepEqual(items[i], want[i]) {
			t.Errorf("item %d:\n got %+v\nwant %+v", i, items[i], want[i])
		}
	}
	settings := items[1].Settings
	if items[1].Seed != 9 || len(settings.Classes) != 2 || settings.MaxAttempts != 5 || !settings.Duplicates || !settings.Subscribe ||
		!settings.ReportsFree || settings.ColdFrom != 0.44 || settings.Tick != 5*time.Millisecond {
		t.Errorf("settings %+v", settings)
	}
	if settings.RetryBudgetFree != 10 || settings.RetryBudgetRatio != 0.1 || settings.RetryBudgetWindow != 2*time.Second || !settings.FullMayHaveRun ||
		settings.KeyPause != 50*time.Millisecond || !settings.ClientsMarkRetries || settings.Prices.Fetch != 0.15 ||
		!settings.Classes[1].InOrder || settings.Classes[0].InOrder {
		t.Errorf("further rules or tenants: %+v", settings)
	}
	keyedClass := settings.Classes[1]
	if keyedClass.Effect != balance.Keyed || keyedClass.Scope != balance.ScopeZone || keyedClass.Window != 7500*time.Millisecond ||
		keyedClass.Stretch != 1.75 || keyedClass.Kind != "small" || settings.Classes[0].Kind != "" || settings.Classes[0].Value != 12 {
		t.Errorf("classes %+v", settings.Classes)
	}
}

func TestReaderRejectsMalformedInput(t *testing.T) {
	head := "FRAME sim-time-us=1 seq=1\n"
	for _, bad := range []string{
		"NONSENSE dispatcher=1\n", "REQUEST dispatcher=1 corr=x class=a time-budget-us=1\n",
		"REQUEST dispatcher=1 corr=1 class=a\n", "ENDED dispatcher=1 corr=1 attempt=0 runner=r ending=7\n",
		"ENDED dispatcher=1 corr=1 attempt=0 runner=r ending=0 load=active\n", "BELL dispatcher=1 key-back\n",
		"PAGE buffer=16 items=0\n", "PAGE buffer=1 items=1\nEND\n", "PAGE buffer=1 items=1\nM runner=r mode=UP\n",
		"ANNOUNCE dispatcher=1 scope=part buffer=0\n", "FRAME sim-time-us=2 seq=2\n", "\n", "END \nEND\n",
		"SPAWN dispatcher=1 rng-seed=1 classes.count=many\n", "SPAWN dispatcher=1 rng-seed=1 classes.count=1\n",
		"VANISHED dispatcher=1 corr=NaN\n", "PROGRESS dispatcher=1 corr=1 attempt=0 runner=r what=2 x=NaN\n",
		"BELL dispatcher=1 key-back=1 \n",
	} {
		if _, err := readAll(head + bad + "END\n"); err == nil {
			t.Errorf("%q: no error", bad)
		} else if !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: the error names no line: %v", bad, err)
		}
	}
	for _, cut := range []string{head, head + "BELL dispatcher=1 key-back=1\n", head + "BELL disp", "END\n", "BELL dispatcher=1 key-back=1\n"} {
		if _, err := readAll(cut); err == nil {
			t.Errorf("%q: no error", cut)
		}
	}
}

func TestWriterPrintsEveryAction(t *testing.T) {
	var out strings.Builder
	writer := NewWriter(&out)
	us := time.Microsecond
	for _, action := range []balance.Action{
		{Kind: balance.Send, Request: 794656413225412, Worker: "10.0.0.7:1", After: 80 * us},
		{Kind: balance.Send, Request: 1, Worker: "r"},
		{Kind: balance.Refuse, Request: 1, After: 250 * us}, {Kind: balance.Refuse, Request: 1},
		{Kind: balance.Fail, Request: 1}, {Kind: balance.Cancel, Request: 1, Attempt: 2},
		{Kind: balance.Wake, After: 500 * us, Timer: 77}, {Kind: balance.Probe, Worker: "r"},
		{Kind: balance.Subscribe}, {Kind: balance.Log, Text: "two\nlines"}, {Kind: balance.SendToPeers, Raw: "\x01\xff"},
		{Kind: balance.SendToPeers, Raw: "\x02", To: []int{4, 7}},
	} {
		writer.Action(3, &action)
	}
	writer.Panic(5, "index out\nof range")
	if err := writer.Close(12); err != nil {
		t.Fatal(err)
	}
	want := `SEND dispatcher=3 corr=794656413225412 runner=10.0.0.7:1 cap-us=80
SEND dispatcher=3 corr=1 runner=r
DENY dispatcher=3 corr=1 retry-in-us=250
DENY dispatcher=3 corr=1
GIVE_UP dispatcher=3 corr=1
CALL_OFF dispatcher=3 corr=1 attempt=2
REMIND dispatcher=3 after-us=500 key-back=77
PING dispatcher=3 runner=r
WATCH dispatcher=3 enable=1
LOG dispatcher=3 reason-text=two lines
WRITE_PEER dispatcher=3 peer=* raw=01ff
WRITE_PEER dispatcher=3 peer=4 raw=02
WRITE_PEER dispatcher=3 peer=7 raw=02
PANIC dispatcher=5 reason-text=index out of range
YIELD seq=12
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}
