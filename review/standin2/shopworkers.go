package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// discovery is the platform's list of targets. Its watches can fall silent, and it can go down: then its watches end, and
// calls end with 503.
type discovery struct {
	address string
	record  *record
	mu      sync.Mutex
	index   int
	list    []endpoint
	down    bool
	watches map[*watch]bool
	line    chan time.Time // receives the time of each empty line that was written
}

// watch is an open watch.
type watch struct {
	changes chan string // objects to write
	end     chan struct{}
	silent  bool // guarded by the mutex of discovery
}

func startDiscovery(list []endpoint, rec *record) *discovery {
	if list == nil {
		list = []endpoint{}
	}
	ln, err := net.Listen("tcp", host+":0")
	must(err)
	d := &discovery{address: ln.Addr().String(), record: rec, index: 41, list: list, watches: map[*watch]bool{}, line: make(chan time.Time, 1)}
	go func() { _ = http.Serve(ln, d) }()
	return d
}

// setDown takes discovery down, or brings it back.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.record.line("discovery: down=%v", down)
	if down {
		for w := range d.watches {
			close(w.end)
		}
		clear(d.watches)
	}
}

// silence makes the open watches fall silent. Those that are opened later are not.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.silent = true
	}
	d.record.line("discovery: %d open watches fall silent", len(d.watches))
}

// drain lists a target as draining, and tells it on the watches that are not silent.
func (d *discovery) drain(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.list = slices.Clone(d.list)
	for i := range d.list {
		if d.list[i].Name != name {
			continue
		}
		d.list[i].Status = "DRAINING"
		text, err := json.Marshal(map[string]any{"index": d.index, "snapshot": false, "endpoints": d.list[i : i+1]})
		must(err)
		for w := range d.watches {
			if !w.silent {
				w.changes <- string(text)
			}
		}
	}
	d.record.line("discovery: %s drains", name)
}

// open registers a watch and returns the whole list, or false while discovery is down.
func (d *discovery) open(w *watch) (list string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return "", false
	}
	if w != nil {
		d.watches[w] = true
	}
	text, err := json.Marshal(map[string]any{"index": d.index, "snapshot": true, "endpoints": d.list})
	must(err)
	return string(text), true
}

// ServeHTTP answers with the whole list, and on a watch with the changes and an empty line every 2 s.
func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var w *watch
	if r.URL.Query().Get("watch") == "1" {
		w = &watch{changes: make(chan string, 16), end: make(chan struct{})}
	}
	list, ok := d.open(w)
	if !ok || r.URL.Path != "/discovery/hosts" {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(rw, list+"\n")
	if w == nil {
		return
	}
	d.record.line("discovery: a watch opens")
	for {
		rw.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			d.mu.Lock()
			delete(d.watches, w)
			d.mu.Unlock()
			return
		case <-w.end:
			panic(http.ErrAbortHandler)
		case text := <-w.changes:
			_, _ = io.WriteString(rw, text+"\n")
		case <-time.After(2 * time.Second):
			d.writeEmptyLine(rw, w)
		}
	}
}

func (d *discovery) writeEmptyLine(rw http.ResponseWriter, w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.silent {
		return
	}
	_, _ = io.WriteString(rw, "\n")
	rw.(http.Flusher).Flush()
	select {
	case d.line <- time.Now():
	default:
	}
}

// endpoint is an entry of discovery's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}
