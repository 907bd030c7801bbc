package emulatedsite

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonwell/internal/emulator"
	"cottonwell/internal/faults"
)

// announce changes a worker's state in the discovery list after the discovery delay, and notifies the watches.
func (w *worker) announce(state string) {
	s := w.site
	s.mu.Lock()
	delay := float64(s.spec.DiscoveryDelay) * (0.5 + s.rng.Float64())
	s.mu.Unlock()
	s.afterMillis(delay, func() {
		w.mu.Lock()
		w.state, w.notReadySince = state, 0
		clear(w.notifiedAt)
		if state != "SERVING" {
			w.notReadySince = s.now()
		}
		w.mu.Unlock()
		s.mu.Lock()
		s.listIndex++
		close(s.listChanged)
		s.listChanged = make(chan struct{})
		s.mu.Unlock()
	})
}

// afterMillis calls do after ms milliseconds, unless the site is closed by then.
func (s *Site) afterMillis(ms float64, do func()) {
	time.AfterFunc(time.Duration(ms*1e6), func() {
		if s.ctx.Err() == nil {
			do()
		}
	})
}

// handler serves the requests of one scheduler to the worker.
func (w *worker) handler(scheduler int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<17))
		if err != nil {
			return
		}
		switch {
		case r.Method == "DELETE": // a worker may ignore a cancellation, and these workers run the job to its end
			w.cancelJob(strings.TrimPrefix(r.URL.Path, "/jobs/"))
			rw.WriteHeader(http.StatusOK)
			return
		case r.URL.Path == "/alive" || r.URL.Path == "/metrics/load":
			w.mu.Lock()
			up := w.Up && !w.Collapsed
			rw.Header().Set("X-Pressure", w.loadHeader())
			w.mu.Unlock()
			if !up {
				w.resetConnection(rw)
			}
			return
		}
		w.acceptJob(rw, r, scheduler, len(body))
	})
}

// cancelJob records that a scheduler cancelled an attempt. A further attempt then isn't a second open attempt.
func (w *worker) cancelJob(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.requestID == id && !j.cancelled {
			j.cancelled = true
			w.site.recordEnd(id)
		}
	}
}

// resetConnection closes the connection of a request with a TCP reset, as if the worker's process were down.
func (w *worker) resetConnection(rw http.ResponseWriter) {
	if c, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		closeWithReset(c)
	}
}

// acceptJob offers a job to the emulated worker and sends its response.
func (w *worker) acceptJob(rw http.ResponseWriter, r *http.Request, scheduler, bodySize int) {
	id, s := r.Header.Get("X-Txn"), w.site
	s.mu.Lock()
	arrival := s.arrival(id)
	s.mu.Unlock()
	if arrival == nil {
		http.Error(rw, "no client sent this id", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := s.now()
	sentAt := now // the time of arrival, before any delay by a fault of the link
	if c, ok := r.Context().Value(connKey{}).(*linkConn); ok {
		sentAt = min(sentAt, math.Float64frombits(c.receivedAt.Load()))
	}
	if w.notReadySince > 0 && w.notifiedAt[scheduler] > 0 && sentAt > w.notifiedAt[scheduler]+250+50 {
		s.recordViolation("send-to-draining")
	}
	if !w.Up || w.Collapsed {
		w.mu.Unlock()
		w.resetConnection(rw)
		return
	}
	w.advance(now)
	wasCollapsed := w.Collapsed
	w.lastRef++
	result := w.Offer(now, emulator.Job{Ref: w.lastRef, Slots: arrival.Slots, Memory: arrival.Memory, Work: arrival.Work, Priority: s.spec.Classes[arrival.Class].Priority})
	if w.Collapsed && !wasCollapsed {
		s.recordViolation("cold-pushed-over")
	}
	if result == emulator.Accepted || result == emulator.Failed {
		s.recordAttempt(id, w, arrival, now)
	}
	load := w.loadHeader()
	if result == emulator.Accepted {
		w.jobs[w.lastRef] = &job{requestID: id, scheduler: scheduler, arrival: arrival}
	}
	w.mu.Unlock()
	rw.Header().Set("X-Pressure", load)
	switch result {
	case emulator.Accepted:
		rw.WriteHeader(http.StatusAccepted)
		// The job may start only after the 202 is sent, so that its callbacks come later.
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return
		}
		w.mu.Lock()
		w.advance(s.now())
		w.mu.Unlock()
	case emulator.Rejected:
		rw.Header().Set("X-Turned-Away", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case emulator.Failed:
		s.recordEnd(id)
		rw.WriteHeader(http.StatusInternalServerError)
	case emulator.Unreachable:
		w.resetConnection(rw)
	}
}

// recordAttempt records an attempt and counts the rules that it violates.
func (s *Site) recordAttempt(id string, w *worker, arrival *emulator.Arrival, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.requests[id]
	if record == nil {
		record = &requestRecord{}
		s.requests[id] = record
	}
	if record.openAttempts > 0 {
		s.violations["two-attempts-out"]++
	}
	if len(record.sends) >= 3 {
		s.violations["fourth-attempt"]++
	}
	if c := &s.spec.Classes[arrival.Class]; c.Keyed {
		for _, x := range record.sends {
			if x.cell != w.spec.Cell || now-x.at > float64(c.KeyWindow)+50 {
				s.violations["keyed-repeat-elsewhere"]++
			}
		}
	}
	record.openAttempts++
	record.sends = append(record.sends, sendRecord{cell: w.spec.Cell, at: now})
}

// recordEnd records the end of an attempt.
func (s *Site) recordEnd(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.requests[id]; record != nil && record.openAttempts > 0 {
		record.openAttempts--
	}
}

// advance simulates the worker up to the present and sets the timer for its next event. The caller must
// hold the worker's lock.
func (w *worker) advance(now float64) {
	w.Advance(now, func(_ float64, n emulator.JobEvent) { w.handleJobEvent(n) })
	next := w.NextEvent(now)
	if math.IsInf(next, 1) {
		return
	}
	if w.nextEventAt <= now || next < w.nextEventAt {
		w.nextEventAt = next
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = time.AfterFunc(time.Duration(max(0, next-now)*1e6), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.nextEventAt = math.Inf(1)
			w.advance(w.site.now())
		})
	}
}

// handleJobEvent reports a start or an end of a job to its scheduler by a callback. The caller must hold the
// worker's lock.
func (w *worker) handleJobEvent(event emulator.JobEvent) {
	j := w.jobs[event.Ref]
	if j == nil {
		return
	}
	callback := map[string]any{"id": j.requestID, "from": w.spec.ID}
	switch event.Kind {
	case emulator.Started:
		callback["state"] = "started"
	case emulator.Done:
		callback["state"], callback["result"], callback["load"] = "done", "done "+j.requestID, w.loadFigures()
		w.finishJob(event.Ref, j)
	case emulator.Lost:
		callback["state"] = "lost"
		w.finishJob(event.Ref, j)
	}
	data, err := json.Marshal(callback)
	if err != nil {
		w.site.log.Error("emulated site: encoding of a callback failed", "cause", err)
		return
	}
	url := "http://" + w.site.schedulers[j.scheduler].Listen + "/v1/job-events"
	w.site.goroutines.Go(func() {
		if w.site.waitForLink(faults.Targets, j.scheduler, w.index, nil) == nil {
			w.site.sendCallback(url, data)
		}
	})
}

// finishJob removes a job that has ended.
func (w *worker) finishJob(ref uint64, j *job) {
	delete(w.jobs, ref)
	if !j.cancelled {
		w.site.recordEnd(j.requestID)
	}
}

// sendCallback sends a callback until it receives a response, with up to 10 tries.
func (s *Site) sendCallback(url string, data []byte) {
	for range 10 {
		resp, err := s.callbackClient.Post(url, "application/json", bytes.NewReader(data))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // the content is not used; reading it allows reuse of the connection
			resp.Body.Close()
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// loadFigures returns the worker's load report, which is delayed and noisy. The caller must hold the worker's lock.
func (w *worker) loadFigures() map[string]float64 {
	s, now := w.site, w.site.now()
	if now-w.sampledAt > float64(s.spec.ReportInterval) {
		w.sampledAt = now
		w.reportedLoad = w.sampledLoad
		w.sampledLoad = w.Load()
		if s.spec.ReportDelay <= 0 {
			w.reportedLoad = w.sampledLoad
		} else {
			load := w.sampledLoad
			s.afterMillis(float64(s.spec.ReportDelay)+s.extraReportDelay(now), func() {
				w.mu.Lock()
				w.reportedLoad = load
				w.mu.Unlock()
			})
		}
	}
	noise := func(x float64) float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return math.Max(0, math.Round(100*x*(1+float64(s.spec.ReportNoise)*s.rng.NormFloat64()))/100)
	}
	f := map[string]float64{"inflight": noise(w.reportedLoad.InFlight), "queue": noise(w.reportedLoad.Queued), "x0": noise(w.reportedLoad.FreeSlots)}
	if w.spec.Memory > 0 {
		f["x1"] = noise(w.reportedLoad.FreeMemory)
	}
	return f
}

// extraReportDelay returns the delay in ms that late-reports faults add to load reports.
func (s *Site) extraReportDelay(now float64) (delay float64) {
	for _, t := range s.spec.SiteFaults {
		if t.Kind == "late-reports" && now >= float64(t.At) && now < float64(t.At+t.Duration) {
			delay += float64(t.Delay)
		}
	}
	return delay
}

// loadHeader returns the load report as the value of a response header. The caller must hold the worker's lock.
func (w *worker) loadHeader() string {
	var pairs []string
	figures := w.loadFigures()
	for _, name := range []string{"inflight", "queue", "x0", "x1"} {
		if x, ok := figures[name]; ok {
			pairs = append(pairs, name+"="+strconv.FormatFloat(x, 'f', -1, 64))
		}
	}
	return strings.Join(pairs, ",")
}
