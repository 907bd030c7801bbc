package shopfront

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cottonwell/internal/emulator"
)

// Play sends the spec's load, each request at its time, and returns what came of it. It ends
// when the last is answered or ctx does. Each call to seen, if there is one, tells of one
// request that is over.
func (s *Shop) Play(ctx context.Context, seed uint64, seen func(status int)) *emulator.Result {
	res := emulator.NewResult(s.spec)
	s.mu.Lock()
	s.arrivals = s.spec.Arrivals(seed)
	arrivals := s.arrivals
	clear(s.attempts)
	begin := s.now()
	s.played = begin
	s.mu.Unlock()
	s.script(seed)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if wait := begin + a.At - s.now(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(wait * 1e6)):
			}
		}
		if ctx.Err() != nil {
			break
		}
		all.Go(func() {
			// Late starts of this program count against the scheduler, not for it: the time
			// of a request runs from when it should have come.
			status, took := s.ask(ctx, client, i, a, begin+a.At)
			if seen != nil {
				seen(status)
			}
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case 200:
			case 429, 503:
				res.Refused++
			case 0:
				if a.DepartsAfter > 0 {
					res.Departed++
					return
				}
				res.Lost++
			default:
				res.Failed++
			}
			if a.At >= float64(s.spec.Warmup) && a.DepartsAfter == 0 {
				res.Add(s.spec, a, took, status == 200)
			}
		})
	}
	all.Wait()
	res.Violations = s.Broken()
	_, res.Room.Held = s.Held()
	res.Finish()
	return res
}

// arrival finds a request's own by the id that ask gave it. The shop's lock is held.
func (s *Shop) arrival(id string) *emulator.Arrival {
	text, _, ok := strings.Cut(id, "-")
	n, err := strconv.ParseUint(text, 16, 32)
	if !ok || err != nil || int(n) >= len(s.arrivals) {
		return nil
	}
	return &s.arrivals[n]
}

// ask sends one request, and again at once if it is refused and the client does that. It
// returns the last status, 0 for none, and the milliseconds since the request was due.
func (s *Shop) ask(ctx context.Context, client *http.Client, i int, a *emulator.Arrival, due float64) (status int, took float64) {
	c := &s.spec.Classes[a.Class]
	for try := 0; ; try++ {
		left := due + float64(c.ClientTimeout) - s.now()
		if left <= 5 {
			return status, math.Inf(1)
		}
		wait := left
		if a.DepartsAfter > 0 {
			wait = min(wait, a.DepartsAfter)
		}
		inner, cancel := context.WithTimeout(ctx, time.Duration((wait+60)*1e6))
		node := s.scheds[(a.Scheduler+try)%len(s.scheds)]
		if try == 0 {
			node = s.scheds[a.Scheduler]
		}
		req, err := http.NewRequestWithContext(inner, "POST", "http://"+node.Listen+"/"+c.Name, strings.NewReader(`{"item":"bat"}`))
		if err != nil {
			cancel()
			return 0, 0
		}
		req.Header.Set("X-Txn", fmt.Sprintf("%08x-%d", i, try))
		req.Header.Set("X-Org", a.Tenant)
		req.Header.Set("X-Remaining", strconv.FormatFloat(left, 'f', 3, 64)+"m")
		labels := fmt.Sprintf("slots=%d", a.Slots)
		if a.Memory > 0 {
			labels += fmt.Sprintf(",ram-units=%.2f", a.Memory)
		}
		req.Header.Set("X-Labels", labels)
		if c.Keyed {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("key-%08x", i))
		}
		resp, err := client.Do(req)
		status = 0
		if err == nil {
			// A body that breaks off is no answer.
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			resp.Body.Close()
		}
		cancel()
		took = s.now() - due
		if took > float64(c.ClientTimeout)+120 && a.DepartsAfter == 0 {
			s.breaks("answer-late")
		}
		again := (status == 429 || status == 503) && try < s.spec.Retries && a.DepartsAfter == 0
		if !again || ctx.Err() != nil {
			return status, took
		}
	}
}

// script puts the troubles of the spec into the time from now on. Those of schedulers are
// for whoever started them.
func (s *Shop) script(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x7ab))
	for _, t := range s.spec.SiteFaults {
		n := int(math.Ceil(float64(t.Fraction) * float64(len(s.workers))))
		for _, i := range rng.Perm(len(s.workers))[:min(n, len(s.workers))] {
			w := s.workers[i]
			at, end := float64(t.At), float64(t.At+t.Duration)
			switch t.Kind {
			case "crash":
				s.later(at, func() {
					w.with(func(now float64) { w.Kill(now, func(_ float64, n emulator.JobEvent) { w.note(n) }) })
					w.become("DELETED")
				})
				s.later(end, func() { w.with(w.Restart); w.become("SERVING") })
			case "errors":
				s.later(at, func() { w.with(func(float64) { w.FailShare = 0.7 }) })
				s.later(end, func() { w.with(func(float64) { w.FailShare = 0 }) })
			case "drain":
				s.later(at, func() { w.become("DRAINING") })
				s.later(end, func() { w.become("SERVING") })
			case "pauses":
				for x := at; x < end; x += float64(max(t.Interval, 100)) * (0.5 + rng.Float64()) {
					s.later(x, func() {
						w.with(func(now float64) { w.Pause(now, float64(t.Delay)); w.due = math.Inf(1); w.advance(now) })
					})
				}
			}
		}
	}
}

func (w *worker) with(do func(now float64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(w.shop.now())
}
