package estimator

// Priors of an upstream without measurements.
const (
	defaultPrefillBaseMS        = 20.0 // milliseconds
	defaultPrefillPerTokenMS    = 0.1  // milliseconds a token
	defaultTokenGapBaseMS       = 25.0 // milliseconds between tokens of a lone request
	defaultTokenGapPerRequestMS = 1.0  // milliseconds for each further request
	typicalPrefillTokens        = 2000 // tokens
	typicalRunning              = 16   // requests
)

// Speed is the estimated speed of one upstream, or of a generation of hardware.
type Speed struct {
	// Prefill maps the number of uncached prompt tokens to milliseconds.
	Prefill Line
	// TokenGap maps the number of running requests to milliseconds between tokens.
	TokenGap Line
}

// Speeds holds the speed of each upstream. The prior of a new upstream is the speed
// of its hardware generation. The zero value works.
type Speeds struct {
	upstreams   map[string]*Speed
	generations map[string]*Speed
}

// Upstream returns the speed of an upstream of the generation, which it adds if need
// be.
func (s *Speeds) Upstream(name, generation string) *Speed {
	if s.upstreams == nil {
		s.upstreams = map[string]*Speed{}
		s.generations = map[string]*Speed{}
	}
	speed := s.upstreams[name]
	if speed == nil {
		speed = newSpeed(s.Generation(generation))
		s.upstreams[name] = speed
	}
	return speed
}

// Generation returns the mean speed of a hardware generation, which it adds if need
// be.
func (s *Speeds) Generation(name string) *Speed {
	if s.generations == nil {
		s.generations = map[string]*Speed{}
	}
	speed := s.generations[name]
	if speed == nil {
		speed = newSpeed(nil)
		s.generations[name] = speed
	}
	return speed
}

// Reset replaces the speed of an upstream by the current speed of its generation, as
// a prior without samples.
func (s *Speeds) Reset(name, generation string) {
	if speed := s.upstreams[name]; speed != nil {
		*speed = *newSpeed(s.Generation(generation))
	}
}

// Forget removes the speed of an upstream that is gone.
func (s *Speeds) Forget(name string) { delete(s.upstreams, name) }

// DefaultPrefillMS returns the prefill time of prompt tokens, in milliseconds, on an
// upstream without measurements.
func DefaultPrefillMS(tokens int) float64 {
	return defaultPrefillBaseMS + defaultPrefillPerTokenMS*float64(tokens)
}

// newSpeed returns a speed whose prior is the current estimate of another one, or the
// defaults for nil.
func newSpeed(prior *Speed) *Speed {
	speed := &Speed{
		Prefill:  Line{Intercept: defaultPrefillBaseMS, Slope: defaultPrefillPerTokenMS, TypicalX: typicalPrefillTokens},
		TokenGap: Line{Intercept: defaultTokenGapBaseMS, Slope: defaultTokenGapPerRequestMS, TypicalX: typicalRunning},
	}
	if prior != nil {
		speed.Prefill.Intercept, speed.Prefill.Slope = prior.Prefill.Fit()
		speed.TokenGap.Intercept, speed.TokenGap.Slope = prior.TokenGap.Fit()
	}
	return speed
}
