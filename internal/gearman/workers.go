package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cottonwell/balance"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// worker is a connected worker. The core sees it as a target.
type worker struct {
	Worker
	conn        *conn
	functions   map[string]bool
	asleep      bool
	connectedMS float64             // when it connected; it is cold then
	queued      []*attempt          // attempts to assign, the next one first
	assigned    map[string]*attempt // by the job handle that the worker received
	removed     bool
	unavailable bool   // the core sends it nothing new, as it is under maintenance or drains
	connID      uint64 // unique for each connection
}

// attempt is an attempt that the core started at a worker.
type attempt struct {
	core.Attempt
	written   bool // the whole JOB_ASSIGN was written, so the job may run
	cancelled bool
}

// targetID returns the worker's target ID at the core. It differs for each connection, so that
// earlier attempts are not attributed to a worker that has reconnected, and the end of its old
// connection does not affect its new one.
func (w *worker) targetID() string { return fmt.Sprintf("gearman:%s#%d", w.ID, w.connID) }

// setClientID registers the connection as the worker that the operator's file lists under id.
// It closes an older connection with the same id.
func (s *Server) setClientID(c *conn, id string) error {
	index := slices.IndexFunc(s.cfg.Workers, func(w Worker) bool { return w.ID == id })
	if index < 0 {
		return protocolError("unknown_worker the operator's file has no worker " + strconv.Quote(truncate(id)))
	}
	s.mu.Lock()
	if c.worker != nil {
		s.mu.Unlock()
		return protocolError("already_named a connection names itself once")
	}
	old := s.workers[id]
	s.mu.Unlock()
	if old != nil { // the worker reconnected before the server detected the end of its old connection
		old.conn.Close()
		s.workerDisconnected(old.conn)
	}
	w := &worker{Worker: s.cfg.Workers[index], conn: c, functions: map[string]bool{}, assigned: map[string]*attempt{}, connectedMS: s.clock.Now()}
	s.mu.Lock()
	if s.workers[id] != nil {
		s.mu.Unlock()
		return protocolError("already_connected another connection has this name")
	}
	s.lastID++
	w.connID = s.lastID
	c.worker, s.workers[id] = w, w
	s.mu.Unlock()
	return nil
}

// canDo adds a function to the ones that a worker can run, and updates the core's target list.
func (s *Server) canDo(c *conn, name string) error {
	if s.function(name) == nil {
		return protocolError("unknown_function no class is set for " + strconv.Quote(truncate(name)))
	}
	s.mu.Lock()
	w := c.worker
	if w == nil {
		s.mu.Unlock()
		return protocolError("no_client_id SET_CLIENT_ID comes before CAN_DO: the name says where a worker stands")
	}
	w.functions[name] = true
	update := w.targetUpdate(s)
	s.mu.Unlock()
	s.core.UpdateTargets(SourceName, update)
	return nil
}

// cantDo removes one function from the ones that a worker can run, or all of them if name is
// empty. Queued attempts that the worker can no longer run end at once as not started.
func (s *Server) cantDo(c *conn, name string) {
	s.mu.Lock()
	w := c.worker
	if w == nil || w.removed {
		s.mu.Unlock()
		return
	}
	if name == "" {
		clear(w.functions)
	} else {
		delete(w.functions, name)
	}
	var withdrawn []*attempt
	w.queued = slices.DeleteFunc(w.queued, func(a *attempt) bool {
		if s.canRun(w, a) {
			return false
		}
		withdrawn = append(withdrawn, a)
		return true
	})
	update := w.targetUpdate(s)
	s.mu.Unlock()
	s.core.UpdateTargets(SourceName, update)
	for _, a := range withdrawn {
		s.endAttempt(a, w, httpio.NotStarted, "")
	}
}

// targetUpdate returns a change of the core's target list with the current state of w. The
// caller must hold the server's mu.
func (w *worker) targetUpdate(s *Server) core.TargetList {
	member := balance.Member{ID: w.targetID(), Zone: w.Zone, Kind: w.Kind, Cell: w.Pod, State: balance.Ready, Weight: 1}
	for name := range w.functions {
		if f := s.function(name); f != nil && !strings.Contains(member.Classes, ","+f.Class+",") {
			member.Classes += "," + f.Class + ","
		}
	}
	switch {
	case w.removed:
		member.State = balance.Gone
	case len(w.functions) == 0:
		member.State = balance.Draining
	}
	return core.TargetList{Scope: balance.Changes, Targets: []core.Target{{Member: member, StartedMS: w.connectedMS}}}
}

// canRun reports whether w can run the job of a.
func (s *Server) canRun(w *worker, a *attempt) bool { return s.functionFor(w, a) != "" }

// functionFor returns the function under which w can run the job of a, or "" if there is none.
// For a job from another front it is any function of the job's class.
func (s *Server) functionFor(w *worker, a *attempt) string {
	if a.Job.Function != "" {
		if w.functions[a.Job.Function] {
			return a.Job.Function
		}
		return ""
	}
	for _, f := range s.cfg.Functions {
		if f.Class == a.Class && w.functions[f.Name] {
			return f.Name
		}
	}
	return ""
}

// UpdateTargets implements core.Transport. This front announces its own targets, but the core may withhold them, as for
// maintenance. What is queued for such a worker has not started, and is withdrawn.
func (s *Server) UpdateTargets(list core.TargetList) {
	var withdrawn []*attempt
	s.mu.Lock()
	for _, t := range list.Targets {
		w := s.workerByTarget(t.ID)
		if w == nil {
			continue
		}
		if w.unavailable = t.State != balance.Ready; w.unavailable {
			withdrawn = append(withdrawn, w.queued...)
			w.queued = nil
		}
	}
	s.mu.Unlock()
	if len(withdrawn) == 0 {
		return
	}
	go func() {
		for _, a := range withdrawn {
			s.endAttempt(a, nil, httpio.NotStarted, "")
		}
	}()
}

// Probe implements core.Transport. The protocol has no probe of a worker, so the result is
// derived from the server's own state.
func (s *Server) Probe(target string) {
	result := core.ProbeResult{Target: target, Result: balance.NoConnection}
	s.mu.Lock()
	if w := s.workerByTarget(target); w != nil {
		result.Result, result.Report = balance.OK, w.report()
	}
	s.mu.Unlock()
	go s.core.ProbeEnded(result)
}

// workerByTarget returns the connected worker with that target ID, or nil.
func (s *Server) workerByTarget(name string) *worker {
	for _, w := range s.workers {
		if w.targetID() == name {
			return w
		}
	}
	return nil
}

// report returns a worker's load as the server has counted it. A worker runs one job at a time.
func (w *worker) report() balance.Report {
	free := 1.0
	if len(w.assigned) > 0 {
		free = 0
	}
	return balance.Report{Present: true, InFlight: float64(len(w.queued) + len(w.assigned)), Waiting: float64(len(w.queued)), Free: free}
}

// Start implements core.Transport. It queues the job for the worker, in order of priority, and
// wakes a sleeping worker.
func (s *Server) Start(sent core.Attempt) {
	added := &attempt{Attempt: sent}
	s.mu.Lock()
	w := s.workerByTarget(sent.Target)
	accepted := w != nil && !w.unavailable && s.canRun(w, added)
	if accepted {
		i := slices.IndexFunc(w.queued, func(x *attempt) bool { return x.Job.Priority < sent.Job.Priority })
		if i < 0 {
			i = len(w.queued)
		}
		w.queued = slices.Insert(w.queued, i, added)
		if w.asleep {
			w.asleep = false
			w.conn.respond(Noop)
		}
	}
	s.mu.Unlock()
	if !accepted {
		go s.endAttempt(added, nil, httpio.NotStarted, "")
	}
}

// Cancel implements core.Transport. A queued job is removed and has not run. For an assigned
// job, the server ignores further packets of the worker about it.
func (s *Server) Cancel(a core.Attempt) {
	s.mu.Lock()
	w := s.workerByTarget(a.Target)
	var ended *attempt
	exchange := httpio.Cancelled
	if w != nil {
		if i := slices.IndexFunc(w.queued, func(x *attempt) bool { return x.AttemptRef == a.AttemptRef }); i >= 0 {
			ended, exchange = w.queued[i], httpio.NotStarted
			w.queued = slices.Delete(w.queued, i, i+1)
		}
		for _, x := range w.assigned {
			if x.AttemptRef == a.AttemptRef && !a.OnlyIfUnsent {
				x.cancelled = true // it remains assigned, since the worker is still busy with it
			}
		}
	}
	s.mu.Unlock()
	if ended == nil && a.OnlyIfUnsent {
		return
	}
	if ended == nil {
		ended = &attempt{Attempt: core.Attempt{AttemptRef: a.AttemptRef}}
	}
	go s.endAttempt(ended, nil, exchange, "")
}

// endAttempt releases an attempt's body and reports the outcome to the core. The outcome
// includes the worker's load unless w is nil.
func (s *Server) endAttempt(a *attempt, w *worker, exchange httpio.Exchange, body string) {
	if a.Job.Body != nil {
		a.Job.Body.Release()
	}
	result, _ := httpio.Outcome(exchange)
	outcome := core.Outcome{AttemptRef: a.AttemptRef, Result: result, Body: body}
	if w != nil {
		s.mu.Lock()
		outcome.Report = w.report()
		s.mu.Unlock()
	}
	s.core.AttemptEnded(outcome)
}

// preSleep marks a worker as asleep, or wakes it at once if jobs are queued for it.
func (s *Server) preSleep(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := c.worker
	if w == nil {
		return
	}
	if len(w.queued) > 0 { // a job was queued after its last GRAB_JOB
		c.respond(Noop)
		return
	}
	w.asleep = true
}

// assignNext assigns a worker the first job that is queued for it, or responds NO_JOB. It
// reports the job as started once the packet was written.
func (s *Server) assignNext(c *conn, packetType Type) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := c.worker
	if w == nil || w.removed || w.unavailable || len(w.queued) == 0 {
		c.respond(NoJob)
		return
	}
	w.asleep = false
	a := w.queued[0]
	w.queued = w.queued[1:]
	handle := fmt.Sprintf("H:%s:%d.%d", s.name, a.Flow, a.Index)
	w.assigned[handle] = a
	var workload []byte
	if a.Job.Body != nil {
		for _, part := range a.Job.Body.Slices() {
			workload = append(workload, part...)
		}
	}
	args := []string{handle, s.functionFor(w, a)}
	unique := a.Job.Unique
	if unique == "" {
		unique = a.Job.Key
	}
	switch packetType {
	case JobAssignUniq:
		args = append(args, unique)
	case JobAssignAll:
		args = append(args, unique, "") // no reducer
	}
	c.send(outgoing{data: Response(packetType, append(args, string(workload))...), onWritten: func() {
		s.mu.Lock()
		a.written = true
		active := !a.cancelled
		s.mu.Unlock()
		if active {
			s.reportProgress(a, core.Progress{Started: true})
		}
	}})
}

// handleWork handles a WORK packet: a worker's progress, data or outcome of an assigned job.
func (s *Server) handleWork(c *conn, p Packet) {
	handle := p.Args[0]
	s.mu.Lock()
	w := c.worker
	var a *attempt
	if w != nil {
		a = w.assigned[handle]
	}
	if a == nil {
		s.mu.Unlock()
		c.respond(Error, "unknown_job", "no such job is in this worker's hand")
		return
	}
	final := p.Type == WorkComplete || p.Type == WorkFail
	if final {
		delete(w.assigned, handle)
	}
	active := !a.cancelled
	s.mu.Unlock()
	if final {
		switch {
		case !active: // the core was sent the outcome on Cancel
			if a.Job.Body != nil {
				a.Job.Body.Release()
			}
		case p.Type == WorkComplete:
			s.endAttempt(a, w, httpio.JobDone, p.Args[1])
		default:
			s.endAttempt(a, w, httpio.JobFailed, "")
		}
		return
	}
	if !active {
		return
	}
	if p.Type == WorkStatus {
		s.handleStatus(a, p)
		return
	}
	if data := p.Args[1]; data != "" {
		output := core.PartialOutput{Kind: partialKind(p.Type), Data: data}
		s.core.ReceiveCallback(core.TargetCallback{ID: a.ID, From: a.Target, Attempt: &a.AttemptRef, Partial: &output})
	}
}

// partialKind returns the kind of partial output that a packet of the given type carries.
func partialKind(t Type) core.PartialKind {
	switch t {
	case WorkWarning:
		return core.Warning
	case WorkException:
		return core.Exception
	}
	return core.PartialResult
}

// handleStatus handles a WORK_STATUS packet. One that is not a fraction is ignored.
func (s *Server) handleStatus(a *attempt, p Packet) {
	numerator, err1 := strconv.ParseFloat(p.Args[1], 64)
	denominator, err2 := strconv.ParseFloat(p.Args[2], 64)
	if err1 != nil || err2 != nil || !(denominator > 0) {
		return
	}
	s.reportProgress(a, core.Progress{Fraction: min(1, max(0, numerator/denominator))})
}

// reportProgress reports progress of an attempt to the core.
func (s *Server) reportProgress(a *attempt, progress core.Progress) {
	s.core.ReceiveCallback(core.TargetCallback{ID: a.ID, From: a.Target, Attempt: &a.AttemptRef, Progress: &progress})
}

// workerDisconnected removes the worker of a closed connection and ends all its attempts. A job
// whose JOB_ASSIGN was written may have run; the others have not.
func (s *Server) workerDisconnected(c *conn) {
	s.mu.Lock()
	w := c.worker
	if w == nil || w.removed {
		s.mu.Unlock()
		return
	}
	w.removed = true
	if s.workers[w.ID] == w {
		delete(s.workers, w.ID)
	}
	queued, assigned := w.queued, slices.Collect(maps.Values(w.assigned))
	w.queued = nil
	clear(w.assigned)
	update := w.targetUpdate(s)
	s.mu.Unlock()
	s.core.UpdateTargets(SourceName, update) // before the outcomes, so that the core sends no retry to this worker
	for _, a := range queued {
		s.endAttempt(a, nil, httpio.BrokenBefore, "")
	}
	for _, a := range assigned {
		s.mu.Lock()
		written, active := a.written, !a.cancelled
		s.mu.Unlock()
		switch {
		case !active:
			if a.Job.Body != nil {
				a.Job.Body.Release()
			}
		case written:
			s.endAttempt(a, nil, httpio.BrokenAfter, "")
		default:
			s.endAttempt(a, nil, httpio.BrokenBefore, "")
		}
	}
}
