package shopfront

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cottonwell/internal/config"
	"cottonwell/internal/emulator"
	"cottonwell/internal/faults"
)

// shop opens one; listen, if given, is where its first scheduler is.
func shop(t *testing.T, listen ...string) *Shop {
	spec := &emulator.Spec{Schedulers: 2, Level: 0.2, Length: 1000, Retries: 1,
		Kinds:   []emulator.KindSpec{{Name: "m", Count: 2, Slots: 2, Queue: 1, Memory: 4}},
		Classes: []emulator.ClassSpec{{Name: "buy", Share: 1, RunTime: 20, LatencyTarget: 100, TargetStretch: 2, Keyed: true}}}
	s, err := Open(spec, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	for i := range listen {
		s.scheds[i].Listen = listen[i]
	}
	s.mu.Lock()
	s.arrivals = spec.Arrivals(1)
	for i := range s.arrivals {
		s.arrivals[i].Work, s.arrivals[i].Slots = 20, 2
	}
	s.mu.Unlock()
	s.Run()
	return s
}

// The configuration that a scheduler is given is one that it can read.
func TestConfigIsGood(t *testing.T) {
	s := shop(t)
	data, err := s.Config(1, 7, false)
	require.NoError(t, err)
	c, err := config.Parse(data)
	require.NoError(t, err)
	require.Equal(t, 1, c.Settings.Self)
	require.Equal(t, 5*time.Millisecond, c.Settings.Tick)
	require.True(t, c.Settings.TellsStart && c.Settings.ReportsFree && c.Settings.Peers)
	require.Len(t, c.Known.Endpoints, 2)
}

// A job by the platform's protocol: taken with 202, told of by call-backs; what the protocol
// says of other requests; and what the checker counts.
func TestWorkerSpeaksTheProtocol(t *testing.T) {
	events := make(chan map[string]any, 16)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var ev map[string]any
		if json.NewDecoder(r.Body).Decode(&ev) == nil {
			events <- ev
		}
		rw.WriteHeader(http.StatusNoContent)
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	s := shop(t, ln.Addr().String())
	at := func(n int) string { return "http://" + s.workers[n].lns[0].Addr().String() }
	send := func(n int, id string) int {
		req, err := http.NewRequest("POST", at(n)+"/buy", strings.NewReader("{}"))
		require.NoError(t, err)
		req.Header.Set("X-Txn", id)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	next := func() map[string]any {
		select {
		case ev := <-events:
			return ev
		case <-time.After(20 * time.Second):
			t.Fatal("no call-back")
			return nil
		}
	}
	require.Equal(t, 202, send(0, "00000000-0"))
	states := []any{next()["state"], next()["state"]}
	require.ElementsMatch(t, []any{"started", "done"}, states)
	require.Equal(t, 400, send(0, "ffffffff-0"), "an id that no client sent")
	require.Empty(t, s.Broken())

	// One runs, one waits, the third is turned away unseen; then a second copy elsewhere.
	s.mu.Lock()
	s.arrivals = slices.Clone(s.arrivals) // the workers read those of before
	for i := range s.arrivals {
		s.arrivals[i].Work = 60_000
	}
	s.mu.Unlock()
	require.Equal(t, 202, send(0, "00000001-0"))
	require.Equal(t, "started", next()["state"])
	require.Equal(t, 202, send(0, "00000002-0"))
	require.Equal(t, 503, send(0, "00000003-0"))
	require.Equal(t, 202, send(1, "00000001-0"))
	require.Equal(t, 1, s.Broken()["two-attempts-out"])
	// Given up first, a further one is no second copy.
	req, err := http.NewRequest("DELETE", at(0)+"/jobs/00000002-0", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 202, send(1, "00000002-0"))
	require.Equal(t, 1, s.Broken()["two-attempts-out"])
}

func TestDiscoveryTellsChanges(t *testing.T) {
	s := shop(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.scheds[0].Discovery+"/discovery/hosts?watch=1&from=0", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	read := func() (l list) {
		for lines.Scan() {
			if len(lines.Bytes()) > 0 {
				require.NoError(t, json.Unmarshal(lines.Bytes(), &l))
				return l
			}
		}
		t.Fatal("the watch ended")
		return l
	}
	first := read()
	require.Len(t, first.Endpoints, 2)
	s.workers[1].become("DRAINING")
	second := read()
	require.Greater(t, second.Index, first.Index)
	require.Equal(t, "DRAINING", second.Endpoints[1].Status)
}

// The ways to discovery and to a target stand still, are slow or break by the script, for whom it names.
func TestWaysByTheScript(t *testing.T) {
	s := shop(t)
	get := func(url string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "GET", url, nil)
		require.NoError(t, err)
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	list := func(n int) string { return "http://" + s.scheds[n].Discovery + "/discovery/hosts" }
	target := func(n, sched int) string { return "http://" + s.workers[n].lns[sched].Addr().String() + "/alive" }
	const long = 1e7
	set := func(script ...faults.Fault) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.played, s.net.Script = s.now(), script
	}
	set(faults.Fault{Kind: faults.Break, Lasts: long, From: []int{1}, Ways: faults.Discovery}, faults.Fault{Kind: faults.Break, Lasts: long, To: []int{1}, Ways: faults.Targets})
	require.NoError(t, get(list(0)))
	require.Error(t, get(list(1)))
	require.NoError(t, get(target(0, 0)))
	require.Error(t, get(target(1, 0)))
	set(faults.Fault{Kind: faults.Cut, Lasts: long, From: []int{0}, Ways: faults.Targets})
	done := make(chan error, 1)
	go func() { done <- get(target(0, 0)) }()
	require.NoError(t, get(target(0, 1)))
	select {
	case err := <-done:
		t.Fatal("it passed: ", err)
	default:
	}
	set()
	require.NoError(t, <-done, "it goes on where it was")
	begin := time.Now()
	set(faults.Fault{Kind: faults.Delay, Lasts: long, Size: 50, Ways: faults.Discovery})
	require.NoError(t, get(list(1)))
	require.GreaterOrEqual(t, time.Since(begin), 50*time.Millisecond)
}

// A scheduler that starts with an old list is told of the list as it stood at its first start.
func TestStartWithAnOldList(t *testing.T) {
	s := shop(t)
	known := func(old bool) int {
		data, err := s.Config(1, 7, old)
		require.NoError(t, err)
		c, err := config.Parse(data)
		require.NoError(t, err)
		return len(c.Known.Endpoints)
	}
	require.Equal(t, 2, known(false))
	s.workers[0].with(func(float64) { s.workers[0].state = "DELETED" })
	require.Equal(t, 1, known(false))
	require.Equal(t, 2, known(true))
}
