package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// running times of jobs: within the site's figures for their classes.
const (
	purchaseTime = 80 * time.Millisecond
	viewTime     = 140 * time.Millisecond
	keyWindow    = 7500 * time.Millisecond // in which the workers of one pod drop repeats of a key
	drainGrace   = 300 * time.Millisecond  // 250 ms, and 50 ms on sockets
	outage       = 8 * time.Second         // of discovery
	toldWithin   = 6 * time.Second         // after which a change counts as told, whether it arrived or not
)

// clientTimeout is how long a client waits, and finalSlack what the rule allows beyond it.
const (
	clientTimeout = 5000 * time.Millisecond
	finalSlack    = 550 * time.Millisecond
)

// addresses of one scheduler.
type addresses struct{ listen, control, gearman string }

// startGearmanShop starts a scheduler with a Gearman front and the given workers, and waits until all of them are connected.
func startGearmanShop(s *shop, a addresses, workers []*gearmanWorker) *process {
	discovery := startDiscovery(nil, s.record).address
	config := s.write("config.json", configuration(nil))
	operator := s.write("operator.toml", operatorFile(a.gearman, workers))
	p := s.start("n0", map[string]string{"RELAY_CONFIG": config, "RELAY_OPERATOR": operator, "RELAY_NAME": "n0",
		"RELAY_LISTEN": a.listen, "RELAY_DISCOVERY": discovery, "RELAY_CONTROL": a.control})
	awaitUp(a.listen, 10*time.Second)
	for _, w := range workers {
		w.start()
	}
	time.Sleep(time.Second)
	return p
}

func newAddresses() addresses { return addresses{freeAddress(), freeAddress(), freeAddress()} }

// runs counts where each key ran.
type runs struct {
	mu   sync.Mutex
	runs map[string][]run
}

type run struct {
	pod, worker string
	at          time.Time
}

func newRuns() *runs { return &runs{runs: map[string][]run{}} }

func (r *runs) add(key string, w *gearmanWorker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key] = append(r.runs[key], run{w.pod, w.id, time.Now()})
}

// appliedTwice reports the keys that were applied twice: by a second pod, or by the same pod after its window.
func (r *runs) appliedTwice() (breaks []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, all := range r.runs {
		for _, x := range all[1:] {
			if first := all[0]; x.pod != first.pod || x.at.Sub(first.at) > keyWindow {
				breaks = append(breaks, fmt.Sprintf("purchase %s ran at %s of pod %s and %.3f s later at %s of pod %s",
					key, first.worker, first.pod, x.at.Sub(first.at).Seconds(), x.worker, x.pod))
				break
			}
		}
	}
	slices.Sort(breaks)
	return breaks
}

func init() { cases["twice"] = playTwice }

// playTwice: clients submit purchases. Some submit the same job twice: they leave, connect again and submit it at once.
func playTwice(s *shop, rec *record) []string {
	a, ran := newAddresses(), newRuns()
	workers := twelveWorkers(a.gearman, rec)
	for _, w := range workers {
		w.run = func(w *gearmanWorker, _ *link, j job) (string, bool) {
			ran.add(j.unique, w)
			time.Sleep(purchaseTime)
			return "granted " + j.unique, true
		}
	}
	startGearmanShop(s, a, workers)
	var wait sync.WaitGroup
	const jobs, every = 200, 20 // one client in 20 leaves: 5%
	for i := range jobs {
		wait.Go(func() { twiceClient(a.gearman, fmt.Sprintf("grant-%d", i), i%every == every-1, rec) })
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	return ran.appliedTwice()
}

// twiceClient submits a job. If twice is set, it submits it a second time 40 ms later. With trouble, it leaves before.
func twiceClient(address, key string, twice bool, rec *record) {
	l, err := dialGearman(address)
	must(err)
	defer l.Close()
	rec.line("client submits purchase unique=%s", key)
	if twice {
		must(l.send(submitJob, "purchase", key, "coins"))
		time.Sleep(40 * time.Millisecond)
		if trouble {
			rec.line("client of %s leaves", key)
			l.Close()
		}
		if l, err = dialGearman(address); err != nil {
			fail("connect again: %v", err)
		}
		defer l.Close()
		rec.line("client submits purchase unique=%s again", key)
	}
	kind, _, err := l.submit("purchase", key, "coins", 6*time.Second)
	rec.line("client of %s gets packet %d, error %v", key, kind, err)
}

// submitOnce submits one job on a connection of its own and records its final packet.
func submitOnce(address, function, unique, workload string, rec *record) (kind int, data string) {
	l, err := dialGearman(address)
	must(err)
	defer l.Close()
	rec.line("client submits %s unique=%s", function, unique)
	kind, data, err = l.submit(function, unique, workload, 6*time.Second)
	rec.line("client of %s gets packet %d, data %q, error %v", unique, kind, data, err)
	return kind, data
}

func init() { cases["crowd"] = playCrowd }

// playCrowd: clients submit a job each and keep their connections, idle. Then one more client submits a job.
func playCrowd(s *shop, rec *record) (breaks []string) {
	a := newAddresses()
	workers := twelveWorkers(a.gearman, rec)
	for _, w := range workers {
		w.run = func(_ *gearmanWorker, _ *link, j job) (string, bool) {
			time.Sleep(viewTime)
			return "page of " + j.unique, true
		}
	}
	startGearmanShop(s, a, workers)
	idle := 20
	if trouble {
		idle = gearmanConnections - len(workers)
	}
	for i := range idle {
		l, err := dialGearman(a.gearman)
		must(err)
		defer l.Close()
		kind, _, err := l.submit("shop-view", fmt.Sprintf("view-%d", i), "page", 6*time.Second)
		rec.line("client %d gets packet %d, error %v, and keeps its connection", i, kind, err)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range 5 {
		wait.Go(func() {
			key := fmt.Sprintf("late-%d", i)
			l, err := dialGearman(a.gearman)
			if err != nil { // it was not let in: nothing was taken
				rec.line("client of %s cannot connect: %v", key, err)
				return
			}
			defer l.Close()
			sent := time.Now()
			if err := l.send(submitJob, "shop-view", key, "page"); err != nil {
				rec.line("client of %s cannot send: %v", key, err)
				return
			}
			rec.line("client of %s has written its job", key)
			_ = l.SetDeadline(sent.Add(clientTimeout + finalSlack))
			kind, data, err := l.awaitFinal()
			rec.line("client of %s gets packet %d, data %q, error %v", key, kind, data, err)
			if isTimeout(err) { // a connection that is shut unread is no break
				mu.Lock()
				breaks = append(breaks, fmt.Sprintf("job %s was written to a connection that was let in, and had no answer and no close %.1f s later", key, time.Since(sent).Seconds()))
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(breaks)
	return breaks
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func init() { cases["partial"] = playPartial }

// playPartial: workers send their results in two parts. Two of twelve workers die between the parts.
func playPartial(s *shop, rec *record) (breaks []string) {
	a := newAddresses()
	workers := twelveWorkers(a.gearman, rec)
	var mu sync.Mutex
	kill := map[string]bool{}
	for _, w := range workers {
		w.run = func(w *gearmanWorker, l *link, j job) (string, bool) {
			mu.Lock()
			dies := kill[w.id]
			delete(kill, w.id)
			mu.Unlock()
			time.Sleep(viewTime / 4)
			_ = l.send(workData, j.handle, "<page of "+j.unique+": head,")
			time.Sleep(viewTime / 4)
			if dies {
				rec.line("worker %s dies in the middle of %s", w.id, j.unique)
				w.stop(true)
				time.AfterFunc(7*time.Second, w.start)
				return "", false
			}
			time.Sleep(viewTime / 2)
			return "tail>", true
		}
	}
	startGearmanShop(s, a, workers)
	var wait sync.WaitGroup
	for i := range 150 {
		wait.Go(func() {
			key := fmt.Sprintf("view-%d", i)
			kind, data := submitOnce(a.gearman, "shop-view", key, "page", rec)
			if want := "<page of " + key + ": head,tail>"; kind == workComplete && data != want {
				mu.Lock()
				breaks = append(breaks, fmt.Sprintf("client of %s was served %q, which no worker made", key, data))
				mu.Unlock()
			}
		})
		mu.Lock()
		if trouble && i == 50 {
			kill[workers[1].id], kill[workers[6].id] = true, true
		}
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	return breaks
}

func init() { cases["background"] = playBackground }

// playBackground: clients submit background jobs over Gearman, which run at HTTP shop workers. Discovery is down for 8 s.
func playBackground(s *shop, rec *record) (breaks []string) {
	a := newAddresses()
	var mu sync.Mutex
	done := map[string]bool{}
	list := startShopWorkers(12, a.listen, rec, func(_ *shopWorker, id, key string) string {
		time.Sleep(purchaseTime)
		mu.Lock()
		defer mu.Unlock()
		done[key] = true
		return "granted " + key
	})
	d := startDiscovery(list, rec)
	config := s.write("config.json", configuration(nil))
	operator := s.write("operator.toml", operatorFile(a.gearman, nil))
	s.start("n0", map[string]string{"RELAY_CONFIG": config, "RELAY_OPERATOR": operator, "RELAY_NAME": "n0",
		"RELAY_LISTEN": a.listen, "RELAY_DISCOVERY": d.address, "RELAY_CONTROL": a.control})
	awaitUp(a.listen, 10*time.Second)
	l, err := dialGearman(a.gearman)
	must(err)
	defer l.Close()
	_ = l.SetDeadline(time.Now().Add(time.Minute))
	var accepted []string
	for i := range 250 {
		key := fmt.Sprintf("grant-%d", i)
		must(l.send(submitJobBG, "purchase", key, "coins"))
		p, err := l.read()
		must(err)
		rec.line("client submits background purchase unique=%s: packet %d", key, p.kind)
		if p.kind == jobCreated {
			accepted = append(accepted, key)
		}
		if trouble && i == 50 {
			d.setDown(true)
			time.AfterFunc(outage, func() { d.setDown(false) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(clientTimeout + finalSlack)
	mu.Lock()
	defer mu.Unlock()
	for _, key := range accepted {
		if !done[key] {
			breaks = append(breaks, fmt.Sprintf("background purchase %s was accepted with JOB_CREATED and not done, and nobody was told", key))
		}
	}
	return breaks
}

func init() { cases["silence"] = playSilence }

// playSilence: discovery stalls and then goes down. Its watches fall silent, a shop worker begins to drain 0.2 s later, and 1.7 s
// after that discovery is down for 8 s.
func playSilence(s *shop, rec *record) (breaks []string) {
	a := newAddresses()
	var mu sync.Mutex
	var draining string
	var toldAt time.Time
	list := startShopWorkers(12, a.listen, rec, func(w *shopWorker, id, key string) string {
		mu.Lock()
		if late := time.Since(toldAt); w.Name == draining && late > drainGrace {
			breaks = append(breaks, fmt.Sprintf("%s was sent %s %.3f s after its drain counted as told", w.Name, id, late.Seconds()))
		}
		mu.Unlock()
		time.Sleep(purchaseTime)
		return "granted " + key
	})
	d := startDiscovery(list, rec)
	config := s.write("config.json", configuration(nil))
	s.start("n0", map[string]string{"RELAY_CONFIG": config, "RELAY_NAME": "n0", "RELAY_LISTEN": a.listen, "RELAY_DISCOVERY": d.address})
	awaitUp(a.listen, 10*time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for c := range 10 {
		wait.Go(func() { purchases(a.listen, c, stop, rec) })
	}
	time.Sleep(3 * time.Second)
	select {
	case <-d.line: // an older line
	default:
	}
	<-d.line
	if trouble {
		d.silence()
	}
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	draining = list[2].Name
	d.drain(draining)
	if toldAt = time.Now(); trouble { // nothing was written: the change counts as told later
		toldAt = toldAt.Add(toldWithin)
	}
	mu.Unlock()
	time.Sleep(1700 * time.Millisecond)
	if trouble {
		d.setDown(true)
		time.AfterFunc(outage, func() { d.setDown(false) })
	}
	time.Sleep(outage + 5*time.Second)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	return breaks
}

// purchases submits one purchase after another over HTTP until stop is closed.
func purchases(address string, client int, stop <-chan struct{}, rec *record) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		key := fmt.Sprintf("%08x-%d", client, i)
		status, body := postJob(address, "purchase", key, "key-"+key)
		rec.line("client of %s gets %d %q", key, status, body)
	}
}

// postJob submits a job over HTTP and returns the answer; status 0 is an error.
func postJob(address, class, id, key string) (status int, body string) {
	req, err := http.NewRequest("POST", "http://"+address+"/"+class, strings.NewReader("{}"))
	must(err)
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Org", "cricket-league")
	req.Header.Set("X-Remaining", "5000m")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
