package emulatedsite

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

// RunLoad sends the load, each request at its arrival time, and returns the result. It returns after the
// final response of the last request, or stops sending when ctx is done. If onFinished is not nil,
// RunLoad calls it with the status of each finished request; 0 means no response.
func (s *Site) RunLoad(ctx context.Context, seed uint64, onFinished func(status int)) *emulator.Result {
	result := emulator.NewResult(s.spec)
	s.mu.Lock()
	s.arrivals = s.spec.Arrivals(seed)
	arrivals := s.arrivals
	clear(s.requests)
	loadStart := s.now()
	s.loadStart = loadStart
	s.mu.Unlock()
	s.scheduleFaults(seed)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var inFlight sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if untilArrival := loadStart + a.At - s.now(); untilArrival > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(untilArrival * 1e6)):
			}
		}
		if ctx.Err() != nil {
			break
		}
		inFlight.Go(func() {
			// The latency counts from the scheduled arrival. A late send by this program thus
			// increases the measured latency and never hides a delay.
			status, latency := s.request(ctx, client, i, a, loadStart+a.At)
			if onFinished != nil {
				onFinished(status)
			}
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case 200:
			case 429, 503:
				result.Refused++
			case 0:
				if a.DepartsAfter > 0 {
					result.Departed++
					return
				}
				result.Lost++
			default:
				result.Failed++
			}
			if a.At >= float64(s.spec.Warmup) && a.DepartsAfter == 0 {
				result.Add(s.spec, a, latency, status == 200)
			}
		})
	}
	inFlight.Wait()
	result.Violations = s.Violations()
	_, result.Reservations.Reserved = s.ReservedSlots()
	result.Finish()
	return result
}

// arrival returns the arrival for a request ID that request assigned, or nil if the ID is unknown.
// The caller must hold mu.
func (s *Site) arrival(id string) *emulator.Arrival {
	text, _, ok := strings.Cut(id, "-")
	n, err := strconv.ParseUint(text, 16, 32)
	if !ok || err != nil || int(n) >= len(s.arrivals) {
		return nil
	}
	return &s.arrivals[n]
}

// request sends one request. It retries a refused request immediately if the client has retries left. It
// returns the last status, 0 for no response, and the milliseconds since arrivesAt.
func (s *Site) request(ctx context.Context, client *http.Client, i int, a *emulator.Arrival, arrivesAt float64) (status int, latency float64) {
	c := &s.spec.Classes[a.Class]
	for try := 0; ; try++ {
		remaining := arrivesAt + float64(c.ClientTimeout) - s.now()
		if remaining <= 5 {
			return status, math.Inf(1)
		}
		timeout := remaining
		if a.DepartsAfter > 0 {
			timeout = min(timeout, a.DepartsAfter)
		}
		requestCtx, cancel := context.WithTimeout(ctx, time.Duration((timeout+60)*1e6))
		node := s.schedulers[(a.Scheduler+try)%len(s.schedulers)]
		if try == 0 {
			node = s.schedulers[a.Scheduler]
		}
		req, err := http.NewRequestWithContext(requestCtx, "POST", "http://"+node.Listen+"/"+c.Name, strings.NewReader(`{"item":"bat"}`))
		if err != nil {
			cancel()
			return 0, 0
		}
		req.Header.Set("X-Txn", fmt.Sprintf("%08x-%d", i, try))
		req.Header.Set("X-Org", a.Tenant)
		req.Header.Set("X-Remaining", strconv.FormatFloat(remaining, 'f', 3, 64)+"m")
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
			// A response with an incomplete body is not a valid response.
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status = resp.StatusCode
			}
			resp.Body.Close()
		}
		cancel()
		latency = s.now() - arrivesAt
		if latency > float64(c.ClientTimeout)+120 && a.DepartsAfter == 0 {
			s.recordViolation("answer-late")
		}
		retry := (status == 429 || status == 503) && try < s.spec.Retries && a.DepartsAfter == 0
		if !retry || ctx.Err() != nil {
			return status, latency
		}
	}
}

// scheduleFaults schedules the faults of the workers, relative to now. Faults of scheduler processes are up
// to the caller that started these processes.
func (s *Site) scheduleFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x7ab))
	for _, t := range s.spec.SiteFaults {
		n := int(math.Ceil(float64(t.Fraction) * float64(len(s.workers))))
		for _, i := range rng.Perm(len(s.workers))[:min(n, len(s.workers))] {
			w := s.workers[i]
			at, end := float64(t.At), float64(t.At+t.Duration)
			switch t.Kind {
			case "crash":
				s.afterMillis(at, func() {
					w.withLock(func(now float64) { w.Kill(now, func(_ float64, n emulator.JobEvent) { w.handleJobEvent(n) }) })
					w.announce("DELETED")
				})
				s.afterMillis(end, func() { w.withLock(w.Restart); w.announce("SERVING") })
			case "errors":
				s.afterMillis(at, func() { w.withLock(func(float64) { w.FailShare = 0.7 }) })
				s.afterMillis(end, func() { w.withLock(func(float64) { w.FailShare = 0 }) })
			case "drain":
				s.afterMillis(at, func() { w.announce("DRAINING") })
				s.afterMillis(end, func() { w.announce("SERVING") })
			case "pauses":
				for x := at; x < end; x += float64(max(t.Interval, 100)) * (0.5 + rng.Float64()) {
					s.afterMillis(x, func() {
						w.withLock(func(now float64) { w.Pause(now, float64(t.Delay)); w.nextEventAt = math.Inf(1); w.advance(now) })
					})
				}
			}
		}
	}
}

// withLock calls do with the current time while it holds the worker's lock.
func (w *worker) withLock(do func(now float64)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(w.site.now())
}
