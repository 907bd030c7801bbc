// Package shopfront puts an emulated shop on loopback sockets by the platform's published
// protocol: workers that take jobs over HTTP and tell of them by call-backs, discovery with
// its watch, the datagrams among schedulers with their delay and loss, and clients whose
// requests come at their time whatever became of others.
package shopfront

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cottonwell/internal/emulator"
	"cottonwell/internal/faults"
	"cottonwell/internal/gossip"
	"cottonwell/internal/units"
)

// Shop is an emulated shop on sockets.
type Shop struct {
	spec  *emulator.Spec
	log   *slog.Logger
	start time.Time
	base  float64 // Unix ms of start

	workers []*worker
	back    *http.Client // for call-backs
	peers   []*net.UDPConn
	relay   *net.UDPConn
	net     *faults.Net    // on the ways between schedulers; guarded by mu
	played  float64        // when the script of faults began, on this clock; guarded by mu
	lists   []net.Listener // discovery, an address for each scheduler
	known   [][]entry      // the list of each scheduler's first start; guarded by mu
	scheds  []Node
	all     sync.WaitGroup
	ctx     context.Context
	end     context.CancelFunc

	mu       sync.Mutex
	arrivals []emulator.Arrival
	rng      *rand.Rand
	index    int
	changed  chan struct{} // closed at each change of the list
	attempts map[string]*story
	broken   map[string]int
	held     []map[gossip.Name]float64 // slots, by scheduler, as told in datagrams
	holds    int                       // told of so far
}

// Node is what a scheduler of the shop is told.
type Node struct {
	Name       string
	Listen     string // where clients and call-backs reach it
	PeerListen string
	Discovery  string
}

// story is what passed of one request.
type story struct {
	out   int
	sends []sendOf
}

type sendOf struct {
	cell string
	at   float64
}

// worker is a worker's model behind its sockets.
type worker struct {
	shop *Shop
	*emulator.Worker
	n     int
	spec  emulator.WorkerSpec
	state string
	mu    sync.Mutex
	lns   []net.Listener // one for each scheduler, so that it knows whom to tell
	jobs  map[uint64]*job
	last  uint64
	timer *time.Timer
	load  emulator.Load
	next  emulator.Load // what is reported once it has come
	loads float64
	due   float64
	told  float64   // since when discovery has it that it drains or is gone; 0: it does not
	heard []float64 // and each scheduler was told so; 0: it was not
}

type job struct {
	id    string
	sched int
	a     *emulator.Arrival
	quit  bool // given up
}

// Open binds the shop's sockets. Nothing is served before Run.
func Open(spec *emulator.Spec, seed uint64, log *slog.Logger) (*Shop, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	s := &Shop{spec: spec, log: log, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 0xfe)), changed: make(chan struct{}), index: 1,
		attempts: map[string]*story{}, broken: map[string]int{},
		back: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.base = float64(s.start.UnixNano()) / 1e6
	s.net = &faults.Net{Base: float64(spec.DatagramDelay), Rng: rand.New(rand.NewPCG(seed, 0xda7a)), Script: slices.Concat(spec.Faults,
		faults.Script{{Kind: faults.Loss, Lasts: units.Millis(math.Inf(1)), Share: spec.DatagramLoss}})}
	s.ctx, s.end = context.WithCancel(context.Background())
	fail := func(err error) (*Shop, error) {
		s.Close()
		return nil, fmt.Errorf("emulated shop: %w", err)
	}
	if spec.Schedulers > 254 {
		return fail(fmt.Errorf("%d schedulers; at most 254 have an address of their own", spec.Schedulers))
	}
	home := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256)) // two shops of one seed must not meet
	for i := range spec.Schedulers {
		n := Node{Name: fmt.Sprintf("n%d", i)}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fail(err)
		}
		s.lists, n.Discovery = append(s.lists, &way{ln, s, faults.Discovery, i, 0}), ln.Addr().String()
		if n.Listen, n.PeerListen, err = freePorts(home + strconv.Itoa(1+i)); err != nil {
			return fail(err)
		}
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return fail(err)
		}
		s.peers, s.scheds = append(s.peers, p), append(s.scheds, n)
		s.held = append(s.held, map[gossip.Name]float64{})
	}
	s.known = make([][]entry, spec.Schedulers)
	var err error
	if s.relay, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return fail(err)
	}
	for i, ws := range spec.Workers() {
		w := &worker{shop: s, n: i, Worker: emulator.NewWorker(ws, seed+uint64(i)), spec: ws, state: "SERVING", jobs: map[uint64]*job{}}
		w.load, w.next = w.Load(), w.Load()
		w.due, w.heard = math.Inf(1), make([]float64, spec.Schedulers)
		for sched := range spec.Schedulers {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return fail(err)
			}
			w.lns = append(w.lns, &way{ln, s, faults.Targets, sched, i})
		}
		s.workers = append(s.workers, w)
	}
	return s, nil
}

// freePorts finds a TCP and a UDP port for a scheduler's process. Nobody can hold a port for another
// process, and one that is killed needs its ports again later: so each scheduler has a loopback
// address of its own, on which nobody else listens and from which no connection goes out.
func freePorts(host string) (tcp, udp string, err error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", "", err
	}
	defer ln.Close()
	c, err := net.ListenPacket("udp", host+":0")
	if err != nil {
		return "", "", err
	}
	defer c.Close()
	return ln.Addr().String(), c.LocalAddr().String(), nil
}

// Close ends all that the shop serves.
func (s *Shop) Close() {
	s.end()
	for _, ln := range s.lists {
		ln.Close()
	}
	for _, w := range s.workers {
		for _, ln := range w.lns {
			ln.Close()
		}
	}
	for _, c := range s.peers {
		c.Close()
	}
	if s.relay != nil {
		s.relay.Close()
	}
	s.all.Wait()
	s.back.CloseIdleConnections()
}

// Nodes are the schedulers' addresses.
func (s *Shop) Nodes() []Node { return s.scheds }

// Length is how long the load goes on, in ms.
func (s *Shop) Length() float64 { return float64(s.spec.Length) }

// now is the time in ms since the shop opened.
func (s *Shop) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// Run serves until Close.
func (s *Shop) Run() {
	for i, ln := range s.lists {
		s.serve(ln, s.discovery(i))
	}
	for _, w := range s.workers {
		for i, ln := range w.lns {
			s.serve(ln, w.handler(i))
		}
	}
	var everybody []int
	for i, at := range s.peers {
		everybody = append(everybody, i)
		s.all.Go(func() { s.carry(at, []int{i}) })
	}
	s.all.Go(func() { s.carry(s.relay, everybody) })
}

func (s *Shop) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.all.Go(func() {
		stop := context.AfterFunc(s.ctx, func() { srv.Close() })
		defer stop()
		if err := srv.Serve(ln); err != nil && s.ctx.Err() == nil {
			s.log.Error("emulated shop: a listener ended", "cause", err)
		}
	})
}

// carry passes the datagrams that come to one address on: to are the schedulers that it stands for.
func (s *Shop) carry(at *net.UDPConn, to []int) {
	from := map[netip.AddrPort]int{}
	for i, n := range s.scheds {
		from[netip.MustParseAddrPort(n.PeerListen)] = i
	}
	buf := make([]byte, 1024)
	for {
		n, sender, err := at.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		who, ok := from[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !ok {
			continue
		}
		if n > 256 {
			s.breaks("datagram-too-long")
			continue
		}
		raw := string(buf[:n])
		if at == s.relay {
			s.overhear(who, raw)
		}
		for _, i := range to {
			if i != who {
				s.send(who, i, raw)
			}
		}
	}
}

// send passes a datagram on from one scheduler to another, through whatever is wrong on that way now.
func (s *Shop) send(from, to int, raw string) {
	s.mu.Lock()
	passed := s.net.Pass(s.now()-s.played, from, to, raw)
	s.mu.Unlock()
	at := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.scheds[to].PeerListen))
	for _, d := range passed {
		time.AfterFunc(time.Duration(d.After*1e6), func() {
			// One that cannot be sent is lost, like any other.
			_, _ = s.peers[from].WriteToUDP([]byte(d.Raw), at)
		})
	}
}

// overhear keeps what schedulers say that they hold.
func (s *Shop) overhear(who int, raw string) {
	var m gossip.Message
	if gossip.Parse(raw, &m) != nil {
		s.breaks("datagram-unreadable")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.held[who]
	s.held[who] = map[gossip.Name]float64{}
	for _, h := range m.Holds {
		if before[h.Target] == 0 {
			s.holds++
		}
		s.held[who][h.Target] = h.Slots
	}
}

// Held is the slots that all schedulers hold now, and the holds that they told of so far.
func (s *Shop) Held() (slots float64, holds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.held {
		for _, x := range m {
			slots += x
		}
	}
	return slots, s.holds
}

func (s *Shop) breaks(rule string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[rule]++
}

// Broken is how often each rule was broken so far.
func (s *Shop) Broken() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.broken {
		out[k] = v
	}
	return out
}

// Config is the platform's configuration for one scheduler that is to start now; old: with the list of its
// first start.
func (s *Shop) Config(i int, seed uint64, old bool) ([]byte, error) {
	spec, n := s.spec, s.scheds[i]
	known := s.list(i, 0)
	s.mu.Lock()
	if s.known[i] == nil {
		s.known[i] = known.Endpoints
	}
	if old {
		known.Endpoints = s.known[i]
	}
	s.mu.Unlock()
	for _, w := range s.workers { // a new process has been told of nothing
		w.with(func(float64) { w.heard[i] = 0 })
	}
	var peers, kinds, classes, stretch, kind, tenants []any
	for _, p := range s.peers {
		peers = append(peers, p.LocalAddr().String())
	}
	for _, k := range spec.Kinds {
		kinds = append(kinds, k.Name)
	}
	m := spec.Settings(i)
	for _, c := range spec.Classes {
		sem, scope := "safe", "all"
		if c.Keyed {
			sem, scope = "keyed", "cell"
		}
		classes = append(classes, map[string]any{"name": c.Name, "semantics": sem, "key-scope": scope, "aim-us": 1000 * float64(c.Aim),
			"deadline-us": 1000 * float64(c.Patience), "memory-span-us": 1000 * float64(c.Window), "worth": c.Worth, "streaming": false, "late-value": 0})
		stretch, kind = append(stretch, c.Stretch), append(kind, -1)
	}
	for _, t := range spec.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": float64(t.Share), "allowance-per-s": t.Allowance})
	}
	settings := map[string]any{"me": i, "tenants": tenants, "over-share-worth": m.BeyondWorth, "fleet-size": spec.Schedulers, "locality": m.Zone, "localities": spec.Zones, "kinds": kinds,
		"tick-us": m.Tick.Microseconds(), "counted-by": "request", "family": "jobs", "registry-mode": "subscribe", "classes": classes,
		"family-info": map[string]any{"class-kind": kind, "class-stretch": stretch, "tells-start": true, "progress-us": 0, "report-x0": "free slots", "report-x1": "free memory"},
		"load-info":   map[string]any{"how": "piggyback", "names": []any{"active", "waiting", "x0", "x1"}},
		"permissions": map[string]any{"attempts-cap": 3, "cancel": true, "may-duplicate": false, "probes": true, "may-tell": spec.Schedulers > 1, "retry-after": false,
			"conn-idle-us": 30_000_000, "dial-timeout-us": 250_000, "streams-per-conn": 1},
		"prices":      map[string]any{"probe": 0.0019},
		"score-parts": map[string]any{"whole": 0.45, "worst-window": 0.15, "worst-class": 0.3},
		"rules": map[string]any{"answer-slack-us": 20_000, "ask-within-us": 10_000_000, "cold-from": m.ColdFrom, "cold-us": m.ColdFor.Microseconds(),
			"drain-grace-us": 250_000, "fall-us": 1_000_000, "tip-multiple": 3}}
	return json.MarshalIndent(map[string]any{"name": n.Name, "listen": n.Listen, "discovery": n.Discovery, "seed": fmt.Sprintf("%016x", seed+uint64(i)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "peer_listen": n.PeerListen, "peers": peers,
		"peers_all": s.relay.LocalAddr().String(), "known": known, "settings": settings}, "", " ")
}

type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   string  `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// list is discovery's word for a scheduler: the whole, as nobody needs to know what changed.
func (s *Shop) list(i, index int) list {
	l := list{Index: index, Snapshot: true}
	for _, w := range s.workers {
		w.mu.Lock()
		since := 0.0
		if w.Born > 0 {
			since = s.base + w.Born
		}
		if w.state != "DELETED" {
			l.Endpoints = append(l.Endpoints, entry{w.spec.ID, w.lns[i].Addr().String(), w.spec.Zone, w.spec.Kind, w.spec.Cell, w.state, 1, since})
		}
		w.mu.Unlock()
	}
	return l
}

func (s *Shop) discovery(i int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			http.NotFound(rw, r)
			return
		}
		watch := r.URL.Query().Get("watch") == "1"
		for {
			s.mu.Lock()
			index, changed := s.index, s.changed
			s.mu.Unlock()
			since := s.now()
			data, err := json.Marshal(s.list(i, index))
			if err != nil {
				s.log.Error("emulated shop: discovery", "cause", err)
				return
			}
			if _, err := rw.Write(append(data, '\n')); err != nil || !watch {
				return
			}
			for beat := true; beat; {
				if err := http.NewResponseController(rw).Flush(); err != nil {
					return
				}
				s.tells(i, since)
				select {
				case <-r.Context().Done():
					return
				case <-s.ctx.Done():
					return
				case <-changed:
					beat = false
				case <-time.After(2 * time.Second):
					if _, err := rw.Write([]byte("\n")); err != nil {
						return
					}
				}
			}
		}
	})
}

// tells notes that a scheduler was told of the list as it stood at a time.
func (s *Shop) tells(i int, since float64) {
	for _, w := range s.workers {
		w.with(func(now float64) {
			if w.told > 0 && w.told <= since && w.heard[i] == 0 {
				w.heard[i] = now
			}
		})
	}
}

// Woke tells that a scheduler's process goes on after it stood still: what it was told meanwhile it hears now.
func (s *Shop) Woke(i int) {
	for _, w := range s.workers {
		w.with(func(now float64) {
			if w.heard[i] > 0 {
				w.heard[i] = now
			}
		})
	}
}

// become changes a worker's state in the list, which all are told of a while later.
func (w *worker) become(state string) {
	s := w.shop
	s.mu.Lock()
	delay := float64(s.spec.ListDelay) * (0.5 + s.rng.Float64())
	s.mu.Unlock()
	s.later(delay, func() {
		w.mu.Lock()
		w.state, w.told = state, 0
		clear(w.heard)
		if state != "SERVING" {
			w.told = s.now()
		}
		w.mu.Unlock()
		s.mu.Lock()
		s.index++
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	})
}

// later does something after so many ms, unless the shop is closed by then.
func (s *Shop) later(ms float64, do func()) {
	time.AfterFunc(time.Duration(ms*1e6), func() {
		if s.ctx.Err() == nil {
			do()
		}
	})
}

// handler is the worker's side of one scheduler's connections.
func (w *worker) handler(sched int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<17))
		if err != nil {
			return
		}
		switch {
		case r.Method == "DELETE": // whether it stops is up to the worker, and these do not
			w.quit(strings.TrimPrefix(r.URL.Path, "/jobs/"))
			rw.WriteHeader(http.StatusOK)
			return
		case r.URL.Path == "/alive" || r.URL.Path == "/metrics/load":
			w.mu.Lock()
			up := w.Up && !w.Fallen
			rw.Header().Set("X-Pressure", w.report())
			w.mu.Unlock()
			if !up {
				w.reset(rw)
			}
			return
		}
		w.take(rw, r, sched, len(body))
	})
}

// quit notes that a scheduler gave an attempt up: a further one is no second copy.
func (w *worker) quit(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.id == id && !j.quit {
			j.quit = true
			w.shop.ended(id)
		}
	}
}

// reset ends a connection without a word.
func (w *worker) reset(rw http.ResponseWriter) {
	if c, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		reset(c) // a process that is not there
	}
}

// take offers a job to the model.
func (w *worker) take(rw http.ResponseWriter, r *http.Request, sched, size int) {
	id, s := r.Header.Get("X-Txn"), w.shop
	s.mu.Lock()
	a := s.arrival(id)
	s.mu.Unlock()
	if a == nil {
		http.Error(rw, "no client sent this id", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := s.now()
	sentAt := now // a send counts from when it came, and not from when a bad way let it through
	if c, ok := r.Context().Value(connKey{}).(*wayConn); ok {
		sentAt = min(sentAt, math.Float64frombits(c.cameAt.Load()))
	}
	if w.told > 0 && w.heard[sched] > 0 && sentAt > w.heard[sched]+250+50 {
		s.breaks("send-to-draining")
	}
	if !w.Up || w.Fallen {
		w.mu.Unlock()
		w.reset(rw)
		return
	}
	w.advance(now)
	fell := w.Fallen
	w.last++
	ans := w.Offer(now, emulator.Job{Ref: w.last, Slots: a.Slots, Memory: a.Memory, Work: a.Work, Priority: s.spec.Classes[a.Class].Priority})
	if w.Fallen && !fell {
		s.breaks("cold-pushed-over")
	}
	if ans == emulator.Taken || ans == emulator.Failed {
		s.began(id, w, a, now)
	}
	load := w.report()
	if ans == emulator.Taken {
		w.jobs[w.last] = &job{id: id, sched: sched, a: a}
	}
	w.mu.Unlock()
	rw.Header().Set("X-Pressure", load)
	switch ans {
	case emulator.Taken:
		rw.WriteHeader(http.StatusAccepted)
		// Only now may it start: its call-backs come after the 202.
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		w.mu.Lock()
		w.advance(s.now())
		w.mu.Unlock()
	case emulator.Full:
		rw.Header().Set("X-Turned-Away", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case emulator.Failed:
		s.ended(id)
		rw.WriteHeader(http.StatusInternalServerError)
	case emulator.Away:
		w.reset(rw)
	}
}

// began holds an attempt against the rules.
func (s *Shop) began(id string, w *worker, a *emulator.Arrival, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.attempts[id]
	if t == nil {
		t = &story{}
		s.attempts[id] = t
	}
	if t.out > 0 {
		s.broken["two-attempts-out"]++
	}
	if len(t.sends) >= 3 {
		s.broken["fourth-attempt"]++
	}
	if c := &s.spec.Classes[a.Class]; c.Keyed {
		for _, x := range t.sends {
			if x.cell != w.spec.Cell || now-x.at > float64(c.Window)+50 {
				s.broken["keyed-repeat-elsewhere"]++
			}
		}
	}
	t.out++
	t.sends = append(t.sends, sendOf{cell: w.spec.Cell, at: now})
}

func (s *Shop) ended(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.attempts[id]; t != nil && t.out > 0 {
		t.out--
	}
}

// advance plays the model to the present and sets the timer for what comes next. The
// worker's lock is held.
func (w *worker) advance(now float64) {
	w.Advance(now, func(_ float64, n emulator.Note) { w.note(n) })
	next := w.Next(now)
	if math.IsInf(next, 1) {
		return
	}
	if w.due <= now || next < w.due {
		w.due = next
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = time.AfterFunc(time.Duration(max(0, next-now)*1e6), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.due = math.Inf(1)
			w.advance(w.shop.now())
		})
	}
}

// note tells a scheduler what became of a job. The worker's lock is held.
func (w *worker) note(n emulator.Note) {
	j := w.jobs[n.Ref]
	if j == nil {
		return
	}
	ev := map[string]any{"id": j.id, "from": w.spec.ID}
	switch n.Kind {
	case emulator.Started:
		ev["state"] = "started"
	case emulator.Done:
		ev["state"], ev["result"], ev["load"] = "done", "done "+j.id, w.figures()
		w.over(n.Ref, j)
	case emulator.Lost:
		ev["state"] = "lost"
		w.over(n.Ref, j)
	}
	data, err := json.Marshal(ev)
	if err != nil {
		w.shop.log.Error("emulated shop: call-back", "cause", err)
		return
	}
	url := "http://" + w.shop.scheds[j.sched].Listen + "/v1/job-events"
	w.shop.all.Go(func() {
		if w.shop.pass(faults.Targets, j.sched, w.n, nil) == nil {
			w.shop.callBack(url, data)
		}
	})
}

func (w *worker) over(ref uint64, j *job) {
	delete(w.jobs, ref)
	if !j.quit {
		w.shop.ended(j.id)
	}
}

// callBack tries until it is answered, ten times at most.
func (s *Shop) callBack(url string, data []byte) {
	for range 10 {
		resp, err := s.back.Post(url, "application/json", bytes.NewReader(data))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // nothing of it is of use
			resp.Body.Close()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// figures are what the worker reports of itself: a while old, and noisy. Its lock is held.
func (w *worker) figures() map[string]float64 {
	s, now := w.shop, w.shop.now()
	if now-w.loads > float64(s.spec.ReportEvery) {
		w.loads = now
		w.load = w.next
		w.next = w.Load()
		if s.spec.ReportDelay <= 0 {
			w.load = w.next
		} else {
			load := w.next
			s.later(float64(s.spec.ReportDelay)+s.late(now), func() {
				w.mu.Lock()
				w.load = load
				w.mu.Unlock()
			})
		}
	}
	noise := func(x float64) float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return math.Max(0, math.Round(100*x*(1+float64(s.spec.ReportNoise)*s.rng.NormFloat64()))/100)
	}
	f := map[string]float64{"inflight": noise(w.load.InFlight), "queue": noise(w.load.Queue), "x0": noise(w.load.FreeSlots)}
	if w.spec.Memory > 0 {
		f["x1"] = noise(w.load.FreeMemory)
	}
	return f
}

func (s *Shop) late(now float64) (ms float64) {
	for _, t := range s.spec.Troubles {
		if t.Kind == "late-reports" && now >= float64(t.At) && now < float64(t.At+t.Lasts) {
			ms += float64(t.Size)
		}
	}
	return ms
}

func (w *worker) report() string {
	var parts []string
	figures := w.figures()
	for _, name := range []string{"inflight", "queue", "x0", "x1"} {
		if x, ok := figures[name]; ok {
			parts = append(parts, name+"="+strconv.FormatFloat(x, 'f', -1, 64))
		}
	}
	return strings.Join(parts, ",")
}
