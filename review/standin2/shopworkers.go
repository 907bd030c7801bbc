package main

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

// shopWorker is an HTTP shop worker, as the protocol page describes it: it answers 202 and reports the start and the result of
// each job to the scheduler.
type shopWorker struct {
	endpoint
	scheduler string // address of callbacks
	record    *record
	// run does a job and returns its result.
	run func(w *shopWorker, id, key string) string
}

// startShopWorkers starts n shop workers with four slots each, in three pods of two data centres.
func startShopWorkers(n int, scheduler string, rec *record, run func(w *shopWorker, id, key string) string) (list []endpoint) {
	for i := range n {
		ln, err := net.Listen("tcp", host+":0")
		must(err)
		pod := i * 3 / n
		w := &shopWorker{scheduler: scheduler, record: rec, run: run, endpoint: endpoint{Name: fmt.Sprintf("s-%04x", 0xa00+i), Address: ln.Addr().String(),
			Zone: []string{"colombo-1", "colombo-1", "kandy-1"}[pod], Type: []string{"fast-4", "slow-4"}[i%2], Group: pod, Status: "SERVING", Weight: 1}}
		go func() { _ = http.Serve(ln, w) }()
		list = append(list, w.endpoint)
	}
	return list
}

func (w *shopWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Txn")
	switch {
	case r.Method == http.MethodGet: // a probe
		_, _ = io.WriteString(rw, "ok")
	case r.Method == http.MethodDelete: // a cancel stops nothing
	case id == "":
		rw.WriteHeader(http.StatusNotFound)
	default:
		_, _ = io.Copy(io.Discard, r.Body)
		w.record.line("shop worker %s takes %s key=%q", w.Name, id, r.Header.Get("Idempotency-Key"))
		rw.WriteHeader(http.StatusAccepted)
		go func() {
			w.tell(map[string]any{"id": id, "from": w.Name, "state": "started"})
			result := w.run(w, id, r.Header.Get("Idempotency-Key"))
			w.record.line("shop worker %s has done %s", w.Name, id)
			w.tell(map[string]any{"id": id, "from": w.Name, "state": "done", "result": result})
		}()
	}
}

// tell makes a callback, ten times at most.
func (w *shopWorker) tell(event map[string]any) {
	body, err := json.Marshal(event)
	must(err)
	client := http.Client{Timeout: time.Second}
	for range 10 {
		resp, err := client.Post("http://"+w.scheduler+"/v1/job-events", "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 || resp.StatusCode == 204 {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// discovery is the platform's list of targets. It can go down: its watches end, and calls end with 503.
type discovery struct {
	address string
	mu      sync.Mutex
	list    []endpoint
	down    bool
	changed chan struct{} // closed at each change of down
}

func startDiscovery(list []endpoint) *discovery {
	if list == nil {
		list = []endpoint{}
	}
	ln, err := net.Listen("tcp", host+":0")
	must(err)
	d := &discovery{address: ln.Addr().String(), list: list, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, d) }()
	return d
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers with the whole list, and on a watch with an empty line every 2 s.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	down, changed := d.down, d.changed
	text, _ := json.Marshal(map[string]any{"index": 41, "snapshot": true, "endpoints": d.list})
	d.mu.Unlock()
	if down || !strings.HasPrefix(r.URL.Path, "/discovery/hosts") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(append(text, '\n'))
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			panic(http.ErrAbortHandler) // the watch ends
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n"))
		}
	}
}
