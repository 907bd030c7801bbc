package gearman

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"cottonwell/internal/net/httpio"
)

// jobKey identifies a job in flight, which a job with the same key joins.
type jobKey struct {
	function string
	unique   string // as the client sent it
	workload string // if unique is workloadUnique
}

// workloadUnique is the unique of a job whose workload identifies it, as the published protocol defines it.
const workloadUnique = "-"

// newJobKey returns the key of a job.
func newJobKey(function, unique, workload string) jobKey {
	key := jobKey{function: function, unique: unique}
	if unique == workloadUnique {
		key.workload = workload
	}
	return key
}

// joinable reports whether another job may join a job with this key.
func (k jobKey) joinable() bool { return k.unique != "" }

// subject returns the key of what the job is about, for the core.
func (k jobKey) subject() string {
	if k.unique == workloadUnique {
		return targetKey(k.workload)
	}
	return k.unique
}

// digestPrefix begins a key that is the digest of a unique.
const digestPrefix = "sha256:"

// targetKey returns the idempotency key that stands for a unique at HTTP targets. A unique may contain any byte but NUL, and
// a key is part of a request's head. A unique that cannot be written there is replaced by its digest. Different uniques
// have different keys, so one that looks like a digest is replaced, too.
func targetKey(unique string) string {
	if len(unique) <= maxNameLen && httpio.ValidFieldValue(unique) && !strings.HasPrefix(unique, digestPrefix) {
		return unique
	}
	digest := sha256.Sum256([]byte(unique))
	return digestPrefix + hex.EncodeToString(digest[:])
}
