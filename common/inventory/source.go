package inventory

// Source tells the configuration that is in force at this daemon.
type Source interface {
	// Current returns the configuration in force; it is never nil, never
	// changed by anyone, and its revision never goes back.
	Current() *Config
}
