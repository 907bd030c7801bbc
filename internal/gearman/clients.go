package gearman

import (
	"fmt"
	"slices"
	"strconv"

	"cottonwell/internal/core"
)

// job is a flow that came from Gearman clients. It is the flow's listener.
type job struct {
	s                *Server
	handle, id       string // for Gearman; and for the core and HTTP targets
	function, unique string
	waiting          []*conn // clients, each to get one final packet
	background       bool    // some client left it here and does not wait
	started          bool
	done             float64 // share
	over             bool
	ticket           core.Ticket
	submitted        chan struct{} // closed once ticket is there
}

const (
	low    = -1
	normal = 0
	high   = 1
)

func (s *Server) submit(c *conn, p Packet) error {
	name, unique, workload := p.Args[0], p.Args[1], p.Args[2]
	f := s.function(name)
	switch {
	case f == nil:
		c.respond(Error, "unknown_function", "no class is set for "+strconv.Quote(clip(name)))
		return nil
	case len(name) > maxFunctionOrUnique || len(unique) > maxFunctionOrUnique:
		return protocolError("too_large function or unique is too long")
	case f.Keyed && (unique == "" || unique == "-"):
		c.respond(Error, "unique_required", "jobs of this function need a unique: it is the key by which repeats are dropped")
		return nil
	}
	if unique == "-" { // the published meaning: the workload is the unique
		unique = workload
	}
	background := p.Type == SubmitJobBG || p.Type == SubmitJobHighBG || p.Type == SubmitJobLowBG
	priority := map[Type]int{SubmitJobHigh: high, SubmitJobHighBG: high, SubmitJobLow: low, SubmitJobLowBG: low}[p.Type]

	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		c.respond(Error, "shutting_down", "this scheduler stops; submit to another")
		return nil
	}
	join := name + "\x00" + unique
	j := s.joined[join]
	fresh := j == nil || unique == ""
	if fresh {
		s.last++
		j = &job{s: s, function: name, unique: unique, handle: fmt.Sprintf("H:%s:%d", s.name, s.last),
			id: fmt.Sprintf("gm-%s-%d", s.name, s.last), submitted: make(chan struct{})}
		s.jobs[j.handle] = j
		if unique != "" {
			s.joined[join] = j
		}
	}
	// The client reads its handle before anything else of the job: the outbox keeps the order.
	c.respond(JobCreated, j.handle)
	if background {
		j.background = true
	} else {
		j.waiting = append(j.waiting, c)
	}
	s.mu.Unlock()
	if !fresh {
		return nil
	}
	body, err := s.pool.FromBytes([]byte(workload))
	if err != nil {
		s.finish(j, core.Answer{Kind: core.Failed})
		return nil
	}
	r := &core.Request{ID: j.id, Class: f.Class, Tenant: f.Tenant, Subject: unique, Patience: f.Patience, Slots: f.Slots, First: true, From: j,
		Job: core.Job{Method: "POST", Path: f.Path, Type: "application/octet-stream", Body: body, Priority: priority, Function: name, Unique: unique}}
	if f.Keyed {
		r.Job.Key = unique
	}
	ticket := s.core.TakeIn(r)
	s.mu.Lock()
	j.ticket = ticket
	close(j.submitted)
	s.mu.Unlock()
	return nil
}

func clip(s string) string { return s[:min(len(s), 64)] }

// Answer implements core.Listener.
func (j *job) Answer(a core.Answer) { j.s.finish(j, a) }

// finish gives every waiting client its one final packet.
func (s *Server) finish(j *job, a core.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.over {
		return
	}
	j.over = true
	delete(s.jobs, j.handle)
	if s.joined[j.function+"\x00"+j.unique] == j {
		delete(s.joined, j.function+"\x00"+j.unique)
	}
	for _, c := range j.waiting {
		switch a.Kind {
		case core.Served:
			c.respond(WorkComplete, j.handle, a.Body)
		case core.Refused:
			j.explain(c, "refused; retry-after="+strconv.FormatFloat(max(1, a.RetryAfter)/1000, 'f', -1, 64))
			c.respond(WorkFail, j.handle)
		default:
			if a.TimedOut {
				j.explain(c, "failed; out of time")
			}
			c.respond(WorkFail, j.handle)
		}
	}
	j.waiting = nil
}

// explain says why a job fails, in the packet that the client can hear it by.
func (j *job) explain(c *conn, why string) {
	if c.exceptions {
		c.respond(WorkException, j.handle, why)
	} else {
		c.respond(WorkWarning, j.handle, why)
	}
}

// Progress implements core.Listener.
func (j *job) Progress(p core.Progress) {
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.started = true
	if p.Fraction > 0 {
		j.done = p.Fraction
	}
	for _, c := range j.waiting {
		switch {
		case p.Data != "" && p.Exception:
			if c.exceptions {
				c.respond(WorkException, j.handle, p.Data)
			}
		case p.Data != "" && p.Warning:
			c.respond(WorkWarning, j.handle, p.Data)
		case p.Data != "":
			c.respond(WorkData, j.handle, p.Data)
		case !p.Started:
			c.respond(WorkStatus, j.handle, strconv.Itoa(int(p.Fraction*1000)), "1000")
		}
	}
}

// status is the content of STATUS_RES.
func (s *Server) status(handle string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[handle]
	if j == nil {
		return []string{handle, "0", "0", "0", "0"}
	}
	running := "0"
	if j.started {
		running = "1"
	}
	return []string{handle, "1", running, strconv.Itoa(int(j.done * 1000)), "1000"}
}

// clientGone takes a closed connection out of its jobs. A job for which nobody waits any
// more, and which was not left in the background, is given up.
func (s *Server) clientGone(c *conn) {
	var left []*job
	s.mu.Lock()
	for _, j := range s.jobs {
		if !slices.Contains(j.waiting, c) {
			continue
		}
		j.waiting = slices.DeleteFunc(j.waiting, func(x *conn) bool { return x == c })
		if len(j.waiting) == 0 && !j.background && !j.over {
			j.over = true
			delete(s.jobs, j.handle)
			delete(s.joined, j.function+"\x00"+j.unique)
			left = append(left, j)
		}
	}
	s.mu.Unlock()
	for _, j := range left {
		<-j.submitted
		j.ticket.Left()
	}
}
