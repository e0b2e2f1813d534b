package inventory

// Source provides the configuration that is in force at this daemon.
type Source interface {
	// Current returns the configuration in force. It is never nil and must not
	// be modified; its revision never decreases.
	Current() *Config
}
