// Package target reaches shop workers: a pool of connections to each, attempts, giving
// them up, and probes.
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

// Sink is what the transport needs of the core.
type Sink interface {
	Ended(core.Outcome)
	ProbeEnded(core.ProbeResult)
}

// Config is what a transport is made from.
type Config struct {
	Clock   clock.Clock
	Log     *slog.Logger
	Stack   *httpio.Stack
	Sink    Sink
	Sockets *httpio.Budget
	// DialFor is how long a connection may take to come up, in milliseconds.
	DialFor float64
	// IdleFor is after how long targets close idle connections, in milliseconds.
	IdleFor float64
	// Host is the service's name, for the Host field.
	Host string
}

const (
	deletes   = 3      // tries to tell a target of a job that is given up
	writeFor  = 1000.0 // milliseconds
	probeFor  = 500.0
	giveUpFor = 150.0 // for the answer to a DELETE
	partFor   = 250.0 // for a target to end a connection that we have ended
	settle    = 10.0  // from closing one all the same until the target may be taken to know
	lateFor   = 200.0 // for a 202 that comes after its attempt is over
	bodyFor   = 200.0 // for the body of an answer, which nobody needs
	goneMost  = 1024  // targets that have left the list and are remembered, so that they can be told of jobs given up
)

// Transport implements core.Transport on the platform's protocol.
type Transport struct {
	Config
	Counts Counts

	rests rests

	mu      sync.Mutex
	targets map[string]*target
	gone    []string // names of targets that have left the list, the first to leave first
	running map[core.Ref]*attempt
}

// Counts are a transport's figures, for the log.
type Counts struct {
	Dialled, Reused, Retired, Deletes, Unheard atomic.Int64
	Closes                                     httpio.Closes
}

// target is one shop worker. closed says that nothing new may be sent to it.
type target struct {
	name, address string
	started       float64
	closed        atomic.Bool
	gone          bool // it has left the list
	pool          pool
}

// New returns a transport without targets.
func New(cfg Config) *Transport {
	return &Transport{Config: cfg, targets: map[string]*target{}, running: map[core.Ref]*attempt{}}
}

// Waiting is how many attempts have no answer of their target yet, not even a 202, and how many that were given up have not
// been told to have ended.
func (t *Transport) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// Listed implements core.Transport.
func (t *Transport) Listed(g core.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, x := range g.Targets {
		seen[x.ID] = true
		tg := t.targets[x.ID]
		if tg == nil {
			tg = &target{name: x.ID, address: x.Address, started: x.StartedMS}
			t.targets[x.ID] = tg
		}
		if (x.Address != "" && x.Address != tg.address) || x.StartedMS != tg.started {
			// Another process answers there, or the same name elsewhere: the old connections are dead.
			if x.Address != "" {
				tg.address = x.Address
			}
			tg.started = x.StartedMS
			t.retire(tg, 0, closedGone)
		}
		tg.closed.Store(x.State != balance.Ready)
		if x.State == balance.Gone {
			t.leave(tg)
		} else {
			tg.gone = false
		}
	}
	if g.Scope == balance.Changes {
		return
	}
	for name, tg := range t.targets {
		if !seen[name] {
			tg.closed.Store(true)
			t.retire(tg, 0, closedGone)
			t.leave(tg)
		}
	}
}

// leave notes that a target has left the list. It may still have jobs of ours; of those that left long ago only so
// many are remembered.
func (t *Transport) leave(tg *target) {
	if tg.gone {
		return
	}
	tg.gone = true
	t.gone = append(t.gone, tg.name)
	for len(t.gone) > goneMost {
		if old := t.targets[t.gone[0]]; old != nil && old.gone {
			t.retire(old, 0, closedGone)
			delete(t.targets, old.name)
		}
		t.gone = t.gone[1:]
	}
}

func (t *Transport) target(name string) (*target, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tg := t.targets[name]
	if tg == nil {
		return nil, ""
	}
	return tg, tg.address
}

// stage is how far an attempt has come on its connection.
type stage int

const (
	waiting stage = iota // for a connection
	writing              // the target may have the last byte
	over                 // answered, or broken
	quit                 // given up: nothing goes out any more, and nothing is heard
)

// attempt is an attempt until its 202.
type attempt struct {
	core.Attempt
	mu    sync.Mutex
	stage stage
	conn  *httpio.Conn
	left  bool // its client has left: it may not begin any more

	read   chan struct{}   // closed once nothing more is read for it
	back   httpio.Exchange // what came after it was given up, good after read
	report balance.Report
}

// enter moves to another stage, unless the attempt was given up.
func (a *attempt) enter(s stage, c *httpio.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stage == quit || a.left && s < over {
		return false
	}
	a.stage, a.conn = s, c
	return true
}

// Start implements core.Transport.
func (t *Transport) Start(a core.Attempt) {
	at := &attempt{Attempt: a, read: make(chan struct{}), back: httpio.GivenUp}
	t.mu.Lock()
	t.running[a.Ref] = at
	t.mu.Unlock()
	go t.run(at)
}

// run carries an attempt up to its 202. The core drops what is told of an attempt that
// it has ended, so run tells whatever it sees.
func (t *Transport) run(a *attempt) {
	back, rep := t.exchange(a)
	close(a.read)
	givenUp := !a.enter(over, nil)
	if a.Job.Body != nil {
		a.Job.Body.Release()
	}
	if back != "" { // after a 202 the call-backs tell the rest
		t.end(a.Ref, back, rep)
	}
	if back != "" || !givenUp { // else giveUp tells how it ended
		t.forget(a.Ref)
	}
}

// forget takes an attempt that has its answer off those that wait for one.
func (t *Transport) forget(r core.Ref) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
}

func (t *Transport) end(r core.Ref, back httpio.Exchange, rep balance.Report) {
	res, _ := httpio.Outcome(back)
	t.Sink.Ended(core.Outcome{Ref: r, Result: res, Report: rep})
}

// exchange sends the request and waits for its 202, for which it returns "".
func (t *Transport) exchange(a *attempt) (httpio.Exchange, balance.Report) {
	none := balance.Report{}
	tg, address := t.target(a.Target)
	if tg == nil {
		return httpio.NotBegun, none
	}
	for {
		c, rested, err := t.take(tg, address)
		if errors.Is(err, errNoSocket) {
			t.Log.Warn("no socket left for an attempt", "target", a.Target)
			return httpio.NotBegun, none
		}
		if err != nil {
			t.Log.Debug("connect", "target", a.Target, "cause", err)
			return httpio.NotConnected, none
		}
		// While the connection came up, the target may have begun to drain, the attempt was given up, or the
		// time is over in which the request may be repeated.
		if tg.closed.Load() || a.Latest > 0 && t.Clock.Now() > a.Latest || !a.enter(writing, c) {
			t.put(tg, c, false)
			return httpio.NotBegun, none
		}
		buf := c.Buffer()
		h := httpio.Start(buf, a.Job.Method, " ", a.Job.Path, " HTTP/1.1").Field("Host", t.Host).
			Field("X-Txn", a.ID).Field("Idempotency-Key", a.Job.Key).Field("Content-Type", a.Job.Type).
			Field("X-Remaining", strconv.FormatInt(int64(max(1, a.Deadline-t.Clock.Now())), 10)+"m")
		var body [][]byte
		if a.Job.Body != nil {
			body = a.Job.Body.Slices()
		}
		missing, err := c.Send(h, body, t.Clock.Deadline(writeFor))
		c.Done(buf)
		if err != nil || missing > 0 {
			t.discard(c, closedUnwritten)
			switch {
			case missing == 0:
				return httpio.BrokenAfter, none
			case !a.enter(waiting, nil): // given up while it was being written; the target never had it whole
				return httpio.NotBegun, none
			case rested >= 0:
				// The target closed an idle connection as we took it. It never had the last byte, so
				// this was no attempt, and a fresh connection tells whether the target is there.
				continue
			}
			return httpio.BrokenBefore, none
		}
		resp, err := c.ReadHead(a.Job.Method, t.Clock.Deadline(a.Deadline-t.Clock.Now()+lateFor))
		// From here on nobody may close the connection for this attempt's sake: it goes back to the
		// pool, and the next request on it would break.
		if !a.enter(over, nil) {
			t.discard(c, closedGivenUp)
			if err == nil {
				a.back, a.report = t.answered(a, resp), httpio.ParseLoad(resp.Header.Get("X-Pressure"))
			}
			return "", none // giveUp tells of it
		}
		switch {
		case httpio.TimedOut(err):
			t.discard(c, closedSilent)
			return httpio.Silence, none
		case errors.Is(err, httpio.ErrMalformed), errors.Is(err, httpio.ErrTooLarge):
			// What came is no answer. The end of the connection gives the attempt up; the target has to have seen
			// that before a further attempt, or it would be a second copy.
			t.Log.Debug("spoilt answer", "target", a.Target, "id", a.ID, "cause", err)
			t.endOver(c)
			t.wait(settle)
			return httpio.BrokenAfter, none
		case err != nil:
			t.discard(c, closedBroken)
			t.noteRest(rested, true)
			return httpio.BrokenAfter, none
		}
		t.noteRest(rested, false)
		// The head says what became of the attempt. Its body may break off or never end, and must not change or
		// delay that.
		if c.RestIsHere(resp) {
			t.settle(tg, c, resp)
		} else {
			go t.settle(tg, c, resp)
		}
		return t.answered(a, resp), httpio.ParseLoad(resp.Header.Get("X-Pressure"))
	}
}

// endOver ends a connection on which more may be on the way. It tells the target at once, then takes what still comes for
// a while: a close over unread bytes would reset the connection, and the target might not see the end.
func (t *Transport) endOver(c *httpio.Conn) {
	t.Counts.Closes.Note(closedSpoilt)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	go func() {
		httpio.CloseGently(c, t.Clock.Deadline(partFor))
		t.Sockets.Give()
	}()
}

func (t *Transport) noteRest(rested float64, broke bool) {
	if rested >= 0 {
		t.rests.note(t.Clock.Now(), rested, broke)
	}
}

// answered is the exchange that an answer to a request stands for, "" for a 202.
func (t *Transport) answered(a *attempt, resp *http.Response) httpio.Exchange {
	if resp.StatusCode == 202 {
		return ""
	}
	turnedAway := resp.Header.Get("X-Turned-Away")
	if resp.StatusCode != 500 && turnedAway == "" {
		t.Log.Warn("unexpected answer", "target", a.Target, "status", resp.StatusCode)
	}
	return httpio.Answered(resp.StatusCode, turnedAway == "1")
}

// Cancel implements core.Transport: it gives an attempt up, and tells so once the target
// knows. An attempt that is not yet on its way just does not leave.
func (t *Transport) Cancel(a core.Attempt) {
	t.mu.Lock()
	at := t.running[a.Ref]
	t.mu.Unlock()
	go t.giveUp(a, at)
}

func (t *Transport) giveUp(a core.Attempt, at *attempt) {
	if !a.Unsent {
		defer t.forget(a.Ref)
	}
	if at != nil {
		at.mu.Lock()
		was, c := at.stage, at.conn
		if was == waiting || was == writing && !a.Unsent {
			at.stage = quit
		}
		at.left = at.left || a.Unsent
		at.mu.Unlock()
		switch was {
		case waiting:
			t.end(a.Ref, httpio.GivenUp, balance.Report{})
			return
		case writing:
			if a.Unsent {
				return
			}
			back, rep := t.part(at, c)
			if back != "" {
				t.end(a.Ref, back, rep)
				return
			}
		}
	}
	if a.Unsent {
		return
	}
	t.Counts.Deletes.Add(1)
	for range deletes {
		if t.delete(a) {
			t.end(a.Ref, httpio.GivenUp, balance.Report{})
			return
		}
	}
	// The target never said that it knows. Until the core stops waiting, a further attempt
	// would be a second copy of this one.
	t.Counts.Unheard.Add(1)
}

// delete gives a taken job up and says whether the target knows.
func (t *Transport) delete(a core.Attempt) bool {
	tg, address := t.target(a.Target)
	if tg == nil {
		return false // it left long ago, and cannot be told
	}
	status, _, _, err := t.call(tg, address, "DELETE", "/jobs/"+a.ID, giveUpFor)
	if err != nil {
		t.Log.Debug("give up", "target", a.Target, "id", a.ID, "cause", err)
		return false
	}
	if status == 404 { // it is over there, and its last word is on the way
		t.Log.Debug("give up: the target no longer has the job", "target", a.Target, "id", a.ID)
		return false
	}
	if status >= 300 {
		t.Log.Warn("give up: unexpected answer", "target", a.Target, "id", a.ID, "status", status)
	}
	return true
}

// part ends a connection on which a 202 is awaited, which gives the attempt up without
// overtaking the request as a DELETE on another connection could. A target that is slow to
// take the connection reads request and end late, and a further attempt before that would be
// a second copy; so its own end, or answer, is waited for. "" says that it has taken the job.
func (t *Transport) part(at *attempt, c *httpio.Conn) (httpio.Exchange, balance.Report) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && tcp.CloseWrite() == nil {
		a := t.Clock.NewAlarm()
		defer a.Stop()
		a.Set(t.Clock.Now() + partFor)
		select {
		case <-at.read:
			return at.back, at.report
		case <-a.C():
		}
	}
	c.Close()
	<-at.read
	t.wait(settle)
	return at.back, at.report
}

func (t *Transport) wait(ms float64) {
	a := t.Clock.NewAlarm()
	defer a.Stop()
	a.Set(t.Clock.Now() + ms)
	<-a.C()
}

// Probe implements core.Transport.
func (t *Transport) Probe(name string) {
	go func() {
		begin := t.Clock.Now()
		r := core.ProbeResult{Target: name, SentAt: begin}
		if tg, address := t.target(name); tg != nil {
			status, body, load, err := t.call(tg, address, "GET", "/metrics/load", probeFor)
			switch {
			case errors.Is(err, errNoSocket):
				r.Result = balance.NeverSent
			case errors.Is(err, errDial):
				r.Result = balance.NoConnection
			case err != nil:
				r.Result = balance.TimedOut
			case status != 200:
				r.Result, r.NotReady = balance.Failed, status == http.StatusServiceUnavailable
			default:
				r.Report = parseBody(body, load)
			}
		}
		r.Elapsed = t.Clock.Now() - begin
		t.Sink.ProbeEnded(r)
	}()
}

// call makes a request without a body and returns the answer's status, body and load.
func (t *Transport) call(tg *target, address, method, path string, within float64) (int, []byte, string, error) {
	c, _, err := t.take(tg, address)
	if err != nil {
		return 0, nil, "", err
	}
	buf := c.Buffer()
	defer c.Done(buf)
	h := httpio.Start(buf, method, " ", path, " HTTP/1.1").Field("Host", t.Host)
	by := t.Clock.Deadline(within)
	if _, err := c.Send(h, nil, by); err != nil {
		t.discard(c, whyBroken(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	resp, err := c.ReadHead(method, by)
	if err != nil {
		t.discard(c, whyBroken(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	body, err := c.ReadRest(resp, by)
	if err != nil {
		t.discard(c, whyBroken(err))
		return 0, nil, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer body.Release()
	t.put(tg, c, resp.Close)
	return resp.StatusCode, flat(body), resp.Header.Get("X-Pressure"), nil
}

func flat(b *buffer.Body) []byte {
	var out []byte
	for _, s := range b.Slices() {
		out = append(out, s...)
	}
	return out
}
