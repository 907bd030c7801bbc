package shopfront

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

// become changes a worker's state in the list, which all are told of a while later.
func (w *worker) become(state string) {
	s := w.shop
	s.mu.Lock()
	delay := float64(s.spec.DiscoveryDelay) * (0.5 + s.rng.Float64())
	s.mu.Unlock()
	s.later(delay, func() {
		w.mu.Lock()
		w.state, w.told = state, 0
		clear(w.heard)
		if state != "SERVING" {
			w.told = s.now()
		}
		w.mu.Unlock()
		s.mu.Lock()
		s.index++
		close(s.changed)
		s.changed = make(chan struct{})
		s.mu.Unlock()
	})
}

// later does something after so many ms, unless the shop is closed by then.
func (s *Shop) later(ms float64, do func()) {
	time.AfterFunc(time.Duration(ms*1e6), func() {
		if s.ctx.Err() == nil {
			do()
		}
	})
}

// handler is the worker's side of one scheduler's connections.
func (w *worker) handler(sched int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<17))
		if err != nil {
			return
		}
		switch {
		case r.Method == "DELETE": // whether it stops is up to the worker, and these do not
			w.quit(strings.TrimPrefix(r.URL.Path, "/jobs/"))
			rw.WriteHeader(http.StatusOK)
			return
		case r.URL.Path == "/alive" || r.URL.Path == "/metrics/load":
			w.mu.Lock()
			up := w.Up && !w.Collapsed
			rw.Header().Set("X-Pressure", w.report())
			w.mu.Unlock()
			if !up {
				w.reset(rw)
			}
			return
		}
		w.take(rw, r, sched, len(body))
	})
}

// quit notes that a scheduler gave an attempt up: a further one is no second copy.
func (w *worker) quit(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.id == id && !j.quit {
			j.quit = true
			w.shop.ended(id)
		}
	}
}

// reset ends a connection without a word.
func (w *worker) reset(rw http.ResponseWriter) {
	if c, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		reset(c) // a process that is not there
	}
}

// take offers a job to the model.
func (w *worker) take(rw http.ResponseWriter, r *http.Request, sched, size int) {
	id, s := r.Header.Get("X-Txn"), w.shop
	s.mu.Lock()
	a := s.arrival(id)
	s.mu.Unlock()
	if a == nil {
		http.Error(rw, "no client sent this id", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := s.now()
	sentAt := now // a send counts from when it came, and not from when a bad way let it through
	if c, ok := r.Context().Value(connKey{}).(*wayConn); ok {
		sentAt = min(sentAt, math.Float64frombits(c.cameAt.Load()))
	}
	if w.told > 0 && w.heard[sched] > 0 && sentAt > w.heard[sched]+250+50 {
		s.breaks("send-to-draining")
	}
	if !w.Up || w.Collapsed {
		w.mu.Unlock()
		w.reset(rw)
		return
	}
	w.advance(now)
	fell := w.Collapsed
	w.last++
	ans := w.Offer(now, emulator.Job{Ref: w.last, Slots: a.Slots, Memory: a.Memory, Work: a.Work, Priority: s.spec.Classes[a.Class].Priority})
	if w.Collapsed && !fell {
		s.breaks("cold-pushed-over")
	}
	if ans == emulator.Accepted || ans == emulator.Failed {
		s.began(id, w, a, now)
	}
	load := w.report()
	if ans == emulator.Accepted {
		w.jobs[w.last] = &job{id: id, sched: sched, a: a}
	}
	w.mu.Unlock()
	rw.Header().Set("X-Pressure", load)
	switch ans {
	case emulator.Accepted:
		rw.WriteHeader(http.StatusAccepted)
		// Only now may it start: its call-backs come after the 202.
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
		s.ended(id)
		rw.WriteHeader(http.StatusInternalServerError)
	case emulator.Unreachable:
		w.reset(rw)
	}
}

// began holds an attempt against the rules.
func (s *Shop) began(id string, w *worker, a *emulator.Arrival, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.attempts[id]
	if t == nil {
		t = &story{}
		s.attempts[id] = t
	}
	if t.out > 0 {
		s.broken["two-attempts-out"]++
	}
	if len(t.sends) >= 3 {
		s.broken["fourth-attempt"]++
	}
	if c := &s.spec.Classes[a.Class]; c.Keyed {
		for _, x := range t.sends {
			if x.cell != w.spec.Cell || now-x.at > float64(c.KeyWindow)+50 {
				s.broken["keyed-repeat-elsewhere"]++
			}
		}
	}
	t.out++
	t.sends = append(t.sends, sendOf{cell: w.spec.Cell, at: now})
}

func (s *Shop) ended(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.attempts[id]; t != nil && t.out > 0 {
		t.out--
	}
}

// advance plays the model to the present and sets the timer for what comes next. The
// worker's lock is held.
func (w *worker) advance(now float64) {
	w.Advance(now, func(_ float64, n emulator.JobEvent) { w.note(n) })
	next := w.NextEvent(now)
	if math.IsInf(next, 1) {
		return
	}
	if w.due <= now || next < w.due {
		w.due = next
		if w.timer != nil {
			w.timer.Stop()
		}
		w.timer = time.AfterFunc(time.Duration(max(0, next-now)*1e6), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.due = math.Inf(1)
			w.advance(w.shop.now())
		})
	}
}

// note tells a scheduler what became of a job. The worker's lock is held.
func (w *worker) note(n emulator.JobEvent) {
	j := w.jobs[n.Ref]
	if j == nil {
		return
	}
	ev := map[string]any{"id": j.id, "from": w.spec.ID}
	switch n.Kind {
	case emulator.Started:
		ev["state"] = "started"
	case emulator.Done:
		ev["state"], ev["result"], ev["load"] = "done", "done "+j.id, w.figures()
		w.over(n.Ref, j)
	case emulator.Lost:
		ev["state"] = "lost"
		w.over(n.Ref, j)
	}
	data, err := json.Marshal(ev)
	if err != nil {
		w.shop.log.Error("emulated shop: call-back", "cause", err)
		return
	}
	url := "http://" + w.shop.scheds[j.sched].Listen + "/v1/job-events"
	w.shop.all.Go(func() {
		if w.shop.pass(faults.Targets, j.sched, w.n, nil) == nil {
			w.shop.callBack(url, data)
		}
	})
}

func (w *worker) over(ref uint64, j *job) {
	delete(w.jobs, ref)
	if !j.quit {
		w.shop.ended(j.id)
	}
}

// callBack tries until it is answered, ten times at most.
func (s *Shop) callBack(url string, data []byte) {
	for range 10 {
		resp, err := s.back.Post(url, "application/json", bytes.NewReader(data))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // nothing of it is of use
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

// figures are what the worker reports of itself: a while old, and noisy. Its lock is held.
func (w *worker) figures() map[string]float64 {
	s, now := w.shop, w.shop.now()
	if now-w.loads > float64(s.spec.ReportInterval) {
		w.loads = now
		w.load = w.next
		w.next = w.Load()
		if s.spec.ReportDelay <= 0 {
			w.load = w.next
		} else {
			load := w.next
			s.later(float64(s.spec.ReportDelay)+s.late(now), func() {
				w.mu.Lock()
				w.load = load
				w.mu.Unlock()
			})
		}
	}
	noise := func(x float64) float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return math.Max(0, math.Round(100*x*(1+float64(s.spec.ReportNoise)*s.rng.NormFloat64()))/100)
	}
	f := map[string]float64{"inflight": noise(w.load.InFlight), "queue": noise(w.load.Queued), "x0": noise(w.load.FreeSlots)}
	if w.spec.Memory > 0 {
		f["x1"] = noise(w.load.FreeMemory)
	}
	return f
}

func (s *Shop) late(now float64) (ms float64) {
	for _, t := range s.spec.SiteFaults {
		if t.Kind == "late-reports" && now >= float64(t.At) && now < float64(t.At+t.Duration) {
			ms += float64(t.Delay)
		}
	}
	return ms
}

func (w *worker) report() string {
	var parts []string
	figures := w.figures()
	for _, name := range []string{"inflight", "queue", "x0", "x1"} {
		if x, ok := figures[name]; ok {
			parts = append(parts, name+"="+strconv.FormatFloat(x, 'f', -1, 64))
		}
	}
	return strings.Join(parts, ",")
}
