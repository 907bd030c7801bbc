//go:build wrong_fence && !wrong_trust && !wrong_plain && !wrong_rules

package fleethost

const (
	leasesNeverExpire = false
	fencingDisabled   = true
	agreementDisabled = false
	rulesNeverExpire  = false
)
