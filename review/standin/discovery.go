package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is discovery's list or changes to it.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery answers GET /discovery/hosts, also as a watch: changes at once, and an empty line each 2 s.
type Discovery struct {
	Address string
	record  *Record

	mu      sync.Mutex
	index   int
	list    []Endpoint
	changes []List
	changed chan struct{} // closed and replaced at each change
}

// StartDiscovery starts a discovery with a list.
func StartDiscovery(r *Record, list []Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: ln.Addr().String(), record: r, index: 1, list: list, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, d) }()
	return d, nil
}

// List returns the current list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{d.index, true, append([]Endpoint(nil), d.list...)}
}

// Change replaces the entry of the same name and tells all watches. An entry that is DELETED leaves the list.
func (d *Discovery) Change(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	var list []Endpoint
	for _, x := range d.list {
		if x.Name != e.Name {
			list = append(list, x)
		}
	}
	if e.Status != "DELETED" {
		list = append(list, e)
	}
	d.list = list
	d.changes = append(d.changes, List{d.index, false, []Endpoint{e}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Log("discovery: %s is %s, index %d", e.Name, e.Status, d.index)
}

// since returns the changes after a version, and a channel that is closed at the next one.
func (d *Discovery) since(version int) ([]List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []List
	for _, c := range d.changes {
		if c.Index > version {
			out = append(out, c)
		}
	}
	return out, d.changed
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	whole := d.List()
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") != "1" {
		_ = encoder.Encode(whole)
		return
	}
	// The first object is the whole list.
	d.record.Log("discovery: watch from %s, %q", r.RemoteAddr, r.URL.RawQuery)
	flush := func() { w.(http.Flusher).Flush() }
	_ = encoder.Encode(whole)
	flush()
	version := whole.Index
	if n, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && n > version {
		version = n
	}
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		changes, changed := d.since(version)
		for _, c := range changes {
			if encoder.Encode(c) != nil {
				return
			}
			version = c.Index
		}
		flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			ticker.Reset(2 * time.Second)
		case <-ticker.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			flush()
		}
	}
}
