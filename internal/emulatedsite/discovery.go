package emulatedsite

import (
	"encoding/json"
	"net/http"
	"time"
)

// listEntry is one worker in the discovery list.
type listEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   string  `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// discoveryList is the body of a discovery response.
type discoveryList struct {
	Index     int         `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []listEntry `json:"endpoints"`
}

// discoveryList returns the list for a scheduler. It is always a whole snapshot, as no scheduler requires the
// changes alone.
func (s *Site) discoveryList(scheduler, index int) discoveryList {
	result := discoveryList{Index: index, Snapshot: true}
	for _, w := range s.workers {
		w.mu.Lock()
		since := 0.0
		if w.StartedAt > 0 {
			since = s.startUnixMillis + w.StartedAt
		}
		if w.state != "DELETED" {
			result.Endpoints = append(result.Endpoints, listEntry{w.spec.ID, w.listeners[scheduler].Addr().String(), w.spec.Zone, w.spec.Kind, w.spec.Cell, w.state, 1, since})
		}
		w.mu.Unlock()
	}
	return result
}

// discoveryHandler serves the list to one scheduler. A watch receives a new list after each change, and an empty
// line every 2 s otherwise.
func (s *Site) discoveryHandler(scheduler int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			http.NotFound(rw, r)
			return
		}
		watch := r.URL.Query().Get("watch") == "1"
		for {
			s.mu.Lock()
			index, changed := s.listIndex, s.listChanged
			s.mu.Unlock()
			listTime := s.now()
			data, err := json.Marshal(s.discoveryList(scheduler, index))
			if err != nil {
				s.log.Error("emulated site: encoding of the discovery list failed", "cause", err)
				return
			}
			if _, err := rw.Write(append(data, '\n')); err != nil || !watch {
				return
			}
			for unchanged := true; unchanged; {
				if err := http.NewResponseController(rw).Flush(); err != nil {
					return
				}
				s.recordNotified(scheduler, listTime)
				select {
				case <-r.Context().Done():
					return
				case <-s.ctx.Done():
					return
				case <-changed:
					unchanged = false
				case <-time.After(2 * time.Second):
					if _, err := rw.Write([]byte("\n")); err != nil {
						return
					}
				}
			}
		}
	})
}

// recordNotified records that a scheduler received the list of the given time.
func (s *Site) recordNotified(scheduler int, listTime float64) {
	for _, w := range s.workers {
		w.withLock(func(now float64) {
			if w.notReadySince > 0 && w.notReadySince <= listTime && w.notifiedAt[scheduler] == 0 {
				w.notifiedAt[scheduler] = now
			}
		})
	}
}

// Resumed must be called when a scheduler's process continues after a stall. Changes sent during the stall count as
// received now.
func (s *Site) Resumed(scheduler int) {
	for _, w := range s.workers {
		w.withLock(func(now float64) {
			if w.notifiedAt[scheduler] > 0 {
				w.notifiedAt[scheduler] = now
			}
		})
	}
}
