// Package units reads the figures of settings files, which carry their units: times as
// "250ms", shares as "40%". A figure without one is an error.
package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Millis is a time in milliseconds.
type Millis float64

// UnmarshalText reads a time with its unit, as time.ParseDuration does.
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a time with its unit, such as \"250ms\"", text)
	}
	if d == 0 && strings.Trim(string(text), "+0") == "" {
		return fmt.Errorf("%q is a time without its unit, such as \"250ms\"", text)
	}
	*m = Millis(float64(d) / float64(time.Millisecond))
	return nil
}

// Share is a part of one, 0 to 1.
type Share float64

// UnmarshalText reads a percentage with its sign.
func (s *Share) UnmarshalText(text []byte) error {
	n, ok := strings.CutSuffix(string(text), "%")
	x, err := strconv.ParseFloat(n, 64)
	if !ok || err != nil || math.IsNaN(x) || x < 0 || x > 100 {
		return fmt.Errorf("%q is not a share of 0%% to 100%%, such as \"40%%\"", text)
	}
	*s = Share(x / 100)
	return nil
}

// MarshalText writes a time as it is read.
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(m), 'f', -1, 64) + "ms"), nil
}

// MarshalText writes a share as it is read.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(100*float64(s), 'f', -1, 64) + "%"), nil
}
