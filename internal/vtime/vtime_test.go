package vtime

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunOrder(t *testing.T) {
	var q Queue
	var order []string
	record := func(s string) func() { return func() { order = append(order, s) } }
	q.After(5, record("b"))
	q.At(5, record("c"))
	q.After(1, func() { record("a")(); q.After(-3, record("at once")); q.After(99, record("too late")) })
	for q.Next(50) {
	}
	require.Equal(t, []string{"a", "at once", "b", "c"}, order)
	require.Equal(t, 5.0, q.Now)
}
