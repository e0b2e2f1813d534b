package estimator

// First estimates of an upstream of which nothing is known.
const (
	firstPrefillStart = 20.0 // milliseconds
	firstPrefillToken = 0.1  // milliseconds a token
	firstGap          = 25.0 // milliseconds between tokens of a lone request
	firstGapRequest   = 1.0  // milliseconds for each further request
	prefillSpan       = 2000 // tokens
	gapSpan           = 16   // requests
)

// Speed is what is known of one upstream, or of a generation of hardware.
type Speed struct {
	// Prefill maps prompt tokens that are not cached to milliseconds.
	Prefill Line
	// Gap maps the number of running requests to milliseconds between tokens.
	Gap Line
}

// Speeds learns the speed of each upstream. One of which little is known
// takes over what its generation taught. The zero value works.
type Speeds struct {
	upstreams   map[string]*Speed
	generations map[string]*Speed
}

// Upstream returns the speed of an upstream of the generation.
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

// Generation returns the mean speed of a generation.
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

// Reset lets an upstream start again from what its generation taught.
func (s *Speeds) Reset(name, generation string) {
	if speed := s.upstreams[name]; speed != nil {
		*speed = *newSpeed(s.Generation(generation))
	}
}

// Forget drops an upstream that is gone.
func (s *Speeds) Forget(name string) { delete(s.upstreams, name) }

// FirstPrefill returns the time to read prompt tokens, in milliseconds, on an
// upstream of which nothing is known.
func FirstPrefill(tokens int) float64 {
	return firstPrefillStart + firstPrefillToken*float64(tokens)
}

func newSpeed(like *Speed) *Speed {
	speed := &Speed{
		Prefill: Line{A: firstPrefillStart, B: firstPrefillToken, Span: prefillSpan},
		Gap:     Line{A: firstGap, B: firstGapRequest, Span: gapSpan},
	}
	if like != nil {
		speed.Prefill.A, speed.Prefill.B = like.Prefill.Fit()
		speed.Gap.A, speed.Gap.B = like.Gap.Fit()
	}
	return speed
}
