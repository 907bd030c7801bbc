package emulatedsite

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

// openSite opens a site of two schedulers and two workers, and runs it. listenAddrs replace the addresses of the first
// schedulers.
func openSite(t *testing.T, listenAddrs ...string) *Site {
	spec := &emulator.Spec{Schedulers: 2, Level: 0.2, Length: 1000, Retries: 1,
		Kinds:   []emulator.KindSpec{{Name: "m", Count: 2, Slots: 2, Queue: 1, Memory: 4}},
		Classes: []emulator.ClassSpec{{Name: "buy", Share: 1, RunTime: 20, LatencyTarget: 100, TargetStretch: 2, Keyed: true}}}
	s, err := Open(spec, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	for i := range listenAddrs {
		s.schedulers[i].Listen = listenAddrs[i]
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

// A scheduler can parse the configuration that the site gives it.
func TestConfigIsValid(t *testing.T) {
	s := openSite(t)
	data, err := s.Config(1, 7, false)
	require.NoError(t, err)
	c, err := config.Parse(data)
	require.NoError(t, err)
	require.Equal(t, 1, c.Settings.Self)
	require.Equal(t, 5*time.Millisecond, c.Settings.Tick)
	require.True(t, c.Settings.ReportsStart && c.Settings.ReportsFree && c.Settings.Peers)
	require.Len(t, c.Known.Endpoints, 2)
}

// A worker follows the platform's protocol: it accepts a job with status 202, reports its progress by callbacks and rejects
// other requests as specified. The checker of the rules counts a second open attempt.
func TestWorkerFollowsProtocol(t *testing.T) {
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
	s := openSite(t, ln.Addr().String())
	baseURL := func(n int) string { return "http://" + s.workers[n].listeners[0].Addr().String() }
	send := func(n int, id string) int {
		req, err := http.NewRequest("POST", baseURL(n)+"/buy", strings.NewReader("{}"))
		require.NoError(t, err)
		req.Header.Set("X-Txn", id)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	nextEvent := func() map[string]any {
		select {
		case ev := <-events:
			return ev
		case <-time.After(20 * time.Second):
			t.Fatal("no callback")
			return nil
		}
	}
	require.Equal(t, 202, send(0, "00000000-0"))
	states := []any{nextEvent()["state"], nextEvent()["state"]}
	require.ElementsMatch(t, []any{"started", "done"}, states)
	require.Equal(t, 400, send(0, "ffffffff-0"), "an ID that no client sent")
	require.Empty(t, s.Violations())

	// One job runs, one is queued, and the third is rejected. Then a second copy is sent to another worker.
	s.mu.Lock()
	s.arrivals = slices.Clone(s.arrivals) // the workers may still read the old slice
	for i := range s.arrivals {
		s.arrivals[i].Work = 60_000
	}
	s.mu.Unlock()
	require.Equal(t, 202, send(0, "00000001-0"))
	require.Equal(t, "started", nextEvent()["state"])
	require.Equal(t, 202, send(0, "00000002-0"))
	require.Equal(t, 503, send(0, "00000003-0"))
	require.Equal(t, 202, send(1, "00000001-0"))
	require.Equal(t, 1, s.Violations()["two-attempts-out"])
	// After a cancellation, a further attempt isn't a second open attempt.
	req, err := http.NewRequest("DELETE", baseURL(0)+"/jobs/00000002-0", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 202, send(1, "00000002-0"))
	require.Equal(t, 1, s.Violations()["two-attempts-out"])
}

func TestDiscoveryAnnouncesChanges(t *testing.T) {
	s := openSite(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+s.schedulers[0].Discovery+"/discovery/hosts?watch=1&from=0", nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	read := func() (l discoveryList) {
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
	s.workers[1].announce("DRAINING")
	second := read()
	require.Greater(t, second.Index, first.Index)
	require.Equal(t, "DRAINING", second.Endpoints[1].Status)
}

// The faults of the script cut, delay or break the links to discovery and to targets, only for the schedulers and targets
// that they name.
func TestLinkFaults(t *testing.T) {
	s := openSite(t)
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
	listURL := func(n int) string { return "http://" + s.schedulers[n].Discovery + "/discovery/hosts" }
	targetURL := func(n, sched int) string { return "http://" + s.workers[n].listeners[sched].Addr().String() + "/alive" }
	const untilEnd = 1e7
	setFaults := func(script ...faults.Fault) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loadStart, s.links.Script = s.now(), script
	}
	setFaults(faults.Fault{Kind: faults.Break, Lasts: untilEnd, From: []int{1}, Links: faults.Discovery}, faults.Fault{Kind: faults.Break, Lasts: untilEnd, To: []int{1}, Links: faults.Targets})
	require.NoError(t, get(listURL(0)))
	require.Error(t, get(listURL(1)))
	require.NoError(t, get(targetURL(0, 0)))
	require.Error(t, get(targetURL(1, 0)))
	setFaults(faults.Fault{Kind: faults.Cut, Lasts: untilEnd, From: []int{0}, Links: faults.Targets})
	done := make(chan error, 1)
	go func() { done <- get(targetURL(0, 0)) }()
	require.NoError(t, get(targetURL(0, 1)))
	select {
	case err := <-done:
		t.Fatal("the request passed a link that is cut: ", err)
	default:
	}
	setFaults()
	require.NoError(t, <-done, "the request continues after the fault")
	start := time.Now()
	setFaults(faults.Fault{Kind: faults.Delay, Lasts: untilEnd, Size: 50, Links: faults.Discovery})
	require.NoError(t, get(listURL(1)))
	require.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)
}

// A scheduler that starts with an old list receives the list of its first start.
func TestStartWithOldList(t *testing.T) {
	s := openSite(t)
	knownEndpoints := func(old bool) int {
		data, err := s.Config(1, 7, old)
		require.NoError(t, err)
		c, err := config.Parse(data)
		require.NoError(t, err)
		return len(c.Known.Endpoints)
	}
	require.Equal(t, 2, knownEndpoints(false))
	s.workers[0].withLock(func(float64) { s.workers[0].state = "DELETED" })
	require.Equal(t, 1, knownEndpoints(false))
	require.Equal(t, 2, knownEndpoints(true))
}
