package inventory

import "yuccaspread/common/clock"

// Provenance tells where a configuration in force comes from and how current it is. The zero
// value is that of no configuration.
type Provenance struct {
	Revision int64
	// From names who sent the configuration, and InForceMS is how long it has been in force.
	From      string
	InForceMS clock.Millis
	// ConfirmedBy names who confirmed last that there is no newer one, empty if nobody did or that
	// is not known, and ConfirmedMSAgo is the age of that confirmation.
	ConfirmedBy    string
	ConfirmedMSAgo clock.Millis
	// MayBeOutdated is set if nobody has confirmed that within the time in which an acknowledged
	// configuration has to be in force.
	MayBeOutdated bool
}

// Source provides the configuration that is in force at this daemon.
type Source interface {
	// Current returns the configuration in force. It is never nil and must not
	// be modified; its revision never decreases.
	Current() *Config
}
