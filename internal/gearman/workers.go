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

// worker is a connected worker: a target.
type worker struct {
	Worker
	conn    *conn
	can     map[string]bool
	asleep  bool
	since   float64             // when it connected: it is cold then
	put     []*attempt          // before it, the next to be handed over first
	handed  map[string]*attempt // by its handle for the worker
	removed bool
	number  uint64 // of the connection
}

// attempt is a send to a worker.
type attempt struct {
	core.Attempt
	written bool // the worker has the whole JOB_ASSIGN: it may run
	givenUp bool
}

// target is the worker's name for the core, another one for each connection: a worker
// that is back has nothing to do with what was sent before, and news of the old
// connection's end cannot be taken for its own.
func (w *worker) target() string { return fmt.Sprintf("gearman:%s#%d", w.ID, w.number) }

// identify takes the worker's name for itself, by which the operator's file knows it.
func (s *Server) identify(c *conn, id string) error {
	i := slices.IndexFunc(s.cfg.Workers, func(w Worker) bool { return w.ID == id })
	if i < 0 {
		return protocolError("unknown_worker the operator's file has no worker " + strconv.Quote(clip(id)))
	}
	s.mu.Lock()
	if c.worker != nil {
		s.mu.Unlock()
		return protocolError("already_named a connection names itself once")
	}
	old := s.workers[id]
	s.mu.Unlock()
	if old != nil { // it is back before its old connection was seen to end: that one is dead
		old.conn.Close()
		s.workerGone(old.conn)
	}
	w := &worker{Worker: s.cfg.Workers[i], conn: c, can: map[string]bool{}, handed: map[string]*attempt{}, since: s.clock.Now()}
	s.mu.Lock()
	if s.workers[id] != nil {
		s.mu.Unlock()
		return protocolError("already_connected another connection has this name")
	}
	s.last++
	w.number = s.last
	c.worker, s.workers[id] = w, w
	s.mu.Unlock()
	return nil
}

func (s *Server) canDo(c *conn, name string) error {
	if s.function(name) == nil {
		return protocolError("unknown_function no class is set for " + strconv.Quote(clip(name)))
	}
	s.mu.Lock()
	w := c.worker
	if w == nil {
		s.mu.Unlock()
		return protocolError("no_client_id SET_CLIENT_ID comes before CAN_DO: the name says where a worker stands")
	}
	w.can[name] = true
	g := w.group(s)
	s.mu.Unlock()
	s.core.List(Source, g)
	return nil
}

// cantDo ends one ability, or all of them if name is empty. What was put before the
// worker for it goes back unstarted, at once.
func (s *Server) cantDo(c *conn, name string) {
	s.mu.Lock()
	w := c.worker
	if w == nil || w.removed {
		s.mu.Unlock()
		return
	}
	if name == "" {
		clear(w.can)
	} else {
		delete(w.can, name)
	}
	var back []*attempt
	w.put = slices.DeleteFunc(w.put, func(a *attempt) bool {
		if s.able(w, a) {
			return false
		}
		back = append(back, a)
		return true
	})
	g := w.group(s)
	s.mu.Unlock()
	s.core.List(Source, g)
	for _, a := range back {
		s.end(a, w, httpio.NotBegun, "")
	}
}

// group tells the core of w as it is now.
func (w *worker) group(s *Server) core.Group {
	m := balance.Member{ID: w.target(), Zone: w.Zone, Kind: w.Kind, Cell: w.Pod, State: balance.Ready, Weight: 1}
	for name := range w.can {
		if f := s.function(name); f != nil && !strings.Contains(m.Classes, ","+f.Class+",") {
			m.Classes += "," + f.Class + ","
		}
	}
	switch {
	case w.removed:
		m.State = balance.Gone
	case len(w.can) == 0:
		m.State = balance.Draining
	}
	return core.Group{Scope: balance.Changes, Targets: []core.Target{{Member: m, StartedMS: w.since}}}
}

// able says whether w can do what a asks for: the function itself, or for a job that came
// by another front any function of its class.
func (s *Server) able(w *worker, a *attempt) bool { return s.functionFor(w, a) != "" }

func (s *Server) functionFor(w *worker, a *attempt) string {
	if a.Job.Function != "" {
		if w.can[a.Job.Function] {
			return a.Job.Function
		}
		return ""
	}
	for _, f := range s.cfg.Functions {
		if f.Class == a.Class && w.can[f.Name] {
			return f.Name
		}
	}
	return ""
}

// Listed implements core.Transport; this front tells of its targets itself.
func (s *Server) Listed(core.Group) {}

// Probe implements core.Transport: Gearman workers cannot be asked, so the server answers
// what it knows.
func (s *Server) Probe(target string) {
	r := core.ProbeResult{Target: target, Result: balance.NoConnection}
	s.mu.Lock()
	if w := s.byTarget(target); w != nil {
		r.Result, r.Report = balance.OK, w.report()
	}
	s.mu.Unlock()
	go s.core.ProbeEnded(r)
}

func (s *Server) byTarget(name string) *worker {
	for _, w := range s.workers {
		if w.target() == name {
			return w
		}
	}
	return nil
}

// report is what the server knows of a worker's load: it runs one job at a time.
func (w *worker) report() balance.Report {
	free := 1.0
	if len(w.handed) > 0 {
		free = 0
	}
	return balance.Report{Present: true, InFlight: float64(len(w.put) + len(w.handed)), Waiting: float64(len(w.put)), Free: free}
}

// Start implements core.Transport: the job is put before the worker, who is woken.
func (s *Server) Start(a core.Attempt) {
	at := &attempt{Attempt: a}
	s.mu.Lock()
	w := s.byTarget(a.Target)
	ok := w != nil && s.able(w, at)
	if ok {
		i := slices.IndexFunc(w.put, func(x *attempt) bool { return x.Job.Priority < a.Job.Priority })
		if i < 0 {
			i = len(w.put)
		}
		w.put = slices.Insert(w.put, i, at)
		if w.asleep {
			w.asleep = false
			w.conn.respond(Noop)
		}
	}
	s.mu.Unlock()
	if !ok {
		go s.end(at, nil, httpio.NotBegun, "")
	}
}

// Cancel implements core.Transport. A job that was not handed over has not run; one that
// was is given up by no longer listening.
func (s *Server) Cancel(a core.Attempt) {
	s.mu.Lock()
	w := s.byTarget(a.Target)
	var at *attempt
	back := httpio.GivenUp
	if w != nil {
		if i := slices.IndexFunc(w.put, func(x *attempt) bool { return x.Ref == a.Ref }); i >= 0 {
			at, back = w.put[i], httpio.NotBegun
			w.put = slices.Delete(w.put, i, i+1)
		}
		for _, x := range w.handed {
			if x.Ref == a.Ref && !a.Unsent {
				x.givenUp = true // it stays in hand: the worker is busy with it
			}
		}
	}
	s.mu.Unlock()
	if at == nil && a.Unsent {
		return
	}
	if at == nil {
		at = &attempt{Attempt: core.Attempt{Ref: a.Ref}}
	}
	go s.end(at, nil, back, "")
}

// end tells the core how an attempt ended, and lets go of its body.
func (s *Server) end(a *attempt, w *worker, back httpio.Exchange, body string) {
	if a.Job.Body != nil {
		a.Job.Body.Release()
	}
	res, _ := httpio.Outcome(back)
	o := core.Outcome{Ref: a.Ref, Result: res, Body: body}
	if w != nil {
		s.mu.Lock()
		o.Report = w.report()
		s.mu.Unlock()
	}
	s.core.Ended(o)
}

func (s *Server) sleep(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := c.worker
	if w == nil {
		return
	}
	if len(w.put) > 0 { // something came since its last GRAB_JOB
		c.respond(Noop)
		return
	}
	w.asleep = true
}

// grab hands the first job that was put before a worker over to it.
func (s *Server) grab(c *conn, as Type) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := c.worker
	if w == nil || w.removed || len(w.put) == 0 {
		c.respond(NoJob)
		return
	}
	w.asleep = false
	a := w.put[0]
	w.put = w.put[1:]
	handle := fmt.Sprintf("H:%s:%d.%d", s.name, a.Flow, a.N)
	w.handed[handle] = a
	var load []byte
	if a.Job.Body != nil {
		for _, part := range a.Job.Body.Slices() {
			load = append(load, part...)
		}
	}
	args := []string{handle, s.functionFor(w, a)}
	unique := a.Job.Unique
	if unique == "" {
		unique = a.Job.Key
	}
	switch as {
	case JobAssignUniq:
		args = append(args, unique)
	case JobAssignAll:
		args = append(args, unique, "") // no reducer
	}
	c.send(outgoing{data: Response(as, append(args, string(load))...), written: func() {
		s.mu.Lock()
		a.written = true
		heard := !a.givenUp
		s.mu.Unlock()
		if heard {
			s.core.News(core.TargetNews{ID: a.ID, From: a.Target, Progress: &core.Progress{Started: true}})
		}
	}})
}

// work takes a worker's word about a job in its hand.
func (s *Server) work(c *conn, p Packet) {
	handle := p.Args[0]
	s.mu.Lock()
	w := c.worker
	var a *attempt
	if w != nil {
		a = w.handed[handle]
	}
	if a == nil {
		s.mu.Unlock()
		c.respond(Error, "unknown_job", "no such job is in this worker's hand")
		return
	}
	final := p.Type == WorkComplete || p.Type == WorkFail
	if final {
		delete(w.handed, handle)
	}
	heard := !a.givenUp
	s.mu.Unlock()
	if final {
		switch {
		case !heard: // the core has ended it already
			if a.Job.Body != nil {
				a.Job.Body.Release()
			}
		case p.Type == WorkComplete:
			s.end(a, w, httpio.JobDone, p.Args[1])
		default:
			s.end(a, w, httpio.JobFailed, "")
		}
		return
	}
	if !heard {
		return
	}
	pr := core.Progress{Warning: p.Type == WorkWarning, Exception: p.Type == WorkException}
	if p.Type == WorkStatus {
		num, err1 := strconv.ParseFloat(p.Args[1], 64)
		den, err2 := strconv.ParseFloat(p.Args[2], 64)
		if err1 != nil || err2 != nil || !(den > 0) {
			return
		}
		pr.Fraction = min(1, max(0, num/den))
	} else {
		pr.Data = p.Args[1]
	}
	s.core.News(core.TargetNews{ID: a.ID, From: a.Target, Progress: &pr})
}

// workerGone ends all that a closed connection's worker had: what was handed over may have
// run, the rest has not.
func (s *Server) workerGone(c *conn) {
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
	put, handed := w.put, slices.Collect(maps.Values(w.handed))
	w.put = nil
	clear(w.handed)
	g := w.group(s)
	s.mu.Unlock()
	s.core.List(Source, g) // first, so that nothing of it comes back here
	for _, a := range put {
		s.end(a, nil, httpio.BrokenBefore, "")
	}
	for _, a := range handed {
		s.mu.Lock()
		written, heard := a.written, !a.givenUp
		s.mu.Unlock()
		switch {
		case !heard:
			if a.Job.Body != nil {
				a.Job.Body.Release()
			}
		case written:
			s.end(a, nil, httpio.BrokenAfter, "")
		default:
			s.end(a, nil, httpio.BrokenBefore, "")
		}
	}
}
