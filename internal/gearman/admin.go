package gearman

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// adminResponse returns the response to a line of the administrative text protocol.
func (s *Server) adminResponse(line string) string {
	command, _, _ := strings.Cut(line, " ")
	s.mu.Lock()
	defer s.mu.Unlock()
	var response strings.Builder
	switch command {
	case "version":
		return "OK " + version + "\n"
	case "status": // function, all jobs, running jobs, workers that can run it
		for _, f := range s.cfg.Functions {
			total, running, capable := 0, 0, 0
			for _, j := range s.jobs {
				if j.key.function == f.Name {
					total++
					if j.started {
						running++
					}
				}
			}
			for _, w := range s.workers {
				if w.functions[f.Name] {
					capable++
				}
			}
			fmt.Fprintf(&response, "%s\t%d\t%d\t%d\n", f.Name, total, running, capable)
		}
	case "workers": // file descriptor (always "-"), address, client ID, functions
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			w := s.workers[id]
			host, _, _ := strings.Cut(w.conn.RemoteAddr().String(), ":")
			fmt.Fprintf(&response, "- %s %s : %s\n", host, id, strings.Join(slices.Sorted(maps.Keys(w.functions)), " "))
		}
	default:
		return "ERR unknown_command Unknown+server+command\n"
	}
	return response.String() + ".\n"
}
