package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"

	"cottonwell/balance"
	"cottonwell/internal/clock"
	"cottonwell/internal/config"
	"cottonwell/internal/core"
	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/gearman"
	"cottonwell/internal/invariant"
	"cottonwell/internal/net/control"
	"cottonwell/internal/net/discovery"
	"cottonwell/internal/net/duties"
	"cottonwell/internal/net/handover"
	"cottonwell/internal/net/httpio"
	"cottonwell/internal/net/listener"
	"cottonwell/internal/net/peers"
	"cottonwell/internal/net/target"
)

const (
	comeBack   = 1000.0 // milliseconds: the advice on a refusal where the module has none
	graceFor   = 700.0  // after SIGTERM clients still come for up to 400 ms; what comes later must be answered
	killAfter  = 3000.0 // and the longest deadline, up to this, that much before SIGKILL
	windFor    = 700.0  // before SIGKILL, to finish what is there
	lastFor    = 300.0  // before SIGKILL, to answer what is not finished
	endFor     = 60.0   // before SIGKILL, to end whatever clients do
	firstFor   = 4000.0 // for a list that may be acted on, before clients are let in all the same
	statsEvery = 10_000.0
	reserve    = 64 // descriptors kept for discovery, the log and the runtime
)

// serve runs the scheduler until ctx ends and all that it took is answered.
func serve(ctx context.Context, hup <-chan os.Signal, o options, env func(string) string, stderr io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.level)); err != nil {
		return fmt.Errorf("%w: serve: --log: %w", errUsage, err)
	}
	cfg, err := config.Load(o.config, env)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Name)
	// More threads than cores only wait for one another, and those that look for work use up the share.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
	op, err := config.LoadOperator(o.operator, &cfg.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	s, err := assemble(cfg, op, clock.NewSystem(), log)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var at listeners
	if cfg.Control != "" {
		if at.operators, err = net.Listen("tcp", cfg.Control); err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		if s.handover, err = handover.Open(os.TempDir(), cfg.Name, cfg.Listen, sibling{s}, log); err != nil {
			log.Warn("no other process of this scheduler can take over", "cause", err)
		}
	}
	open := func() (net.Listener, error) { return listenForClients(cfg) }
	if s.handover != nil && s.handover.OtherReady() {
		at.later = open // clients are the other's until this one has a list
	} else if at.clients, err = open(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if op != nil && op.Gearman != nil {
		if at.gearman, err = net.Listen("tcp", op.Gearman.Listen); err != nil {
			return fmt.Errorf("listen for gearman: %w", err)
		}
		log.Info("gearman front is on", "listen", at.gearman.Addr(), "functions", len(op.Gearman.Functions), "workers", len(op.Gearman.Workers))
	}
	listens := cfg.Listen
	if at.clients != nil {
		listens = at.clients.Addr().String()
	}
	log.Info("start", "listen", listens, "takes_over", at.later != nil, "control", cfg.Control, "discovery", cfg.Discovery, "targets", len(cfg.Known.Endpoints), "memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets)
	re := &reload{path: o.config, hup: hup, watch: s.watch, log: log}
	if s.duties != nil {
		re.show = s.duties.Show
		if op.Fleet.Rules != nil {
			re.publish = func() error {
				d, err := op.Fleet.Rules.Load(&cfg.Settings)
				if err == nil {
					s.duties.Publish(d)
				}
				return err
			}
		}
	}
	s.run(ctx, re, at)
	log.Info("stop")
	return nil
}

// scheduler is the program's parts, put together.
type scheduler struct {
	log      *slog.Logger
	clock    clock.Clock
	inv      *invariant.Set
	core     *core.Core
	targets  *target.Transport
	watch    *discovery.Watcher
	listener *listener.Listener
	gearman  *gearman.Server // nil while that front is off
	peers    *peers.Link     // nil where schedulers may not speak to one another
	duties   *duties.Host    // nil while that is off
	handover *handover.Link  // nil where no other process can take over
	killAt   float64         // milliseconds from SIGTERM to SIGKILL, at least
}

// ruling is a document of the fleet's as the core keeps it.
func ruling(d *rules.Doc) core.Rules {
	r := core.Rules{Attempts: map[string]int{}, ComeBack: map[string]float64{}, Cold: 1, Targets: map[string]bool{}, Zones: map[string]bool{}}
	for name, c := range d.Classes {
		if c.Attempts != nil {
			r.Attempts[name] = *c.Attempts
		}
		if c.ComeBack != nil {
			r.ComeBack[name] = float64(*c.ComeBack)
		}
	}
	if d.Cold.Share != nil {
		r.Cold = float64(*d.Cold.Share)
	}
	for _, x := range d.Drains {
		if x.Zone != "" {
			r.Zones[x.Zone] = true
		} else {
			r.Targets[x.Target] = true
		}
	}
	return r
}

// sink breaks the circle between the core and the transports it is made with.
type sink struct{ *core.Core }

// assemble puts the parts together; nothing runs yet.
func assemble(cfg *config.Config, op *config.Operator, clk clock.Clock, log *slog.Logger) (*scheduler, error) {
	stack, inv := httpio.NewStack(), invariant.New()
	s := &scheduler{log: log, clock: clk, inv: inv}
	places := cfg.Limits.Sockets - reserve
	if op != nil && op.Gearman != nil {
		places -= op.Gearman.Connections
	}
	if places < 16 {
		return nil, fmt.Errorf("%d sockets are too few", cfg.Limits.Sockets)
	}
	back := &sink{}
	s.targets = target.New(target.Config{Clock: clk, Log: log, Stack: stack, Sink: back, Host: "origin.svc",
		Sockets: httpio.NewBudget(places * 2 / 5),
		DialFor: clock.Millis(cfg.Settings.DialTimeout), IdleFor: clock.Millis(cfg.Settings.ConnIdle)})
	s.watch = discovery.New(discovery.Config{Address: cfg.Discovery, Clock: clk, Log: log, Stack: stack,
		Held: len(cfg.Known.Endpoints) > 0, From: cfg.Known.Index, Tell: func(g core.Group) { back.List("discovery", g) },
		SignOfLife: func(readAt float64) { back.SignOfLife("discovery", readAt) },
		Moved:      func() { back.Moved("discovery") }})
	known, err := cfg.Known.TargetGroup()
	if err != nil {
		log.Warn("entry of the known list passed over", "cause", err)
	}
	sources := []core.Source{{Name: "discovery", Transport: s.targets}}
	if cfg.Discovery != "" {
		sources[0].Watch = s.watch.Watch
	}
	if op != nil && op.Gearman != nil {
		s.gearman = gearman.New(*op.Gearman, fmt.Sprintf("%s-%x", cfg.Name, uint64(clk.Now())), back, clk, log, stack.Buffers)
		sources = append(sources, core.Source{Name: gearman.Source, Transport: s.gearman})
	}
	var tell func([]int, string)
	if cfg.Settings.Peers {
		if s.peers, err = peers.Open(peers.Config{Listen: cfg.PeerListen, Peers: cfg.Peers, All: cfg.PeersAll, Shared: cfg.Control != ""}, log); err != nil {
			return nil, err
		}
		if s.peers != nil {
			tell = s.peers.Tell
		}
	}
	if op != nil && op.Fleet != nil {
		if s.peers == nil {
			return nil, fmt.Errorf("operator's file: [fleet] is set up, but schedulers have no way to one another")
		}
		link := s.peers
		if s.duties, err = duties.New(duties.Config{Fleet: op.Fleet.Plan(&cfg.Settings, cfg.Peers, cfg.Seed), Clock: clk, Log: log,
			Tell:  func(to int, raw string) { link.Tell([]int{to}, raw) },
			Probe: func(target string) { s.core.Examine(target) },
			Judge: func(target string, lasts float64) { s.core.Judge(target, lasts) },
			Rule: func(now *rules.Doc, until float64, strict *rules.Doc) {
				s.core.Rule(ruling(now), until, ruling(strict))
			},
			Share: func(parts map[string]float64, lasts float64) { s.core.Share(parts, lasts) }}); err != nil {
			return nil, err
		}
	}
	c := core.Config{Tell: tell, Room: op.Plan(), Settings: cfg.Settings, Seed: cfg.Seed, Clock: clk, Log: log, Invariants: inv,
		ComeBack: comeBack, Known: map[string]core.Group{"discovery": known}, ListLease: listLease(cfg), UnwatchedLease: unwatchedLease(cfg), MovedLease: movedLease(cfg)}
	if cfg.Control != "" {
		c.Stray = s.stray
	}
	if s.duties != nil && op.Fleet.Examiner != nil {
		c.Doubt, c.Probed = s.duties.Doubt, s.duties.Probed
	}
	if s.duties != nil {
		c.Listed = func(all []core.Target) {
			zones := make(map[string]string, len(all))
			for _, t := range all {
				zones[t.ID] = t.Zone
			}
			s.duties.Listed(zones)
		}
	}
	if s.duties != nil && op.Fleet.Accountant != nil {
		c.Asked = s.duties.Asked
	}
	s.core, err = core.New(c, sources...)
	if err != nil {
		return nil, err
	}
	back.Core = s.core
	classes := map[string]listener.Class{}
	for _, c := range cfg.Settings.Classes {
		classes[c.Name] = listener.Class{Patience: clock.Millis(c.Deadline), Keyed: c.Effect == balance.Keyed}
		s.killAt = max(s.killAt, graceFor+min(killAfter, clock.Millis(c.Deadline)))
	}
	s.listener = listener.New(s.core, clk, log, stack, classes, httpio.NewBudget(places*3/5))
	return s, nil
}

// listeners are where the scheduler is called. Those for Gearman and for operators may be nil.
type listeners struct {
	clients, gearman, operators net.Listener
	// later opens that for clients once there is a list that may be acted on; nil: it is open.
	later func() (net.Listener, error)
}

// run serves until ctx ends, then goes on until all that was taken is answered.
func (s *scheduler) run(ctx context.Context, re *reload, at listeners) {
	tooLong := s.clock.NewAlarm() // to wait for a list
	defer tooLong.Stop()
	tooLong.Set(s.clock.Now() + firstFor)
	inner, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	s.begin(inner, &all, re, &at)
	select { // before that nothing can be served
	case <-s.core.Fresh():
	case <-tooLong.C():
	case <-ctx.Done():
	}
	if at.clients == nil && ctx.Err() == nil {
		var err error
		if at.clients, err = at.later(); err != nil {
			s.log.Error("listen", "cause", err)
			return
		}
		all.Go(func() { s.serveClients(inner, at.clients) })
	}
	s.listener.SetReady(ctx.Err() == nil)
	<-ctx.Done()
	s.windDown(inner, at.clients)
}

// begin starts all parts, but the listener for clients if that is to be opened later.
func (s *scheduler) begin(ctx context.Context, all *sync.WaitGroup, re *reload, at *listeners) {
	all.Go(func() { s.core.Run(ctx) })
	all.Go(func() { s.watch.Run(ctx) })
	all.Go(func() { re.run(ctx) })
	s.beginPeers(ctx, all)
	all.Go(func() { s.stats(ctx) })
	if at.clients != nil {
		all.Go(func() { s.serveClients(ctx, at.clients) })
	}
	if at.operators != nil {
		all.Go(func() {
			if err := control.New(operated{s}, s.log).Serve(ctx, at.operators); err != nil {
				s.log.Error("control address ended", "cause", err)
			}
		})
	}
	if s.gearman != nil {
		all.Go(func() {
			if err := s.gearman.Serve(ctx, at.gearman); err != nil {
				s.log.Error("gearman front ended", "cause", err)
			}
		})
	}
	if s.handover != nil {
		all.Go(func() {
			if err := s.handover.Serve(ctx); err != nil {
				s.log.Error("handover ended", "cause", err)
			}
		})
		s.inherit()
	}
}

// beginPeers starts what speaks with other schedulers.
func (s *scheduler) beginPeers(ctx context.Context, all *sync.WaitGroup) {
	if s.peers == nil {
		return
	}
	hear := s.core.Heard
	if s.duties != nil {
		hear = func(who int, raw string) {
			if s.duties.Heard(who, raw); !fleet.Reads(raw) {
				s.core.Heard(who, raw)
			}
		}
		all.Go(func() { s.duties.Run(ctx) })
	}
	all.Go(func() { s.peers.Run(ctx, hear) })
}

func (s *scheduler) serveClients(ctx context.Context, ln net.Listener) {
	if err := s.listener.Serve(ctx, ln); err != nil {
		s.log.Error("listener ended", "cause", err)
	}
}

func (s *scheduler) sleep(ms float64) {
	a := s.clock.NewAlarm()
	defer a.Stop()
	a.Set(s.clock.Now() + ms)
	<-a.C()
}

// stats logs the books now and then.
func (s *scheduler) stats(ctx context.Context) {
	a := s.clock.NewAlarm()
	defer a.Stop()
	for {
		a.Set(s.clock.Now() + statsEvery)
		select {
		case <-ctx.Done():
			return
		case <-a.C():
		}
		var told, heard int64
		if s.peers != nil {
			told, heard = s.peers.Sent.Load(), s.peers.Heard.Load()
		}
		var handedOver, dropped int64
		if s.handover != nil {
			handedOver, dropped = s.handover.Counts.PassedOn.Load(), s.handover.Counts.Dropped.Load()
		}
		b, n, l := s.core.Books(), &s.targets.Counts, &s.listener.Counts
		s.log.Info("books", "open", b.Open, "taken", b.Taken, "served", b.Served, "refused", b.Refused, "failed", b.Failed,
			"left", b.Left, "sends", b.Sends, "cancels", b.Cancels, "probes", b.Probes, "withheld", b.Withheld, "lists", b.Lists, "lapses", b.Lapses, "lapsed_ms", b.LapsedFor, "refused_lapsed", b.RefusedLapsed, "words_told", b.WordsTold, "words_passed_on", b.WordsPassedOn, "list_failures", b.ListFailures, "outcomes", b.Outcomes, "dropped", b.Dropped,
			"refused_by", b.Reasons.Refused, "failed_by", b.Reasons.Failed, "given_up_by", b.Reasons.GivenUp, "not_begun_by", b.Reasons.NotBegun, "retries_after", b.Reasons.Retries,
			"dialled", n.Dialled.Load(), "reused", n.Reused.Load(), "retired", n.Retired.Load(), "unheard", n.Unheard.Load(), "told", told, "heard", heard, "rejected", l.Rejected.Load(), "evicted", l.Evicted.Load(), "spared", l.Spared.Load(), "turned_off", l.TurnedOff.Load(), "closed_to_targets", n.Closes.Counts(), "closed_to_clients", l.Closes.Counts(), "unreadable_datagrams", b.Unreadable, "handed_over", handedOver, "handover_dropped", dropped, "room", b.Room, "invariants", s.inv.Counts())
	}
}
