package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// asProgramEnv is the environment variable that makes the test binary run as the program.
const asProgramEnv = "COTTONWELL_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func jobRequest(id, remaining string) string {
	return fmt.Sprintf("POST /shop-view HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Remaining: %s\r\nContent-Length: 0\r\n\r\n", id, remaining)
}

// Neither a target nor clients that never finish delay the exit. The platform may kill the program 3.7 s after SIGTERM; by
// then each accepted request must have its response. The test runs on a manual clock.
func TestEndsInTimeWhateverOthersDo(t *testing.T) {
	program := startProgram(t, false)
	program.emulateDiscovery()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", program.clientAddress)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		return c
	}
	accepted, partial, idle := dial(), dial(), dial()
	_, err := io.WriteString(idle, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(idle), nil)
	require.NoError(t, err)
	_, err = io.WriteString(partial, jobRequest("1", "9000m")[:40])
	require.NoError(t, err)
	_, err = io.WriteString(accepted, jobRequest("2", "9000m"))
	require.NoError(t, err)
	acceptConn(t, program.listeners["target"]) // the target never responds
	program.runScript("wind now")
	program.waitUntil("the accepted and the partial request are seen", func() bool { return program.sched.listener.Busy() == 2 })
	program.clock.Advance(3000)
	program.runScript("wound now")
	program.clock.Advance(400)
	resp, err := http.ReadResponse(bufio.NewReader(accepted), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "a job of this class is safe to repeat")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	program.clock.Advance(299)
	select {
	case <-program.done:
	case <-time.After(testTimeout):
		require.Fail(t, "still running 3.699 s after SIGTERM")
	}
}

// Repeated and unexpected signals neither cut the graceful shutdown short nor delay it: each accepted request gets its response,
// and the program exits with 0. The program runs as a separate process, on the system clock.
func TestSignalsThatComeAgain(t *testing.T) {
	discovery, target := newTestDiscovery(), listenLoopback(t)
	discovery.endpoints = []testEndpoint{{Name: "s-1", Address: target.Addr().String(), Zone: "colombo-1", Type: "fast-4", Group: 3, Status: "SERVING", Weight: 1}}
	discoveryAddress := serveLoopback(t, discovery.handler("n0"))
	data, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	text := strings.NewReplacer("DISCOVERY", discoveryAddress, "5000000", "600000", "7500000", "900000", "TARGETS",
		`{"name":"s-1","address":"`+target.Addr().String()+`","zone":"colombo-1","type":"fast-4","group":3,"status":"SERVING","weight":1.0,"since_ms":0}`).Replace(string(data))
	configFile := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(configFile, []byte(text), 0o600))
	cmd := exec.Command(os.Args[0], "serve", "--config", configFile)
	cmd.Env = append(os.Environ(), asProgramEnv+"=1")
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	var logs strings.Builder
	addresses, ended := make(chan string, 1), make(chan error, 1)
	go func() { // the program chooses a free port and logs it
		for lines := bufio.NewScanner(io.TeeReader(stderr, &logs)); lines.Scan(); {
			if _, address, found := strings.Cut(lines.Text(), " listen="); found {
				address, _, _ = strings.Cut(address, " ")
				addresses <- address
			}
		}
		ended <- cmd.Wait()
	}()
	var address string
	select {
	case address = <-addresses:
	case <-time.After(testTimeout):
		require.Fail(t, "the program does not start")
	}
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, jobRequest("1", "600m"))
	require.NoError(t, err)
	defer acceptConn(t, target).Close()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		require.NoError(t, cmd.Process.Signal(sig))
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.GreaterOrEqual(t, resp.StatusCode, 500, "the target never responded")
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.NoError(t, err, "%s", &logs)
	case <-time.After(testTimeout):
		require.Fail(t, "the program does not exit")
	}
	require.Equal(t, 1, strings.Count(logs.String(), "winding down"), "%s", &logs)
}
