package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// RunCommand returns the command 'run' of the deploy file in a folder.
func RunCommand(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			if command, _, ok := strings.Cut(rest, `"`); ok {
				return command, nil
			}
		}
	}
	return "", fmt.Errorf("the deploy file has no run")
}

// Scheduler is a scheduler process.
type Scheduler struct {
	Name, Listen string
	cmd          *exec.Cmd
	ended        chan struct{}
	Log          string // file of its log
}

// Settings are the parts of a scheduler's configuration that cases set.
type Settings struct {
	Name, Listen, Control, Discovery, Operator, TempDir string
	Me, Fleet                                           int
	PeerListen                                          string
	Peers                                               []string
	Known                                               List
	Cores                                               float64
	Sockets                                             int
	ClassKind                                           []int // machine kind that each class requires, by index; nil: none
}

// config returns the configuration with the settings of colombo-shop.
func (s *Settings) config() map[string]any {
	type m = map[string]any
	class := func(name, semantics, scope string, span int, worth float64) m {
		return m{"name": name, "semantics": semantics, "key-scope": scope, "aim-us": 75000, "deadline-us": 5000000, "memory-span-us": span, "worth": worth, "streaming": false, "late-value": 0.0}
	}
	classKind := s.ClassKind
	if classKind == nil {
		classKind = []int{-1, -1}
	}
	cfg := m{"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": m{"cores": s.Cores, "memory_mb": 192, "sockets": s.Sockets}, "known": s.Known,
		"settings": m{"me": s.Me, "fleet-size": s.Fleet, "locality": "colombo-1", "localities": []string{"colombo-1", "colombo-2", "kandy-1", "galle-1"},
			"kinds": []string{"fast-4", "slow-4"}, "tick-us": 5000, "counted-by": "request", "family": "jobs", "registry-mode": "subscribe",
			"classes":     []m{class("shop-view", "safe", "all", 5000000, 5), class("purchase", "keyed", "cell", 7500000, 3)},
			"family-info": m{"class-kind": classKind, "class-priority": []int{1, 0}, "class-stretch": []float64{2, 2.5}, "tells-start": true, "progress-us": 0, "report-x0": "free slots", "report-x1": "free memory", "queue-order": "fifo"},
			"load-info":   m{"how": "piggyback", "names": []string{"active", "waiting", "x0", "x1"}},
			"permissions": m{"attempts-cap": 3, "cancel": true, "may-duplicate": false, "may-tell": s.PeerListen != "", "probes": true, "retry-after": false, "max-retry-after-us": 2000000, "conn-idle-us": 30000000, "dial-timeout-us": 250000, "max-open": 40000, "streams-per-conn": 1, "cpu-us-per-s": 16000, "cpu-us-per-request": 10.0},
			"prices":      m{"cross-zone": 0.059, "late-fail": 0.041, "waste": 0.05, "peer": 0.01, "probe": 0.0019},
			"rules":       m{"answer-slack-us": 20000, "ask-within-us": 10000000, "cold-from": 0.15, "cold-us": 24000000, "drain-grace-us": 250000, "fall-us": 1000000, "tip-multiple": 3.0},
			"tenants":     []m{{"name": "cricket-league", "share": 0.51, "allowance-per-s": 273.0}, {"name": "tuk-race", "share": 0.34, "allowance-per-s": 182.0}, {"name": "elephant-trail", "share": 0.15, "allowance-per-s": 80.0}},
			"score-parts": m{"whole": 0.45, "worst-class": 0.3, "worst-tenant": 0.1, "worst-window": 0.15}, "over-share-worth": 0.1}}
	if s.Control != "" {
		cfg["control"] = s.Control
	}
	if s.PeerListen != "" {
		cfg["peer_listen"], cfg["peers"], cfg["peers_all"] = s.PeerListen, s.Peers, "127.255.255.254:9"
	}
	return cfg
}

// StartScheduler starts a scheduler with the command of the deploy file. Its log goes to a file in folder.
func StartScheduler(root, folder string, s Settings) (*Scheduler, error) {
	command, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	if s.Cores == 0 {
		s.Cores = 1
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	data, err := json.MarshalIndent(s.config(), "", " ")
	if err != nil {
		return nil, err
	}
	unique := fmt.Sprintf("%s-%d", s.Name, time.Now().UnixNano())
	configPath, logPath := filepath.Join(folder, unique+".json"), filepath.Join(folder, unique+".log")
	if err := os.WriteFile(configPath, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	temp := s.TempDir
	if temp == "" {
		temp = filepath.Join(folder, unique)
		if err := os.Mkdir(temp, 0o700); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_NAME="+s.Name, "RELAY_LISTEN="+s.Listen, "RELAY_DISCOVERY="+s.Discovery, "RELAY_CONTROL="+s.Control, "RELAY_OPERATOR="+s.Operator, "TMPDIR="+temp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Scheduler{Name: s.Name, Listen: s.Listen, cmd: cmd, ended: make(chan struct{}), Log: logPath}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Scheduler) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Scheduler) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// WaitEnd waits for the end of the process, and reports whether it came in time.
func (p *Scheduler) WaitEnd(timeout time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Stop kills the process if it runs.
func (p *Scheduler) Stop() {
	_ = p.cmd.Process.Kill()
	p.WaitEnd(5 * time.Second)
}

// ExitState returns the state of the ended process.
func (p *Scheduler) ExitState() string { return fmt.Sprint(p.cmd.ProcessState) }

// WaitUp waits until GET /up answers 200.
func (p *Scheduler) WaitUp(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.Ended() {
			break
		}
		if resp, err := client.Get("http://" + p.Listen + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	text, _ := os.ReadFile(p.Log)
	return fmt.Errorf("scheduler %s is not up: %s", p.Name, bytes.TrimSpace(text[max(0, len(text)-2000):]))
}
