//go:build !debug

package invariant

const debug = false
