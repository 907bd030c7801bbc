// Package units provides the types of values in settings files, which include their unit: durations such as "250ms" and
// shares such as "40%". The types implement encoding.TextUnmarshaler and encoding.TextMarshaler. A value without its unit is
// an error. The package does not read files.
package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Millis is a duration in milliseconds.
type Millis float64

// UnmarshalText parses a duration with its unit, in the format of time.ParseDuration. A negative duration is an error.
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

// Share is a fraction from 0 to 1.
type Share float64

// UnmarshalText parses a percentage from 0% to 100%, with its percent sign.
func (s *Share) UnmarshalText(text []byte) error {
	n, ok := strings.CutSuffix(string(text), "%")
	x, err := strconv.ParseFloat(n, 64)
	if !ok || err != nil || math.IsNaN(x) || x < 0 || x > 100 {
		return fmt.Errorf("%q is not a share of 0%% to 100%%, such as \"40%%\"", text)
	}
	*s = Share(x / 100)
	return nil
}

// MarshalText writes a duration in the format that UnmarshalText parses.
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(m), 'f', -1, 64) + "ms"), nil
}

// MarshalText writes a share in the format that UnmarshalText parses.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(100*float64(s), 'f', -1, 64) + "%"), nil
}
