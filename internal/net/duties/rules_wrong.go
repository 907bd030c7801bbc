//go:build wrong_rules && !wrong_trust && !wrong_fence && !wrong_plain

package duties

const (
	leasesNeverExpire = false
	fencingDisabled   = false
	agreementDisabled = false
	rulesNeverExpire  = true
)
