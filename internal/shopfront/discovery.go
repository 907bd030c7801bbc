package shopfront

import (
	"encoding/json"
	"net/http"
	"time"
)

type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   string  `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// list is discovery's word for a scheduler: the whole, as nobody needs to know what changed.
func (s *Shop) list(i, index int) list {
	l := list{Index: index, Snapshot: true}
	for _, w := range s.workers {
		w.mu.Lock()
		since := 0.0
		if w.StartedAt > 0 {
			since = s.base + w.StartedAt
		}
		if w.state != "DELETED" {
			l.Endpoints = append(l.Endpoints, entry{w.spec.ID, w.lns[i].Addr().String(), w.spec.Zone, w.spec.Kind, w.spec.Cell, w.state, 1, since})
		}
		w.mu.Unlock()
	}
	return l
}

func (s *Shop) discovery(i int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/discovery/hosts" {
			http.NotFound(rw, r)
			return
		}
		watch := r.URL.Query().Get("watch") == "1"
		for {
			s.mu.Lock()
			index, changed := s.index, s.changed
			s.mu.Unlock()
			since := s.now()
			data, err := json.Marshal(s.list(i, index))
			if err != nil {
				s.log.Error("emulated shop: discovery", "cause", err)
				return
			}
			if _, err := rw.Write(append(data, '\n')); err != nil || !watch {
				return
			}
			for beat := true; beat; {
				if err := http.NewResponseController(rw).Flush(); err != nil {
					return
				}
				s.tells(i, since)
				select {
				case <-r.Context().Done():
					return
				case <-s.ctx.Done():
					return
				case <-changed:
					beat = false
				case <-time.After(2 * time.Second):
					if _, err := rw.Write([]byte("\n")); err != nil {
						return
					}
				}
			}
		}
	})
}

// tells notes that a scheduler was told of the list as it stood at a time.
func (s *Shop) tells(i int, since float64) {
	for _, w := range s.workers {
		w.with(func(now float64) {
			if w.told > 0 && w.told <= since && w.heard[i] == 0 {
				w.heard[i] = now
			}
		})
	}
}

// Woke tells that a scheduler's process goes on after it stood still: what it was told meanwhile it hears now.
func (s *Shop) Woke(i int) {
	for _, w := range s.workers {
		w.with(func(now float64) {
			if w.heard[i] > 0 {
				w.heard[i] = now
			}
		})
	}
}
