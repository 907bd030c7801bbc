// Package emulatedsite runs an emulated site on loopback sockets, in front of which real scheduler
// processes run. It follows the platform's published protocol: workers accept jobs over HTTP and
// report their progress by callbacks, discovery offers a list with a watch, and the datagrams between
// schedulers pass through links with delay and loss.
//
// Open takes an emulator.Spec and binds the sockets, Config returns the configuration of a scheduler,
// and RunLoad sends the load and returns an emulator.Result. Clients send each request at its drawn time,
// independent of the outcomes of other requests.
//
// The package starts no scheduler processes. Faults of these processes (kill, stall, restart) are up to
// the caller.
package emulatedsite

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

// Site is an emulated site on sockets. Its times are milliseconds since start, unless stated otherwise.
type Site struct {
	spec            *emulator.Spec
	log             *slog.Logger
	start           time.Time
	startUnixMillis float64 // start in Unix ms

	workers            []*worker
	callbackClient     *http.Client
	peerConns          []*net.UDPConn         // peerConns[i] receives the datagrams addressed to scheduler i
	broadcastConn      *net.UDPConn           // receives the datagrams addressed to all schedulers
	links              *faults.DatagramFaults // between schedulers; guarded by mu
	loadStart          float64                // start of the load and of the fault script; 0: not started; guarded by mu
	discoveryListeners []net.Listener         // one discovery address per scheduler
	firstEntries       [][]listEntry          // by scheduler: the list at its first start; guarded by mu
	schedulers         []Node
	goroutines         sync.WaitGroup
	ctx                context.Context
	cancel             context.CancelFunc

	mu               sync.Mutex
	arrivals         []emulator.Arrival
	rng              *rand.Rand
	listIndex        int
	listChanged      chan struct{}             // closed at each change of the list
	requests         map[string]*requestRecord // by request ID
	violations       map[string]int            // count by rule
	reservedSlots    []map[gossip.Name]float64 // by scheduler and target, as announced in datagrams
	reservationCount int                       // reservations announced so far
}

// Node holds the addresses of one scheduler of the site.
type Node struct {
	Name       string
	Listen     string // address for clients and callbacks
	PeerListen string
	Discovery  string
}

// requestRecord holds the attempts of one request, to check the rules.
type requestRecord struct {
	openAttempts int
	sends        []sendRecord
}

// sendRecord is one attempt: the worker's cell and the time in ms.
type sendRecord struct {
	cell string
	at   float64
}

// worker is an emulated worker with its sockets. mu guards the mutable fields and the embedded model.
type worker struct {
	site *Site
	*emulator.Worker
	index         int
	spec          emulator.WorkerSpec
	state         string // in discovery: SERVING, DRAINING or DELETED
	mu            sync.Mutex
	listeners     []net.Listener // one per scheduler, which identifies the scheduler that sent a job
	jobs          map[uint64]*job
	lastRef       uint64
	timer         *time.Timer
	reportedLoad  emulator.Load
	sampledLoad   emulator.Load // last sample, reported after the report delay
	sampledAt     float64
	nextEventAt   float64
	notReadySince float64   // when discovery listed the worker as draining or deleted; 0: it is serving
	notifiedAt    []float64 // by scheduler: when it received that state; 0: not yet
}

// job is an accepted attempt that has not ended.
type job struct {
	requestID string
	scheduler int
	arrival   *emulator.Arrival
	cancelled bool
}

// Open binds the site's sockets. The site serves nothing before Run.
func Open(spec *emulator.Spec, seed uint64, log *slog.Logger) (*Site, error) {
	if err := spec.Check(); err != nil {
		return nil, err
	}
	s := &Site{spec: spec, log: log, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 0xfe)), listChanged: make(chan struct{}), listIndex: 1,
		requests: map[string]*requestRecord{}, violations: map[string]int{},
		callbackClient: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.startUnixMillis = float64(s.start.UnixNano()) / 1e6
	s.links = &faults.DatagramFaults{MeanDelay: float64(spec.DatagramDelay), Rng: rand.New(rand.NewPCG(seed, 0xda7a)), Script: slices.Concat(spec.SchedulerFaults,
		faults.Script{{Kind: faults.Loss, Lasts: units.Millis(math.Inf(1)), Share: spec.DatagramLoss}})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	fail := func(err error) (*Site, error) {
		s.Close()
		return nil, fmt.Errorf("emulated site: %w", err)
	}
	if spec.Schedulers > 254 {
		return fail(fmt.Errorf("%d schedulers; at most 254 can have a loopback address each", spec.Schedulers))
	}
	networkPrefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), rand.IntN(256)) // not drawn from seed: two sites with the same seed must not share addresses
	for i := range spec.Schedulers {
		n := Node{Name: fmt.Sprintf("n%d", i)}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fail(err)
		}
		s.discoveryListeners, n.Discovery = append(s.discoveryListeners, &linkListener{ln, s, faults.Discovery, i, 0}), ln.Addr().String()
		if n.Listen, n.PeerListen, err = freePorts(networkPrefix + strconv.Itoa(1+i)); err != nil {
			return fail(err)
		}
		p, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return fail(err)
		}
		s.peerConns, s.schedulers = append(s.peerConns, p), append(s.schedulers, n)
		s.reservedSlots = append(s.reservedSlots, map[gossip.Name]float64{})
	}
	s.firstEntries = make([][]listEntry, spec.Schedulers)
	var err error
	if s.broadcastConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return fail(err)
	}
	for i, ws := range spec.Workers() {
		w := &worker{site: s, index: i, Worker: emulator.NewWorker(ws, seed+uint64(i)), spec: ws, state: "SERVING", jobs: map[uint64]*job{}}
		w.reportedLoad, w.sampledLoad = w.Load(), w.Load()
		w.nextEventAt, w.notifiedAt = math.Inf(1), make([]float64, spec.Schedulers)
		for scheduler := range spec.Schedulers {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return fail(err)
			}
			w.listeners = append(w.listeners, &linkListener{ln, s, faults.Targets, scheduler, i})
		}
		s.workers = append(s.workers, w)
	}
	return s, nil
}

// freePorts finds a free TCP and a free UDP port for a scheduler's process. A port can't be reserved for another
// process, and a killed scheduler needs the same ports again after its restart. Each scheduler therefore has
// its own loopback address, on which no other process listens and from which no connection originates.
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

// Close closes all sockets and waits for the site's goroutines to end.
func (s *Site) Close() {
	s.cancel()
	for _, ln := range s.discoveryListeners {
		ln.Close()
	}
	for _, w := range s.workers {
		for _, ln := range w.listeners {
			ln.Close()
		}
	}
	for _, c := range s.peerConns {
		c.Close()
	}
	if s.broadcastConn != nil {
		s.broadcastConn.Close()
	}
	s.goroutines.Wait()
	s.callbackClient.CloseIdleConnections()
}

// Nodes returns the addresses of the schedulers.
func (s *Site) Nodes() []Node { return s.schedulers }

// Length returns the duration of the load in milliseconds.
func (s *Site) Length() float64 { return float64(s.spec.Length) }

// now returns the milliseconds since Open.
func (s *Site) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// Run starts to serve on all sockets and returns. The site serves until Close.
func (s *Site) Run() {
	for i, ln := range s.discoveryListeners {
		s.serve(ln, s.discoveryHandler(i))
	}
	for _, w := range s.workers {
		for i, ln := range w.listeners {
			s.serve(ln, w.handler(i))
		}
	}
	var everyScheduler []int
	for i, at := range s.peerConns {
		everyScheduler = append(everyScheduler, i)
		s.goroutines.Go(func() { s.forwardDatagrams(at, []int{i}) })
	}
	s.goroutines.Go(func() { s.forwardDatagrams(s.broadcastConn, everyScheduler) })
}

// serve starts an HTTP server on a listener.
func (s *Site) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.goroutines.Go(func() {
		stop := context.AfterFunc(s.ctx, func() { srv.Close() })
		defer stop()
		if err := srv.Serve(ln); err != nil && s.ctx.Err() == nil {
			s.log.Error("emulated site: listener failed", "cause", err)
		}
	})
}

// forwardDatagrams forwards the datagrams that arrive on conn to the receivers, except to the sender itself.
func (s *Site) forwardDatagrams(conn *net.UDPConn, receivers []int) {
	schedulerByAddr := map[netip.AddrPort]int{}
	for i, n := range s.schedulers {
		schedulerByAddr[netip.MustParseAddrPort(n.PeerListen)] = i
	}
	buf := make([]byte, 1024)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		senderIndex, ok := schedulerByAddr[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !ok {
			continue
		}
		if n > 256 {
			s.recordViolation("datagram-too-long")
			continue
		}
		raw := string(buf[:n])
		if conn == s.broadcastConn {
			s.recordReservations(senderIndex, raw)
		}
		for _, i := range receivers {
			if i != senderIndex {
				s.sendDatagram(senderIndex, i, raw)
			}
		}
	}
}

// sendDatagram sends a datagram from one scheduler to another. The current faults of the link may delay, drop, repeat or
// change it.
func (s *Site) sendDatagram(from, to int, raw string) {
	s.mu.Lock()
	deliveries := s.links.Deliver(s.now()-s.loadStart, from, to, raw)
	s.mu.Unlock()
	address := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.schedulers[to].PeerListen))
	for _, d := range deliveries {
		time.AfterFunc(time.Duration(d.After*1e6), func() {
			// A datagram that can't be sent counts as lost.
			_, _ = s.peerConns[from].WriteToUDP([]byte(d.Raw), address)
		})
	}
}

// recordReservations records the reservations that a scheduler announces in a datagram.
func (s *Site) recordReservations(scheduler int, raw string) {
	var message gossip.Message
	if gossip.Parse(raw, &message) != nil {
		s.recordViolation("datagram-unreadable")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.reservedSlots[scheduler]
	s.reservedSlots[scheduler] = map[gossip.Name]float64{}
	for _, h := range message.Reservations {
		if previous[h.Target] == 0 {
			s.reservationCount++
		}
		s.reservedSlots[scheduler][h.Target] = h.Slots
	}
}

// ReservedSlots returns the slots that all schedulers have reserved now, and the number of reservations announced so far.
func (s *Site) ReservedSlots() (slots float64, reservations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.reservedSlots {
		for _, x := range m {
			slots += x
		}
	}
	return slots, s.reservationCount
}

// recordViolation counts a violation of a rule.
func (s *Site) recordViolation(rule string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations[rule]++
}

// Violations returns the number of violations so far by rule.
func (s *Site) Violations() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.violations {
		out[k] = v
	}
	return out
}

// Config returns the platform's JSON configuration for a start of a scheduler. It contains the current discovery list or,
// with firstList, the list of the scheduler's first start.
func (s *Site) Config(scheduler int, seed uint64, firstList bool) ([]byte, error) {
	spec, node := s.spec, s.schedulers[scheduler]
	known := s.discoveryList(scheduler, 0)
	s.mu.Lock()
	if s.firstEntries[scheduler] == nil {
		s.firstEntries[scheduler] = known.Endpoints
	}
	if firstList {
		known.Endpoints = s.firstEntries[scheduler]
	}
	s.mu.Unlock()
	for _, w := range s.workers { // a new process has received no changes yet
		w.withLock(func(float64) { w.notifiedAt[scheduler] = 0 })
	}
	var peers, kinds, classes, classStretches, classKinds, tenants []any
	for _, p := range s.peerConns {
		peers = append(peers, p.LocalAddr().String())
	}
	for _, k := range spec.Kinds {
		kinds = append(kinds, k.Name)
	}
	moduleSettings := spec.Settings(scheduler)
	for _, c := range spec.Classes {
		semantics, scope := "safe", "all"
		if c.Keyed {
			semantics, scope = "keyed", "cell"
		}
		classes = append(classes, map[string]any{"name": c.Name, "semantics": semantics, "key-scope": scope, "aim-us": 1000 * float64(c.LatencyTarget),
			"deadline-us": 1000 * float64(c.ClientTimeout), "memory-span-us": 1000 * float64(c.KeyWindow), "worth": c.Value, "streaming": false, "late-value": 0})
		classStretches, classKinds = append(classStretches, c.TargetStretch), append(classKinds, -1)
	}
	for _, t := range spec.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": float64(t.Share), "allowance-per-s": t.Allowance})
	}
	settings := map[string]any{"me": scheduler, "tenants": tenants, "over-share-worth": moduleSettings.BeyondShareValue, "fleet-size": spec.Schedulers, "locality": moduleSettings.Zone, "localities": spec.Zones, "kinds": kinds,
		"tick-us": moduleSettings.Tick.Microseconds(), "counted-by": "request", "family": "jobs", "registry-mode": "subscribe", "classes": classes,
		"family-info": map[string]any{"class-kind": classKinds, "class-stretch": classStretches, "tells-start": true, "progress-us": 0, "report-x0": "free slots", "report-x1": "free memory"},
		"load-info":   map[string]any{"how": "piggyback", "names": []any{"active", "waiting", "x0", "x1"}},
		"permissions": map[string]any{"attempts-cap": 3, "cancel": true, "may-duplicate": false, "probes": true, "may-tell": spec.Schedulers > 1, "retry-after": false,
			"conn-idle-us": 30_000_000, "dial-timeout-us": 250_000, "streams-per-conn": 1},
		"prices":      map[string]any{"probe": 0.0019},
		"score-parts": map[string]any{"whole": 0.45, "worst-window": 0.15, "worst-class": 0.3},
		"rules": map[string]any{"answer-slack-us": 20_000, "ask-within-us": 10_000_000, "cold-from": moduleSettings.ColdFrom, "cold-us": moduleSettings.ColdFor.Microseconds(),
			"drain-grace-us": 250_000, "fall-us": 1_000_000, "tip-multiple": 3}}
	return json.MarshalIndent(map[string]any{"name": node.Name, "listen": node.Listen, "discovery": node.Discovery, "seed": fmt.Sprintf("%016x", seed+uint64(scheduler)),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "peer_listen": node.PeerListen, "peers": peers,
		"peers_all": s.broadcastConn.LocalAddr().String(), "known": known, "settings": settings}, "", " ")
}
