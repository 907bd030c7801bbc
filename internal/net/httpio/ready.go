package httpio

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// CheckReady requests a scheduler's readiness page, and reports whether it is ready within the timeout.
func CheckReady(address string, within time.Duration) bool {
	c, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return false
	}
	if _, err := fmt.Fprintf(c, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
