// Package target connects the scheduler to the targets. It is given the target list and the attempts to start, to
// cancel and to probe. It keeps a pool of connections to each target, and reports to its Sink how each attempt and
// probe ended. It sends attempts up to their 202; the outcome of an accepted job arrives at package listener. It
// does not choose targets and does not retry an attempt that may have run.
package target

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"cottonwell/balance"
	"cottonwell/internal/buffer"
	"cottonwell/internal/clock"
	"cottonwell/internal/core"
	"cottonwell/internal/net/httpio"
)

// Sink receives the outcomes of attempts and probes.
type Sink interface {
	AttemptEnded(core.Outcome)
	ProbeEnded(core.ProbeResult)
}

// Config configures a Transport.
type Config struct {
	Clock   clock.Clock
	Log     *slog.Logger
	Stack   *httpio.Stack
	Sink    Sink
	Sockets *httpio.Budget
	// DialTimeout is the timeout for establishing a connection, in milliseconds.
	DialTimeout float64
	// IdleTimeout is the time in milliseconds after which targets close idle connections.
	IdleTimeout float64
	// Host is the service's name, sent in the Host header field.
	Host string
}

const (
	maxDeleteTries    = 3      // DELETE requests for a cancelled job until one is acknowledged
	writeTimeout      = 1000.0 // milliseconds, as all times below
	probeTimeout      = 500.0
	deleteTimeout     = 150.0 // for the response to a DELETE
	closeTimeout      = 250.0 // for a target to close a connection whose sending side this process has closed
	closeNoticeDelay  = 10.0  // from closing a connection until the target is assumed to have noticed
	lateResponseGrace = 200.0 // for a 202 after the attempt's deadline
	bodyTimeout       = 200.0 // for the body of a response, which is discarded
	maxRemoved        = 1024  // targets remembered after they left the list, so that their jobs can still be cancelled
)

// Transport implements core.Transport on the platform's protocol.
type Transport struct {
	Config
	Counts Counts

	idleStats idleStats

	mu      sync.Mutex
	targets map[string]*targetState
	removed []string // names of targets that have left the list, in the order of leaving
	running map[core.AttemptRef]*attempt
}

// Counts are the counters of a transport, for the log.
type Counts struct {
	Dials, Reused, Retired, Deletes, Unacknowledged atomic.Int64
	Closes                                          httpio.Closes
}

// targetState is the state of one target. While unavailable is set, nothing new is sent to it.
type targetState struct {
	name, address string
	started       float64
	unavailable   atomic.Bool
	removed       bool // from the list
	pool          pool
}

// New returns a transport without targets.
func New(cfg Config) *Transport {
	return &Transport{Config: cfg, targets: map[string]*targetState{}, running: map[core.AttemptRef]*attempt{}}
}

// Pending returns the number of attempts without any response from their target, not even a 202, plus the number
// of cancelled attempts whose end is not reported yet.
func (t *Transport) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// UpdateTargets implements core.Transport: it applies a target list or changes to it.
func (t *Transport) UpdateTargets(list core.TargetList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, listed := range list.Targets {
		seen[listed.ID] = true
		target := t.targets[listed.ID]
		if target == nil {
			target = &targetState{name: listed.ID, address: listed.Address, started: listed.StartedMS}
			t.targets[listed.ID] = target
		}
		if (listed.Address != "" && listed.Address != target.address) || listed.StartedMS != target.started {
			// Another process has this address, or the target has moved: the old connections are dead.
			if listed.Address != "" {
				target.address = listed.Address
			}
			target.started = listed.StartedMS
			t.closeIdle(target, 0, closedTargetReplaced)
		}
		target.unavailable.Store(listed.State != balance.Ready)
		if listed.State == balance.Gone {
			t.markRemoved(target)
		} else {
			target.removed = false
		}
	}
	if list.Scope == balance.Changes {
		return
	}
	for name, target := range t.targets {
		if !seen[name] {
			target.unavailable.Store(true)
			t.closeIdle(target, 0, closedTargetReplaced)
			t.markRemoved(target)
		}
	}
}

// markRemoved records that a target has left the list. The target may still have jobs of this scheduler, so the
// last maxRemoved of them are remembered.
func (t *Transport) markRemoved(target *targetState) {
	if target.removed {
		return
	}
	target.removed = true
	t.removed = append(t.removed, target.name)
	for len(t.removed) > maxRemoved {
		if oldest := t.targets[t.removed[0]]; oldest != nil && oldest.removed {
			t.closeIdle(oldest, 0, closedTargetReplaced)
			delete(t.targets, oldest.name)
		}
		t.removed = t.removed[1:]
	}
}

func (t *Transport) lookup(name string) (*targetState, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	if target == nil {
		return nil, ""
	}
	return target, target.address
}

// stage is the progress of an attempt on its connection.
type stage int

const (
	connecting stage = iota // waiting for a connection
	writing                 // the target may have received the last byte
	finished                // the response was received, or the connection broke
	abandoned               // cancelled: nothing more is sent or received
)

// attempt is a core.Attempt until its 202.
type attempt struct {
	core.Attempt
	mu         sync.Mutex
	stage      stage
	conn       *httpio.Conn
	clientLeft bool // its client has left: the attempt may not start any more

	readDone     chan struct{}   // closed once no more is read for the attempt
	lateExchange httpio.Exchange // the exchange after abandonment; valid once readDone is closed
	lateReport   balance.Report
}

// enterStage changes the stage, and returns false if the attempt was abandoned or its client left before it was
// sent.
func (a *attempt) enterStage(s stage, c *httpio.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == abandoned || a.clientLeft && s < finished {
		return false
	}
	a.stage, a.conn = s, c
	return true
}

// Start implements core.Transport.
func (t *Transport) Start(a core.Attempt) {
	running := &attempt{Attempt: a, readDone: make(chan struct{}), lateExchange: httpio.Cancelled}
	t.mu.Lock()
	t.running[a.AttemptRef] = running
	t.mu.Unlock()
	go t.run(running)
}

// run executes an attempt up to its 202. It reports every outcome: the core drops those of attempts that it has
// ended.
func (t *Transport) run(a *attempt) {
	exchange, report := t.exchange(a)
	close(a.readDone)
	cancelled := !a.enterStage(finished, nil)
	if a.Job.Body != nil {
		a.Job.Body.Release()
	}
	if exchange != "" { // after a 202, callbacks report the outcome
		t.reportEnd(a.AttemptRef, exchange, report)
	}
	if exchange != "" || !cancelled { // otherwise cancel reports the outcome
		t.forget(a.AttemptRef)
	}
}

// forget removes an attempt from those without a response.
func (t *Transport) forget(r core.AttemptRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
}

// reportEnd reports the outcome of an exchange to the core.
func (t *Transport) reportEnd(r core.AttemptRef, exchange httpio.Exchange, report balance.Report) {
	result, _ := httpio.Outcome(exchange)
	t.Sink.AttemptEnded(core.Outcome{AttemptRef: r, Result: result, Report: report})
}

// exchange sends the request and waits for its 202, for which it returns "".
func (t *Transport) exchange(a *attempt) (httpio.Exchange, balance.Report) {
	noReport := balance.Report{}
	if err := checkJob(&a.Attempt); err != nil {
		t.Log.Error("attempt not sent: a front end accepted a job that cannot be written as a request", "id", a.ID, "cause", err)
		return httpio.NotStarted, noReport
	}
	target, address := t.lookup(a.Target)
	if target == nil {
		return httpio.NotStarted, noReport
	}
	for {
		conn, idleTime, err := t.acquire(target, address)
		if errors.Is(err, errNoSocket) {
			t.Log.Warn("no socket left for an attempt", "target", a.Target)
			return httpio.NotStarted, noReport
		}
		if err != nil {
			t.Log.Debug("connect", "target", a.Target, "cause", err)
			return httpio.NotConnected, noReport
		}
		// While the connection was established, the target may have begun to drain, the attempt may have been
		// cancelled, or the time in which the request may be repeated may have ended.
		if target.unavailable.Load() || a.SendBy > 0 && t.Clock.Now() > a.SendBy || !a.enterStage(writing, conn) {
			t.release(target, conn, false)
			return httpio.NotStarted, noReport
		}
		buf := conn.Buffer()
		head := httpio.Start(buf, a.Job.Method, " ", a.Job.Path, " HTTP/1.1").Field("Host", t.Host).
			Field("X-Txn", a.ID).Field("Idempotency-Key", a.Job.Key).Field("Content-Type", a.Job.Type).
			Field("X-Remaining", strconv.FormatInt(int64(max(1, a.Deadline-t.Clock.Now())), 10)+"m")
		var body [][]byte
		if a.Job.Body != nil {
			body = a.Job.Body.Slices()
		}
		missing, err := conn.Send(head, body, t.Clock.Deadline(writeTimeout))
		conn.Done(buf)
		if err != nil || missing > 0 {
			t.discard(conn, closedWriteFailed)
			switch {
			case missing == 0:
				return httpio.BrokenAfter, noReport
			case !a.enterStage(connecting, nil): // cancelled during the write; the target never received all of it
				return httpio.NotStarted, noReport
			case idleTime >= 0:
				// The target closed an idle connection as it was reused. It never received the last byte, so this
				// was no attempt. A new connection shows whether the target is reachable.
				continue
			}
			return httpio.BrokenBefore, noReport
		}
		resp, err := conn.ReadHead(a.Job.Method, t.Clock.Deadline(a.Deadline-t.Clock.Now()+lateResponseGrace))
		// From here on a cancellation must not close the connection: it returns to the pool, and the next request
		// on it would break.
		if !a.enterStage(finished, nil) {
			t.discard(conn, closedCancelled)
			if err == nil {
				a.lateExchange, a.lateReport = t.classify(a, resp), httpio.ParseLoad(resp.Header.Get("X-Pressure"))
			}
			return "", noReport // cancel reports the outcome
		}
		switch {
		case httpio.TimedOut(err):
			t.discard(conn, closedTimeout)
			return httpio.NoResponse, noReport
		case errors.Is(err, httpio.ErrMalformed), errors.Is(err, httpio.ErrTooLarge):
			// The data is not a valid response. Closing the connection cancels the attempt. The target has to
			// notice that before a further attempt starts, or that attempt would be a second copy.
			t.Log.Debug("malformed response", "target", a.Target, "id", a.ID, "cause", err)
			t.closeMalformed(conn)
			t.sleep(closeNoticeDelay)
			return httpio.BrokenAfter, noReport
		case err != nil:
			t.discard(conn, closedBroken)
			t.recordIdle(idleTime, true)
			return httpio.BrokenAfter, noReport
		}
		t.recordIdle(idleTime, false)
		// The head decides the outcome of the attempt. Its body may break off or never end, and must neither
		// change nor delay the outcome.
		if conn.BodyBuffered(resp) {
			t.finishResponse(target, conn, resp)
		} else {
			go t.finishResponse(target, conn, resp)
		}
		return t.classify(a, resp), httpio.ParseLoad(resp.Header.Get("X-Pressure"))
	}
}

// checkJob checks that the values of a job can be part of a request without changing its form. The front ends check
// what they accept, so an error is a fault of this program.
func checkJob(a *core.Attempt) error {
	switch {
	case !httpio.ValidID(a.ID):
		return fmt.Errorf("ID %q", a.ID)
	case !httpio.VisibleASCII(a.Job.Method) || !httpio.ValidRequestTarget(a.Job.Path):
		return fmt.Errorf("method %q or path %q", a.Job.Method, a.Job.Path)
	case !httpio.ValidFieldValue(a.Job.Key) || !httpio.ValidFieldValue(a.Job.Type):
		return fmt.Errorf("key %q or content type %q", a.Job.Key, a.Job.Type)
	}
	return nil
}

// closeMalformed closes a connection on which more data may be on the way. It closes the sending side at once,
// then discards what it receives until closeTimeout. Closing with unread bytes would reset the connection, and the
// target might not see its end.
func (t *Transport) closeMalformed(conn *httpio.Conn) {
	t.Counts.Closes.Add(closedMalformed)
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	go func() {
		httpio.CloseGently(conn, t.Clock.Deadline(closeTimeout))
		t.Sockets.Release()
	}()
}

// recordIdle records whether a reused connection broke; a new one has no idle time and is not counted.
func (t *Transport) recordIdle(idleTime float64, broke bool) {
	if idleTime >= 0 {
		t.idleStats.record(t.Clock.Now(), idleTime, broke)
	}
}

// classify returns the exchange for a response to a request, "" for a 202.
func (t *Transport) classify(a *attempt, resp *http.Response) httpio.Exchange {
	if resp.StatusCode == 202 {
		return ""
	}
	rejected := resp.Header.Get("X-Turned-Away")
	if resp.StatusCode != 500 && rejected == "" {
		t.Log.Warn("unexpected response", "target", a.Target, "status", resp.StatusCode)
	}
	return httpio.ForStatus(resp.StatusCode, rejected == "1")
}

// Cancel implements core.Transport. It cancels an attempt, and reports that once the target has noticed. An
// attempt that is not sent yet is not sent any more.
func (t *Transport) Cancel(a core.Attempt) {
	t.mu.Lock()
	running := t.running[a.AttemptRef]
	t.mu.Unlock()
	go t.cancel(a, running)
}

// cancel ends the attempt by the means that its stage needs: it stops one that is not sent, closes the connection
// of one without a 202, and sends DELETE for an accepted job. With OnlyIfUnsent set, it does not touch an attempt
// whose request is being sent or has been sent.
func (t *Transport) cancel(a core.Attempt, running *attempt) {
	if !a.OnlyIfUnsent {
		defer t.forget(a.AttemptRef)
	}
	if running != nil {
		running.mu.Lock()
		previous, conn := running.stage, running.conn
		if previous == connecting || previous == writing && !a.OnlyIfUnsent {
			running.stage = abandoned
		}
		running.clientLeft = running.clientLeft || a.OnlyIfUnsent
		running.mu.Unlock()
		switch previous {
		case connecting:
			t.reportEnd(a.AttemptRef, httpio.Cancelled, balance.Report{})
			return
		case writing:
			if a.OnlyIfUnsent {
				return
			}
			exchange, report := t.closeAndWait(running, conn)
			if exchange != "" {
				t.reportEnd(a.AttemptRef, exchange, report)
				return
			}
		}
	}
	if a.OnlyIfUnsent {
		return
	}
	t.Counts.Deletes.Add(1)
	for range maxDeleteTries {
		reply := t.delete(a)
		if reply == deleteAccepted || reply == deleteUnknownJob && a.EndAmbiguous {
			t.reportEnd(a.AttemptRef, httpio.Cancelled, balance.Report{})
			return
		}
	}
	// The target has not acknowledged the cancellation. Until the core stops waiting, a further attempt would be a
	// second copy of this one.
	t.Counts.Unacknowledged.Add(1)
}

// deleteReply is a target's response to the cancellation of a job.
type deleteReply int

const (
	deleteUnanswered deleteReply = iota
	deleteAccepted
	deleteUnknownJob // the job has ended there, and its final callback was sent or will be
)

// delete cancels an accepted job at its target.
func (t *Transport) delete(a core.Attempt) deleteReply {
	target, address := t.lookup(a.Target)
	if target == nil {
		return deleteUnanswered // it left the list long ago, and its address is forgotten
	}
	status, _, _, err := t.roundTrip(target, address, "DELETE", "/jobs/"+a.ID, deleteTimeout)
	switch {
	case err != nil:
		t.Log.Debug("cancel job", "target", a.Target, "id", a.ID, "cause", err)
		return deleteUnanswered
	case status == http.StatusNotFound:
		t.Log.Debug("cancel job: the target no longer has the job", "target", a.Target, "id", a.ID)
		return deleteUnknownJob
	case status >= http.StatusMultipleChoices:
		t.Log.Warn("cancel job: unexpected response", "target", a.Target, "id", a.ID, "status", status)
	}
	return deleteAccepted
}

// closeAndWait closes a connection on which a 202 is awaited, which cancels the attempt. Unlike a DELETE on
// another connection, the close cannot overtake the request. A target that is slow to accept the connection reads
// request and close late, and a further attempt before that would be a second copy. So closeAndWait waits for the
// target's close or response. It returns "" if the target has accepted the job.
func (t *Transport) closeAndWait(running *attempt, conn *httpio.Conn) (httpio.Exchange, balance.Report) {
	tcp, ok := conn.Conn.(*net.TCPConn)
	if ok && tcp.CloseWrite() == nil {
		alarm := t.Clock.NewAlarm()
		defer alarm.Stop()
		alarm.Set(t.Clock.Now() + closeTimeout)
		select {
		case <-running.readDone:
			return running.lateExchange, running.lateReport
		case <-alarm.C():
		}
	}
	conn.Close()
	<-running.readDone
	t.sleep(closeNoticeDelay)
	return running.lateExchange, running.lateReport
}

func (t *Transport) sleep(ms float64) {
	alarm := t.Clock.NewAlarm()
	defer alarm.Stop()
	alarm.Set(t.Clock.Now() + ms)
	<-alarm.C()
}

// Probe implements core.Transport.
func (t *Transport) Probe(name string) {
	go func() {
		started := t.Clock.Now()
		result := core.ProbeResult{Target: name, SentAt: started}
		if target, address := t.lookup(name); target != nil {
			status, body, load, err := t.roundTrip(target, address, "GET", "/metrics/load", probeTimeout)
			switch {
			case errors.Is(err, errNoSocket):
				result.Result = balance.NeverSent
			case errors.Is(err, errDial):
				result.Result = balance.NoConnection
			case err != nil:
				result.Result = balance.TimedOut
			case status != 200:
				result.Result, result.NotReady = balance.Failed, status == http.StatusServiceUnavailable
			default:
				result.Report = parseProbeReport(body, load)
			}
		}
		result.Elapsed = t.Clock.Now() - started
		t.Sink.ProbeEnded(result)
	}()
}

// roundTrip makes a request without a body and returns the response's status, body and load report.
func (t *Transport) roundTrip(target *targetState, address, method, path string, timeout float64) (int, []byte, string, error) {
	conn, _, err := t.acquire(target, address)
	if err != nil {
		return 0, nil, "", err
	}
	buf := conn.Buffer()
	defer conn.Done(buf)
	head := httpio.Start(buf, method, " ", path, " HTTP/1.1").Field("Host", t.Host)
	deadline := t.Clock.Deadline(timeout)
	if _, err := conn.Send(head, nil, deadline); err != nil {
		t.discard(conn, closeReasonFor(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := conn.ReadHead(method, deadline)
	if err != nil {
		t.discard(conn, closeReasonFor(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	body, err := conn.ReadBody(resp, deadline)
	if err != nil {
		t.discard(conn, closeReasonFor(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer body.Release()
	t.release(target, conn, resp.Close)
	return resp.StatusCode, flatten(body), resp.Header.Get("X-Pressure"), nil
}

func flatten(b *buffer.Body) []byte {
	var out []byte
	for _, s := range b.Slices() {
		out = append(out, s...)
	}
	return out
}
