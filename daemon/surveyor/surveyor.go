package surveyor

import (
	"context"
	"fmt"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Surveyor runs Core on what requests meet, carries out its dials and tells of changes. Its
// methods are safe for concurrent use. Its exported fields are set before use.
type Surveyor struct {
	Source inventory.Source
	Clock  clock.Clock
	// Region is that of this daemon.
	Region string
	// OnChange is called after IsCutOff has changed, by Run; nil for nobody.
	OnChange func(ctx context.Context)
	// Dial opens a connection to an upstream and awaits any answer on it.
	Dial func(ctx context.Context, address string) error
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer

	once sync.Once
	// due holds a value if a tick is due before the next TickInterval.
	due chan struct{}
	// mu guards core.
	mu   sync.Mutex
	core *Core
}

func (s *Surveyor) init() {
	s.once.Do(func() {
		s.due = make(chan struct{}, 1)
		s.core = NewCore(s.Region, uint64(s.Clock.Now()))
		if s.Registerer == nil {
			return
		}
		s.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "yuccaspread_surveyor_cut_off", Help: "1 while this daemon is taken to have no path to any upstream, else 0.",
		}, func() float64 {
			if s.IsCutOff() {
				return 1
			}
			return 0
		}))
	})
}

// Reached records an answer, or data of one, from an upstream.
func (s *Surveyor) Reached(upstream string) { s.step(Reached{Upstream: upstream}) }

// Unreached records a connection to an upstream that could not be opened, or one that broke or
// was given up without an answer.
func (s *Surveyor) Unreached(upstream string) {
	s.step(Unreached{Upstream: upstream})
	s.wake()
}

// IsCutOff reports whether this daemon is taken to have no path to any upstream.
func (s *Surveyor) IsCutOff() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.CutOff(s.Clock.Now())
}

// Run dials where that is due and tells of changes until ctx ends.
func (s *Surveyor) Run(ctx context.Context) {
	s.init()
	ticker := clock.NewTicker(TickInterval)
	defer ticker.Stop()
	var dials sync.WaitGroup
	defer dials.Wait()
	told := false
	for {
		for _, d := range s.step(Tick{Upstreams: s.Source.Current().Upstreams}) {
			dials.Go(func() { s.dial(ctx, d) })
		}
		if cutOff := s.IsCutOff(); cutOff != told {
			told = cutOff
			if s.OnChange != nil {
				s.OnChange(ctx)
			}
		}
		select {
		case <-ticker.C:
		case <-s.due:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Surveyor) wake() {
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// startedDial is a Dial and when it was asked for.
type startedDial struct {
	Dial
	started clock.Millis
}

// step lets the core handle a message, logs changes and returns the dials to carry out.
func (s *Surveyor) step(m Message) (dials []startedDial) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, e := range s.core.Step(now, m) {
		switch e := e.(type) {
		case Dial:
			dials = append(dials, startedDial{e, now})
		case Changed:
			logChange(e)
			s.wake()
		}
	}
	return dials
}

func (s *Surveyor) dial(ctx context.Context, d startedDial) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout.Duration())
	defer cancel()
	err := s.Dial(dialCtx, d.Address)
	if err != nil && ctx.Err() != nil {
		return
	}
	s.step(DialEnded{Upstream: d.Upstream, Address: d.Address, Started: d.started, Opened: err == nil})
	s.wake()
}

// maxLoggedEvidence bounds the failures of each kind in a log line.
const maxLoggedEvidence = 8

func logChange(c Changed) {
	if !c.CutOff {
		klog.InfoS("this daemon has a path to the upstreams again", "reason", c.Reason, "upstream", c.Upstream, "lasted_ms", c.Lasted,
			"last_reached_ms", c.LastReached)
		return
	}
	klog.InfoS("this daemon has no path to any upstream", "reason", c.Reason, "unreached", describe(c.Unreached), "dials_failed", describe(c.Failed),
		"last_reached_ms", c.LastReached)
}

// describe returns the failures with their ages, at most maxLoggedEvidence.
func describe(failures []Evidence) (described []string) {
	for _, f := range failures[:min(len(failures), maxLoggedEvidence)] {
		described = append(described, fmt.Sprintf("%s %d ms ago", f.Upstream, f.Age))
	}
	return described
}
