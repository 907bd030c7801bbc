package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is one attempt that a shop worker got.
type Attempt struct {
	Worker, ID, Key, Path string
	Number                int // of the attempts of this request at this shop worker, from 1
	Received              float64
	Ended                 bool // it has sent the outcome, or the scheduler gave the attempt up
	GivenUp               bool
	Remaining, Body       string
}

// Worker is a shop worker: it takes jobs with 202, tells the scheduler of their start and outcome, and tries each call until it
// is answered, ten times at most.
type Worker struct {
	Name, Address string
	// Run decides how an attempt runs: for how long, and its outcome ('done', 'failed', 'returned').
	Run func(a *Attempt) (time.Duration, string)
	// Result gives the result of a job that is done; nil: Result(a.ID).
	Result func(a *Attempt) string
	// OnAttempt is called with each attempt and the attempts of the same request here before it.
	OnAttempt func(a *Attempt, before []*Attempt)
	// CallTo is the scheduler's address, or that of a proxy before it.
	CallTo string
	// CallTimeout is the time after which an unanswered call counts as failed; RetryAfter is the pause before the next try.
	CallTimeout, RetryAfter time.Duration
	Slots                   int

	record   *Record
	client   http.Client
	mu       sync.Mutex
	attempts map[string][]*Attempt
	held     int
}

// StartWorker starts a shop worker.
func StartWorker(r *Record, w *Worker) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.record, w.Address, w.attempts = r, ln.Addr().String(), map[string][]*Attempt{}
	if w.CallTimeout == 0 {
		w.CallTimeout = time.Second
	}
	if w.RetryAfter == 0 {
		w.RetryAfter = 50 * time.Millisecond
	}
	if w.Slots == 0 {
		w.Slots = 4
	}
	w.client = http.Client{Timeout: w.CallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Load returns the load report.
func (w *Worker) Load() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]float64{"inflight": float64(w.held), "queue": 0, "x0": float64(max(0, w.Slots-w.held)), "x1": float64(max(0, w.Slots-w.held))}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/alive":
		return
	case r.URL.Path == "/metrics/load":
		_ = json.NewEncoder(rw).Encode(w.Load())
		return
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/jobs/"):
		w.giveUp(rw, strings.TrimPrefix(r.URL.Path, "/jobs/"))
		return
	case r.Header.Get("X-Txn") == "":
		http.NotFound(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not come whole
	}
	a := &Attempt{Worker: w.Name, ID: r.Header.Get("X-Txn"), Key: r.Header.Get("Idempotency-Key"), Path: r.URL.Path, Received: w.record.Now(), Remaining: r.Header.Get("X-Remaining"), Body: string(body)}
	w.mu.Lock()
	before := append([]*Attempt(nil), w.attempts[a.ID]...)
	a.Number = len(before) + 1
	w.attempts[a.ID] = append(w.attempts[a.ID], a)
	w.held++
	if w.OnAttempt != nil {
		w.OnAttempt(a, before)
	}
	w.mu.Unlock()
	w.record.Log("%s: attempt %d here of %s", w.Name, a.Number, a.ID)
	rw.WriteHeader(http.StatusAccepted)
	go w.run(a)
}

func (w *Worker) giveUp(rw http.ResponseWriter, id string) {
	w.mu.Lock()
	found := false
	for _, a := range w.attempts[id] {
		if !a.Ended {
			a.Ended, a.GivenUp, found = true, true, true
		}
	}
	w.mu.Unlock()
	w.record.Log("%s: DELETE of %s, found %v", w.Name, id, found)
	if !found {
		http.NotFound(rw, nil)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

// run runs an attempt. What was given up runs on, but its outcome is not told.
func (w *Worker) run(a *Attempt) {
	duration, outcome := w.Run(a)
	if outcome != "returned" { // what is handed back has not started
		w.call(a, map[string]any{"id": a.ID, "from": w.Name, "state": "started"})
	}
	time.Sleep(duration)
	w.mu.Lock()
	w.held--
	tell := !a.GivenUp
	a.Ended = true
	w.mu.Unlock()
	w.record.Log("%s: attempt %d here of %s ends: %s, told %v", w.Name, a.Number, a.ID, outcome, tell)
	if !tell {
		return
	}
	load := w.Load()
	if outcome == "returned" {
		load["x1"] = 0 // it is handed back for want of memory
	}
	event := map[string]any{"id": a.ID, "from": w.Name, "state": outcome, "load": load}
	if outcome == "done" {
		event["result"] = Result(a.ID)
		if w.Result != nil {
			event["result"] = w.Result(a)
		}
	}
	w.call(a, event)
}

// Result is the result of a request.
func Result(id string) string { return "result of " + id }

// call tells the scheduler, up to ten times.
func (w *Worker) call(a *Attempt, event map[string]any) {
	body, _ := json.Marshal(event)
	for try := 1; try <= 10; try++ {
		resp, err := w.client.Post("http://"+w.CallTo+"/v1/job-events", "application/json", bytes.NewReader(body))
		status := 0
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		if try > 1 || err != nil {
			w.record.Log("%s: call %v of %s (attempt %d here), try %d: %s", w.Name, event["state"], a.ID, a.Number, try, answer(status, err))
		}
		if status == 200 || status == 204 {
			return
		}
		time.Sleep(w.RetryAfter)
	}
}

func answer(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(status)
}
