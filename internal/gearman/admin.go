package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// admin answers an administrative text line.
func (s *Server) admin(line string) string {
	command, _, _ := strings.Cut(line, " ")
	s.mu.Lock()
	defer s.mu.Unlock()
	var out strings.Builder
	switch command {
	case "version":
		return "OK " + version + "\n"
	case "status": // function, jobs in all, running, workers that can do it
		for _, f := range s.cfg.Functions {
			total, running, able := 0, 0, 0
			for _, j := range s.jobs {
				if j.function == f.Name {
					total++
					if j.started {
						running++
					}
				}
			}
			for _, w := range s.workers {
				if w.can[f.Name] {
					able++
				}
			}
			fmt.Fprintf(&out, "%s\t%d\t%d\t%d\n", f.Name, total, running, able)
		}
	case "workers": // descriptor, address, name, and what it can do
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			w := s.workers[id]
			host, _, _ := strings.Cut(w.conn.RemoteAddr().String(), ":")
			fmt.Fprintf(&out, "- %s %s : %s\n", host, id, strings.Join(slices.Sorted(maps.Keys(w.can)), " "))
		}
	default:
		return "ERR unknown_command Unknown+server+command\n"
	}
	return out.String() + ".\n"
}
