package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// abort ends a case that could not run.
type abort struct{ reason string }

func fail(format string, args ...any) { panic(abort{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// host is the loopback address of this run. It is drawn, so that runs side by side don't meet.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns an address of this run whose port is free.
func freeAddress() string {
	ln, err := net.Listen("tcp", host+":0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// record is record.txt: what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	return &record{file: f, started: time.Now()}
}

func (r *record) now() float64 { return time.Since(r.started).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.now(), fmt.Sprintf(format, args...))
}

// shop is a temporary folder with the files of the schedulers of one case, and their processes.
type shop struct {
	root, folder string // of the project; of the temporary files
	record       *record
	mu           sync.Mutex
	processes    []*process
	closed       bool
}

// process is one scheduler, started with the command 'run' of the deploy file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func newShop(root string, rec *record) *shop {
	folder, err := os.MkdirTemp("", "cw")
	must(err)
	return &shop{root: root, folder: folder, record: rec}
}

func (s *shop) write(name, text string) string {
	path := filepath.Join(s.folder, name)
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runCommand returns the command 'run' of the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	must(err)
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	fail("the deploy file has no run")
	return ""
}

// start starts a scheduler with the given environment.
func (s *shop) start(name string, env map[string]string) *process {
	p := &process{name: name, log: filepath.Join(s.folder, name+".log"), done: make(chan struct{})}
	logFile, err := os.Create(p.log)
	must(err)
	tmp := filepath.Join(s.folder, "t")
	must(os.MkdirAll(tmp, 0o700))
	p.cmd = exec.Command("/bin/sh", "-c", runCommand(s.root))
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = s.root, logFile, logFile
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp}
	for k, v := range env {
		p.cmd.Env = append(p.cmd.Env, k+"="+v)
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		fail("the case is ending")
	}
	must(p.cmd.Start())
	s.processes = append(s.processes, p)
	logFile.Close()
	go func() {
		err := p.cmd.Wait()
		s.record.line("scheduler %s ended: %v", name, err)
		close(p.done)
	}()
	s.record.line("scheduler %s started with %q", name, runCommand(s.root))
	return p
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the temporary files. With KEEP=1 the schedulers' logs are appended to the record.
func (s *shop) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if os.Getenv("KEEP") == "1" {
			text, _ := os.ReadFile(p.log)
			s.record.line("log of %s:\n%s", p.name, text)
		}
	}
	_ = os.RemoveAll(s.folder)
}

// awaitUp waits until the readiness page of a scheduler answers 200.
func awaitUp(address string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if resp, err := client.Get("http://" + address + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	fail("the scheduler at %s was not ready in time", address)
}

// configuration returns the platform's configuration of a small deployment of colombo-shop. Values of extra replace its own.
func configuration(extra map[string]any) string {
	cfg := map[string]any{
		"name": "n0", "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": map[string]any{"me": 0, "fleet-size": 1, "locality": "colombo-1",
			"localities": []any{"colombo-1", "colombo-2", "kandy-1", "galle-1"}, "kinds": []any{"fast-4", "slow-4"},
			"tick-us": 5000, "counted-by": "request", "family": "jobs", "registry-mode": "subscribe",
			"classes": []any{
				map[string]any{"name": "shop-view", "semantics": "safe", "key-scope": "all", "aim-us": 75000, "deadline-us": 5000000,
					"memory-span-us": 5000000, "worth": 5.0, "streaming": false, "late-value": 0.0},
				map[string]any{"name": "purchase", "semantics": "keyed", "key-scope": "cell", "aim-us": 75000, "deadline-us": 5000000,
					"memory-span-us": 7500000, "worth": 3.0, "streaming": false, "late-value": 0.0}},
			"family-info": map[string]any{"class-kind": []any{-1, -1}, "class-priority": []any{1, 0}, "class-stretch": []any{2.0, 2.5},
				"tells-start": true, "progress-us": 0, "queue-order": "fifo", "report-x0": "free slots", "report-x1": "free memory"},
			"load-info": map[string]any{"how": "piggyback", "names": []any{"active", "waiting", "x0", "x1"}},
			"permissions": map[string]any{"attempts-cap": 3, "cancel": true, "may-duplicate": false, "may-tell": false, "probes": true,
				"retry-after": false, "max-open": 40000, "max-retry-after-us": 2000000, "conn-idle-us": 30000000,
				"dial-timeout-us": 250000, "streams-per-conn": 1},
			"prices": map[string]any{"cross-zone": 0.059, "waste": 0.05, "late-fail": 0.041, "probe": 0.0019, "peer": 0.01},
			"rules": map[string]any{"answer-slack-us": 20000, "ask-within-us": 10000000, "cold-from": 0.15, "cold-us": 24000000,
				"drain-grace-us": 250000, "fall-us": 1000000, "tip-multiple": 3.0}}}
	for k, v := range extra {
		cfg[k] = v
	}
	text, err := json.MarshalIndent(cfg, "", " ")
	must(err)
	return string(text)
}
