// Package shopfront puts an emulated shop on loopback sockets by the platform's published
// protocol: workers that take jobs over HTTP and tell of them by call-backs, discovery with
// its watch, the datagrams among schedulers with their delay and loss, and clients whose
// requests come at their time whatever became of others.
package shopfront

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
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
		classes = append(classes, map[string]any{"name": c.Name, "semantics": sem, "key-scope": scope, "aim-us": 1000 * float64(c.LatencyTarget),
			"deadline-us": 1000 * float64(c.ClientTimeout), "memory-span-us": 1000 * float64(c.KeyWindow), "worth": c.Value, "streaming": false, "late-value": 0})
		stretch, kind = append(stretch, c.TargetStretch), append(kind, -1)
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
