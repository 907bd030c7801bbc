//go:build wrong_trust && !wrong_fence && !wrong_plain && !wrong_rules

package fleethost

const (
	leasesNeverExpire = true
	fencingDisabled   = false
	agreementDisabled = false
	rulesNeverExpire  = false
)
