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
	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/config"
	"cottonwell/internal/core"
	"cottonwell/internal/fleet"
	"cottonwell/internal/fleet/rules"
	"cottonwell/internal/gearman"
	"cottonwell/internal/invariant"
	"cottonwell/internal/net/control"
	"cottonwell/internal/net/discovery"
	"cottonwell/internal/net/fleethost"
	"cottonwell/internal/net/handover"
	"cottonwell/internal/net/httpio"
	"cottonwell/internal/net/listener"
	"cottonwell/internal/net/peers"
	"cottonwell/internal/net/target"
)

// Durations are in milliseconds.
const (
	// defaultRetryAfter is the retry-after of a refusal for which the decision module gives none.
	defaultRetryAfter = 1000.0
	// minGracePeriod is the minimum time after SIGTERM for which requests are accepted as before, unless another process takes
	// over. Clients still arrive for up to 400 ms, and a request that arrives later must still get a response.
	minGracePeriod = 700.0
	// maxJobGrace limits the part of the longest class deadline that counts: SIGKILL follows SIGTERM after minGracePeriod
	// plus the longest deadline, up to maxJobGrace, at the earliest.
	maxJobGrace      = 3000.0
	closeLead        = 700.0  // before SIGKILL: connections are no longer kept alive, and open requests are completed
	finishLead       = 300.0  // before SIGKILL: unfinished requests get their final response
	exitLead         = 60.0   // before SIGKILL: the program exits, whatever connections are still open
	firstListTimeout = 4000.0 // maximum wait for a list that is valid, before clients are accepted without one
	statsInterval    = 10_000.0
	// gearmanMemoryDivisor is the part of the memory limit, as a divisor, that the Gearman front end's packets and workloads may
	// hold. The collector needs about as much again, and the rest of the program the remainder.
	gearmanMemoryDivisor = 6
	// bodiesMemoryDivisor is the same for the bodies of HTTP requests.
	bodiesMemoryDivisor = 6
)

// serve runs the scheduler until ctx ends and the graceful shutdown is complete.
func serve(ctx context.Context, hup <-chan os.Signal, opts options, env func(string) string, stderr io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(opts.logLevel)); err != nil {
		return fmt.Errorf("%w: serve: --log: %w", errUsage, err)
	}
	cfg, err := config.Load(opts.configPath, env)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Name)
	// More threads than cores only wait for one another, and threads that look for work use up the CPU limit.
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
	operator, err := config.LoadOperator(opts.operatorPath, &cfg.Settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	cfg.Limits.Sockets = usableDescriptors(cfg.Limits.Sockets, log)
	s, err := assemble(cfg, operator, clock.NewSystem(), log)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var listeners listenerSet
	if cfg.Control != "" {
		if listeners.operators, err = net.Listen("tcp", cfg.Control); err != nil {
			return fmt.Errorf("listen at the control address: %w", err)
		}
		if s.handover, err = handover.Open(os.TempDir(), cfg.Name, cfg.Listen, handoverProcess{s}, log); err != nil {
			log.Warn("no other process of this scheduler can take over", "cause", err)
		}
	}
	openClients := func() (net.Listener, error) { return listenForClients(cfg) }
	if s.handover != nil && s.handover.OtherReady() {
		listeners.openClients = openClients // the other process serves clients until this one has a list
	} else if listeners.clients, err = openClients(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if operator != nil && operator.Gearman != nil {
		s.gearmanFront = newGearmanFront(s, operator.Gearman.Listen, cfg.Control != "")
		_, err := s.gearmanFront.open()
		if beside := s.handover != nil && s.handover.OtherReady(); err != nil && !(beside && mayFreeUp(err)) {
			return fmt.Errorf("listen for Gearman: %w", err)
		}
		log.Info("Gearman front enabled", "listen", operator.Gearman.Listen, "functions", len(operator.Gearman.Functions), "workers", len(operator.Gearman.Workers))
	}
	listenAddress := cfg.Listen
	if listeners.clients != nil {
		listenAddress = listeners.clients.Addr().String()
	}
	log.Info("start", "listen", listenAddress, "takes_over", listeners.openClients != nil, "control", cfg.Control, "discovery", cfg.Discovery, "targets", len(cfg.Known.Endpoints), "memory_mb", cfg.Limits.MemoryMB, "sockets", cfg.Limits.Sockets)
	reloader := &reloadHandler{configPath: opts.configPath, hup: hup, watcher: s.watcher, log: log}
	if s.duties != nil {
		reloader.logFleet = s.duties.LogState
		if operator.Fleet.Rules != nil {
			reloader.publishRules = func() error {
				doc, err := operator.Fleet.Rules.Load(&cfg.Settings)
				if err == nil {
					s.duties.Publish(doc)
				}
				return err
			}
		}
	}
	s.run(ctx, reloader, listeners)
	log.Info("stop")
	return nil
}

// scheduler holds the connected parts of the program.
type scheduler struct {
	log          *slog.Logger
	clock        clock.Clock
	invariants   *invariant.Set
	core         *core.Core
	targets      *target.Transport
	watcher      *discovery.Watcher
	listener     *listener.Listener
	gearman      *gearman.Server // nil if disabled
	gearmanFront *gearmanFront   // nil if gearman is
	peers        *peers.Link     // nil if schedulers may not send messages to one another
	duties       *fleethost.Host // nil if the operator's file has no [fleet]
	fleetRole    *fleetRole      // nil if duties is
	handover     *handover.Link  // nil if no other process can take over
	killDelay    float64         // minimum time from SIGTERM to SIGKILL, in milliseconds
}

// coreRules converts a document of the fleet's rules to the form of the core.
func coreRules(doc *rules.Doc) core.Rules {
	result := core.Rules{Attempts: map[string]int{}, RetryAfterMS: map[string]float64{}, ColdFactor: 1, DrainedTargets: map[string]bool{}, DrainedZones: map[string]bool{}}
	for name, class := range doc.Classes {
		if class.Attempts != nil {
			result.Attempts[name] = *class.Attempts
		}
		if class.RetryAfter != nil {
			result.RetryAfterMS[name] = float64(*class.RetryAfter)
		}
	}
	if doc.Cold.Share != nil {
		result.ColdFactor = float64(*doc.Cold.Share)
	}
	for _, drain := range doc.Drains {
		if drain.Zone != "" {
			result.DrainedZones[drain.Zone] = true
		} else {
			result.DrainedTargets[drain.Target] = true
		}
	}
	return result
}

// deferredCore is a reference to the core that is set once the core exists. It breaks a cycle: the transports need a sink when
// they are made, and the core is made with the transports.
type deferredCore struct{ *core.Core }

// assemble makes the parts of the scheduler and connects them. It starts none of them.
func assemble(cfg *config.Config, operator *config.Operator, clk clock.Clock, log *slog.Logger) (*scheduler, error) {
	stack, invariants := httpio.NewStack(), invariant.New()
	stack.RequestBodies = buffer.NewLimit(cfg.Limits.MemoryMB << 20 / bodiesMemoryDivisor)
	s := &scheduler{log: log, clock: clk, invariants: invariants}
	gearmanConnections := 0
	if operator != nil && operator.Gearman != nil {
		gearmanConnections = operator.Gearman.Connections + gearman.ExtraConnections
	}
	connections, err := connectionBudget(min(cfg.Limits.Sockets, maxDescriptorsInMemory(cfg.Limits.MemoryMB)), gearmanConnections)
	if err != nil {
		return nil, err
	}
	sink := &deferredCore{}
	s.targets = target.New(target.Config{Clock: clk, Log: log, Stack: stack, Sink: sink, Host: "origin.svc",
		Sockets:     httpio.NewBudget(connections * 2 / 5),
		DialTimeout: clock.Millis(cfg.Settings.DialTimeout), IdleTimeout: clock.Millis(cfg.Settings.ConnIdle)})
	s.watcher = discovery.New(discovery.Config{Address: cfg.Discovery, Clock: clk, Log: log, Stack: stack,
		HasList: len(cfg.Known.Endpoints) > 0, FromVersion: cfg.Known.Index, OnList: func(list core.TargetList) { sink.UpdateTargets("discovery", list) },
		OnHeartbeat:     func(readAt float64) { sink.Heartbeat("discovery", readAt) },
		OnAddressChange: func() { sink.DiscoveryAddressChanged("discovery") }})
	knownList, err := cfg.Known.TargetList()
	if err != nil {
		log.Warn("entry of the known list ignored", "cause", err)
	}
	sources := []core.Source{{Name: "discovery", Transport: s.targets}}
	if cfg.Discovery != "" {
		sources[0].Watch = s.watcher.RequestWatch
	}
	if operator != nil && operator.Gearman != nil {
		s.gearman = gearman.New(*operator.Gearman, fmt.Sprintf("%s-%x", cfg.Name, uint64(clk.Now())), sink, clk, log, stack.Buffers, cfg.Limits.MemoryMB<<20/gearmanMemoryDivisor)
		sources = append(sources, core.Source{Name: gearman.SourceName, Transport: s.gearman})
	}
	var sendToPeers func([]int, string)
	if cfg.Settings.Peers {
		if s.peers, err = peers.Open(peers.Config{Listen: cfg.PeerListen, Peers: cfg.Peers, Broadcast: cfg.PeersAll, Shared: cfg.Control != ""}, log); err != nil {
			return nil, err
		}
		if s.peers != nil {
			sendToPeers = s.peers.Send
		}
	}
	if operator != nil && operator.Fleet != nil {
		if s.peers == nil {
			return nil, fmt.Errorf("operator's file: [fleet] is set up, but schedulers cannot send messages to one another")
		}
		link := s.peers
		if s.duties, err = fleethost.New(fleethost.Config{Fleet: operator.Fleet.MachineConfig(&cfg.Settings, cfg.Peers, cfg.Seed, newRunID()), Clock: clk, Log: log,
			Send:        func(to int, message string) { link.Send([]int{to}, message) },
			Probe:       func(target string) { s.core.Probe(target) },
			SetExcluded: func(target string, validFor float64) { s.core.ApplyVerdict(target, validFor) },
			ApplyRules: func(now *rules.Doc, until float64, strict *rules.Doc) {
				s.core.ApplyRules(coreRules(now), until, coreRules(strict))
			},
			SetShares: func(shares map[string]float64, validFor float64) { s.core.ApplyShares(shares, validFor) }}); err != nil {
			return nil, err
		}
		s.fleetRole = newFleetRole(s, cfg.PeerListen)
	}
	coreConfig := core.Config{SendToPeers: sendToPeers, Planner: operator.PlannerConfig(), Settings: cfg.Settings, Seed: cfg.Seed, Clock: clk, Log: log, Invariants: invariants,
		RetryAfterMS: defaultRetryAfter, StoredLists: map[string]core.TargetList{"discovery": knownList}, ListLease: listLease(cfg), UnwatchedLease: unwatchedLease(cfg), AddressChangeLease: previousAddressLease(cfg)}
	if cfg.Control != "" {
		coreConfig.ForwardUnmatched = s.forwardUnmatched
	}
	if s.duties != nil && operator.Fleet.Examiner != nil {
		coreConfig.ReportSuspicion, coreConfig.ReportProbe = s.duties.ReportSuspicion, s.duties.ReportProbe
	}
	if s.duties != nil {
		coreConfig.ReportTargets = func(listed []core.Target) {
			zones := make(map[string]string, len(listed))
			for _, t := range listed {
				zones[t.ID] = t.Zone
			}
			s.duties.SetTargets(zones)
		}
	}
	if s.duties != nil && operator.Fleet.Accountant != nil {
		coreConfig.CountRequest = s.duties.CountRequest
	}
	s.core, err = core.New(coreConfig, sources...)
	if err != nil {
		return nil, err
	}
	sink.Core = s.core
	classes := map[string]listener.Class{}
	for _, class := range cfg.Settings.Classes {
		classes[class.Name] = listener.Class{ClientTimeout: clock.Millis(class.Deadline), KeyRequired: class.Effect == balance.Keyed}
		s.killDelay = max(s.killDelay, minGracePeriod+min(maxJobGrace, clock.Millis(class.Deadline)))
	}
	s.listener = listener.New(s.core, clk, log, stack, classes, httpio.NewBudget(connections*3/5))
	return s, nil
}

// listenerSet holds the listeners of the scheduler. The one for operators may be nil.
type listenerSet struct {
	clients, operators net.Listener
	// openClients opens the listener for clients once there is a valid list; nil if the listener is open.
	openClients func() (net.Listener, error)
}

// run serves until ctx ends and the graceful shutdown is complete.
func (s *scheduler) run(ctx context.Context, reloader *reloadHandler, listeners listenerSet) {
	listTimeout := s.clock.NewAlarm()
	defer listTimeout.Stop()
	listTimeout.Set(s.clock.Now() + firstListTimeout)
	workCtx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	s.startParts(workCtx, &tasks, reloader, &listeners)
	select { // no request can be served before a list is valid
	case <-s.core.ListReady():
	case <-listTimeout.C():
	case <-ctx.Done():
	}
	if listeners.clients == nil && ctx.Err() == nil {
		var err error
		if listeners.clients, err = listeners.openClients(); err != nil {
			s.log.Error("cannot listen for clients", "cause", err)
			return
		}
		tasks.Go(func() { s.serveClients(workCtx, listeners.clients) })
	}
	s.listener.SetReady(ctx.Err() == nil)
	<-ctx.Done()
	s.shutDown(workCtx, listeners.clients)
}

// startParts starts all parts, except a listener for clients that is not open yet.
func (s *scheduler) startParts(ctx context.Context, tasks *sync.WaitGroup, reloader *reloadHandler, listeners *listenerSet) {
	tasks.Go(func() { s.core.Run(ctx) })
	tasks.Go(func() { s.watcher.Run(ctx) })
	tasks.Go(func() { reloader.run(ctx) })
	s.startPeers(ctx, tasks)
	tasks.Go(func() { s.logStats(ctx) })
	if listeners.clients != nil {
		tasks.Go(func() { s.serveClients(ctx, listeners.clients) })
	}
	if listeners.operators != nil {
		tasks.Go(func() {
			if err := control.New(operatorControl{s}, s.log).Serve(ctx, listeners.operators); err != nil {
				s.log.Error("control listener failed", "cause", err)
			}
		})
	}
	if s.gearmanFront != nil {
		tasks.Go(func() { s.gearmanFront.run(ctx) })
	}
	if s.handover != nil {
		tasks.Go(func() {
			if err := s.handover.Serve(ctx); err != nil {
				s.log.Error("handover listener failed", "cause", err)
			}
		})
		s.takeOverMaintenance()
	}
}

// startPeers starts the exchange of messages with other schedulers.
func (s *scheduler) startPeers(ctx context.Context, tasks *sync.WaitGroup) {
	if s.peers == nil {
		return
	}
	receive := s.core.ReceivePeerMessage
	if s.duties != nil {
		receive = func(sender int, message string) {
			if fleet.IsFleetDatagram(message) {
				s.receiveFleetDatagram(sender, message)
				return
			}
			s.duties.Receive(sender, message) // any datagram shows that its sender is live
			s.core.ReceivePeerMessage(sender, message)
		}
		tasks.Go(func() { s.fleetRole.run(ctx) })
	}
	tasks.Go(func() { s.peers.Run(ctx, receive) })
}

func (s *scheduler) serveClients(ctx context.Context, ln net.Listener) {
	if err := s.listener.Serve(ctx, ln); err != nil {
		s.log.Error("client listener failed", "cause", err)
	}
}

func (s *scheduler) sleep(ms float64) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(s.clock.Now() + ms)
	<-alarm.C()
}

// logStats logs the stats and counters periodically.
func (s *scheduler) logStats(ctx context.Context) {
	alarm := s.clock.NewAlarm()
	defer alarm.Stop()
	for {
		alarm.Set(s.clock.Now() + statsInterval)
		select {
		case <-ctx.Done():
			return
		case <-alarm.C():
		}
		var sent, received int64
		if s.peers != nil {
			sent, received = s.peers.Sent.Load(), s.peers.Received.Load()
		}
		var handedOver, dropped int64
		if s.handover != nil {
			handedOver, dropped = s.handover.Counts.Forwarded.Load(), s.handover.Counts.Dropped.Load()
		}
		coreStats, targetCounts, listenerCounts := s.core.Stats(), &s.targets.Counts, &s.listener.Counts
		s.log.Info("books", "open", coreStats.Open, "taken", coreStats.Accepted, "served", coreStats.Served, "refused", coreStats.Refused, "failed", coreStats.Failed,
			"left", coreStats.ClientsLeft, "sends", coreStats.Dispatches, "cancels", coreStats.Cancels, "probes", coreStats.Probes, "withheld", coreStats.Withheld, "lists", coreStats.Lists, "lapses", coreStats.Lapses, "lapsed_ms", coreStats.LapsedMS, "refused_lapsed", coreStats.RefusedLapsed, "words_told", coreStats.ListMessagesSent, "words_passed_on", coreStats.ForwardedConfirmations, "list_failures", coreStats.ListFailures, "outcomes", coreStats.Outcomes, "dropped", coreStats.Dropped,
			"refused_by", coreStats.Reasons.Refused, "failed_by", coreStats.Reasons.Failed, "given_up_by", coreStats.Reasons.Cancelled, "not_begun_by", coreStats.Reasons.NotStarted, "retries_after", coreStats.Reasons.Retries,
			"dialled", targetCounts.Dials.Load(), "reused", targetCounts.Reused.Load(), "retired", targetCounts.Retired.Load(), "unheard", targetCounts.Unacknowledged.Load(), "told", sent, "heard", received, "rejected", listenerCounts.Rejected.Load(), "evicted", listenerCounts.Evicted.Load(), "spared", listenerCounts.ClosedExcessIdle.Load(), "turned_off", listenerCounts.RefusedNoSlot.Load(), "closed_to_targets", targetCounts.Closes.Counts(), "closed_to_clients", listenerCounts.Closes.Counts(), "unreadable_datagrams", coreStats.UnreadableDatagrams, "handed_over", handedOver, "handover_dropped", dropped, "room", coreStats.Reservations, "invariants", s.invariants.Counts())
	}
}
