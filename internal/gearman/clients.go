package gearman

import (
	"slices"
	"strconv"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/core"
)

// memoryRetryAfterMS is the retry-after of a job that is refused for lack of memory, in milliseconds.
const memoryRetryAfterMS = 1000.0

// submit handles a SUBMIT_JOB packet of any kind. A job with the function and unique of one that has not ended joins that job;
// any other starts a flow at the core. Nothing that is not kept is answered JOB_CREATED, unless its client waits for the final
// packet.
func (s *Server) submit(c *conn, p Packet) error {
	name, unique, text := p.Args[0], p.Args[1], p.Args[2]
	function := s.function(name)
	switch {
	case function == nil:
		c.respond(Error, "unknown_function", "no class is set for "+strconv.Quote(truncate(name)))
		return nil
	case len(name) > maxNameLen || len(unique) > maxNameLen:
		return protocolError("too_large function or unique is too long")
	case function.Effect == balance.Keyed && (unique == "" || unique == workloadUnique):
		c.respond(Error, "unique_required", "jobs of this function need a unique: it is the key by which repeats are dropped")
		return nil
	}
	if len(text) > buffer.MaxBody {
		c.respond(Error, "too_large", "the workload is longer than 64 KiB")
		return nil
	}
	submitted := submission{function: function, key: newJobKey(name, unique, text), background: isBackground(p.Type), priority: priorityOf(p.Type)}
	j, err := s.acceptSubmission(c, &submitted, text)
	if j != nil {
		s.startFlow(j)
	}
	return err
}

// acceptSubmission answers a submission. It returns the job if that needs a flow.
func (s *Server) acceptSubmission(c *conn, submitted *submission, text string) (*job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || submitted.background && s.refusesBackground {
		c.respond(Error, "shutting_down", "this scheduler stops; submit to another")
		return nil, nil
	}
	if existing := s.jobsByKey[submitted.key]; existing != nil && submitted.key.joinable() {
		return s.join(existing, c, submitted), nil
	}
	if !c.outbox.chargeWorkload(len(text)) {
		s.refuseForMemory(c, submitted)
		return nil, nil
	}
	workload, err := s.pool.FromString(text)
	if err != nil {
		c.outbox.releaseWorkload(len(text))
		return nil, err
	}
	if c.outbox.hasManyJobs() {
		submitted.priority = min(submitted.priority, bulkPriority)
	}
	j := s.newJob(submitted, workload, c)
	j.addClient(c, submitted)
	return j, nil
}

// addClient tells a client the handle of a job. The outbox keeps packets in order, so the client reads it before any other
// packet of the job. The caller must hold mu.
func (j *job) addClient(c *conn, submitted *submission) {
	c.respond(JobCreated, j.handle)
	if submitted.background {
		j.background = true
	} else {
		j.waitingClients = append(j.waitingClients, c)
		c.outbox.addWaitingJobs(1)
	}
}

// join adds a client to a job that has not ended. It returns the job if that waits for its next flow and the client waits for
// the result. The caller must hold mu.
func (s *Server) join(j *job, c *conn, submitted *submission) *job {
	if j.resultBegun && !submitted.background {
		c.respond(Error, "in_progress", "parts of the result of this job were sent already; submit it again later")
		return nil
	}
	j.addClient(c, submitted)
	if !submitted.background && s.retries.remove(j) {
		return j
	}
	return nil
}

// refuseForMemory refuses a job for which there is no memory. A client that does not wait learns it in place of JOB_CREATED.
func (s *Server) refuseForMemory(c *conn, submitted *submission) {
	if submitted.background {
		c.respond(Error, "queue_full", "no memory is left for background jobs; submit again later")
		return
	}
	s.lastID++
	refused := &job{handle: s.handleFor(s.lastID)}
	c.respond(JobCreated, refused.handle)
	refused.sendFinal(c, core.Response{Kind: core.Refused, RetryAfter: memoryRetryAfterMS})
}

// truncate limits text from the other side to 64 bytes, for error texts.
func truncate(s string) string { return s[:min(len(s), 64)] }

// statusArgs returns the arguments of a STATUS_RES packet.
func (s *Server) statusArgs(handle string) []string {
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
	return []string{handle, "1", running, strconv.Itoa(int(j.fraction * 1000)), "1000"}
}

// clientDisconnected removes a closed connection from its jobs. It cancels a job that has no
// waiting client left and is not a background job.
func (s *Server) clientDisconnected(c *conn) {
	var abandoned []*job
	s.mu.Lock()
	for _, j := range s.jobs {
		if !slices.Contains(j.waitingClients, c) {
			continue
		}
		j.waitingClients = slices.DeleteFunc(j.waitingClients, func(x *conn) bool { return x == c })
		if len(j.waitingClients) == 0 && !j.background && !j.finished {
			s.removeJob(j)
			abandoned = append(abandoned, j)
		}
	}
	s.mu.Unlock()
	for _, j := range abandoned {
		<-j.submitted
		j.ticket.ClientLeft()
	}
}
