package gearman

import (
	"fmt"
	"strconv"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/core"
)

// job is a job that Gearman clients submitted. It is the response receiver of its flow at the core. A background job that is
// refused gets a further flow later, so it may have several, one after the other. Server.mu guards the fields that change.
type job struct {
	submission
	server   *Server
	handle   string       // identifies the job to clients
	workload *buffer.Body // released when the job is removed

	number         uint64  // part of the ID of its flow
	submitter      *conn   // whose memory the workload is counted as
	waitingClients []*conn // each gets one final packet
	tries          int     // flows that were started
	failures       int     // flows that failed
	started        bool
	fraction       float64 // progress, 0 to 1
	resultBegun    bool    // a part of the result came, which later clients would miss
	finished       bool
	ticket         core.Ticket
	submitted      chan struct{} // closed once ticket is set for the first time
}

// Priorities of jobs; a higher one is assigned first.
const (
	bulkPriority   = -2 // of a client that has many open jobs already
	lowPriority    = -1
	normalPriority = 0
	highPriority   = 1
)

// submission is what a SUBMIT_JOB packet of any kind says about a job, but for its workload.
type submission struct {
	function   *Function
	key        jobKey
	background bool // some client does not wait for the job
	priority   int
}

// isBackground reports whether a SUBMIT_JOB packet submits a background job.
func isBackground(t Type) bool {
	return t == SubmitJobBG || t == SubmitJobHighBG || t == SubmitJobLowBG
}

// isForeground reports whether a packet submits a job whose client waits for it.
func isForeground(t Type) bool { return t == SubmitJob || t == SubmitJobHigh || t == SubmitJobLow }

// priorityOf returns the priority of a job that was submitted with a packet of the given type.
func priorityOf(t Type) int {
	switch t {
	case SubmitJobHigh, SubmitJobHighBG:
		return highPriority
	case SubmitJobLow, SubmitJobLowBG:
		return lowPriority
	}
	return normalPriority
}

// backgroundType returns the type of the packet that submits a background job of a priority.
func backgroundType(priority int) Type {
	switch {
	case priority > normalPriority:
		return SubmitJobHighBG
	case priority < normalPriority:
		return SubmitJobLowBG
	}
	return SubmitJobBG
}

// newJob registers a job. The caller must hold mu.
func (s *Server) newJob(submitted *submission, workload *buffer.Body, submitter *conn) *job {
	s.lastID++
	j := &job{server: s, number: s.lastID, handle: s.handleFor(s.lastID), submission: *submitted, workload: workload,
		submitter: submitter, submitted: make(chan struct{})}
	s.jobs[j.handle] = j
	if j.key.joinable() {
		s.jobsByKey[j.key] = j
	}
	return j
}

// handleFor returns the handle of a job with a number.
func (s *Server) handleFor(number uint64) string { return fmt.Sprintf("H:%s:%d", s.name, number) }

// removeJob removes a job and releases its memory. The caller must hold mu.
func (s *Server) removeJob(j *job) {
	j.finished = true
	delete(s.jobs, j.handle)
	if s.jobsByKey[j.key] == j {
		delete(s.jobsByKey, j.key)
	}
	j.submitter.outbox.releaseWorkload(j.workload.Len())
	j.workload.Release()
}

// startFlow starts the next flow of a job at the core. The caller must not hold mu.
func (s *Server) startFlow(j *job) {
	s.mu.Lock()
	if j.finished {
		s.mu.Unlock()
		return
	}
	first := j.tries == 0
	if !first { // a late callback about an earlier flow must not be taken for one about this flow
		s.lastID++
		j.number = s.lastID
	}
	j.tries++
	j.started, j.fraction, j.resultBegun = false, 0, false
	j.workload.Retain() // the core releases its reference
	request := j.request(fmt.Sprintf("gm-%s-%d", s.name, j.number))
	s.mu.Unlock()
	ticket := s.core.Accept(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.ticket = ticket
	if first {
		close(j.submitted)
	}
}

// request returns the request for a flow of the job.
func (j *job) request(id string) *core.Request {
	function := j.function
	request := &core.Request{ID: id, Class: function.Class, Tenant: function.Tenant, Subject: j.key.subject(), ClientTimeoutMS: function.DeadlineMS,
		Slots: function.Slots, FirstTry: true, Receiver: j,
		Job: core.Job{Method: "POST", Path: function.Path, Type: "application/octet-stream", Body: j.workload, Priority: j.priority,
			Function: j.key.function, Unique: j.key.unique}}
	if function.Effect == balance.Unsafe && j.key.joinable() {
		request.RepeatKey = j.key.function + "\x00" + j.key.subject()
	}
	if function.Effect == balance.Keyed {
		request.Job.Key = targetKey(j.key.unique)
	}
	return request
}

// Respond implements core.ResponseReceiver.
func (j *job) Respond(response core.Response) { j.server.flowEnded(j, response) }

// maxFailures is the number of failed flows after which a background job is over.
const maxFailures = 4

// flowEnded sends each waiting client its one final packet. It removes the job, unless that is a background job that was
// refused, or failed and may be repeated: nobody waits who could submit it again, so it is retried.
func (s *Server) flowEnded(j *job, response core.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.finished {
		return
	}
	for _, c := range j.waitingClients {
		j.sendFinal(c, response)
		c.outbox.addWaitingJobs(-1)
	}
	j.waitingClients = nil
	if response.Kind == core.Failed {
		j.failures++
	}
	mayRepeat := response.Kind == core.Refused || response.Kind == core.Failed && response.MayRepeat && j.failures < maxFailures
	if j.background && mayRepeat {
		s.retryLater(j, response.RetryAfter)
		return
	}
	s.removeJob(j)
}

// sendFinal sends a client the final packet of the job, and before it the reason if the job was not done.
func (j *job) sendFinal(c *conn, response core.Response) {
	switch {
	case response.Kind == core.Served:
		c.respond(WorkComplete, j.handle, response.Body)
		return
	case response.Kind == core.Refused:
		j.sendReason(c, "refused; retry-after="+strconv.FormatFloat(max(1, response.RetryAfter)/1000, 'f', -1, 64))
	case response.TimedOut:
		j.sendReason(c, "failed; out of time")
	}
	c.respond(WorkFail, j.handle)
}

// Progress implements core.ResponseReceiver.
func (j *job) Progress(progress core.Progress) {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.started = true
	if progress.Fraction > 0 {
		j.fraction = progress.Fraction
	}
	if progress.Started {
		return
	}
	for _, c := range j.waitingClients {
		c.respond(WorkStatus, j.handle, strconv.Itoa(int(progress.Fraction*1000)), "1000")
	}
}

// Partial implements core.ResponseReceiver. Clients are sent partial output as it comes. A warning says nothing about the
// result, so another attempt may still answer.
func (j *job) Partial(output core.PartialOutput) core.PartialHandling {
	j.server.mu.Lock()
	defer j.server.mu.Unlock()
	j.resultBegun = j.resultBegun || output.Kind == core.PartialResult
	handling := core.Ignored
	for _, c := range j.waitingClients {
		if j.sendPartial(c, output) && output.Kind != core.Warning {
			handling = core.PassedOn
		}
	}
	return handling
}

// sendPartial sends a client partial output, unless that is an exception and the client did not request exceptions. It reports
// whether the client is sent it.
func (j *job) sendPartial(c *conn, output core.PartialOutput) bool {
	switch output.Kind {
	case core.Exception:
		if !c.exceptions {
			return false
		}
		c.respond(WorkException, j.handle, output.Data)
	case core.Warning:
		c.respond(WorkWarning, j.handle, output.Data)
	default:
		c.respond(WorkData, j.handle, output.Data)
	}
	return true
}

// sendReason sends the reason why a job failed: as WORK_EXCEPTION if the client requested
// exceptions, and as WORK_WARNING otherwise.
func (j *job) sendReason(c *conn, reason string) {
	if c.exceptions {
		c.respond(WorkException, j.handle, reason)
	} else {
		c.respond(WorkWarning, j.handle, reason)
	}
}
