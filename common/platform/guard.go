package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"yuccaspread/common/clock"
)

// DefaultCallsPerSecond is the rate limit of a Guard that names none. Eight
// daemons at it stay below the two thousand reads a second of the platform.
const DefaultCallsPerSecond = 200

// Bounds of the retries.
const (
	// maxTries bounds the tries of one call.
	maxTries = 3
	// minPause and maxPause bound the random pause before the second try; the
	// next one is up to twice as long.
	minPause = 20 * clock.Millisecond
	maxPause = 100 * clock.Millisecond
	// retryShare is the number of retries that each call pays into the budget.
	retryShare = 0.1
	// maxBudget is the number of retries that may be saved up.
	maxBudget = 10
)

// ErrOpen is wrapped by the error of a call that was not sent because the
// calls before it failed.
var ErrOpen = errors.New("the service has failed and is left alone for a moment")

// Guard keeps the calls of one daemon to the platform within bounds: one
// deadline for each call and all of its tries, a rate limit over all services,
// retries with jitter and a budget, and a breaker for each service. Its
// exported fields are set before Protect.
type Guard struct {
	Clock clock.Clock
	// CallsPerSecond bounds all calls; 0 stands for DefaultCallsPerSecond.
	CallsPerSecond float64
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer

	limiter *rate.Limiter
	calls   *prometheus.CounterVec
	// mu guards budget.
	mu sync.Mutex
	// budget is the number of retries that may be made, at most maxBudget.
	budget float64
}

// Protect returns a client that calls the given one within the bounds.
func (g *Guard) Protect(client Client) Client {
	perSecond := g.CallsPerSecond
	if perSecond <= 0 {
		perSecond = DefaultCallsPerSecond
	}
	g.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	g.budget = maxBudget
	g.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_platform_calls_total",
		Help: "Calls to the platform by operation and outcome, retries included.",
	}, []string{"op", "outcome"})
	if g.Registerer != nil {
		g.Registerer.MustRegister(g.calls)
	}
	return Client{
		Table:       &guardedTable{service{guard: g}, client.Table},
		ObjectStore: &guardedObjects{service{guard: g}, client.ObjectStore},
		VMList:      &guardedVMs{service{guard: g}, client.VMList},
		WeightStore: &guardedWeights{service{guard: g}, client.WeightStore},
	}
}

// service is one of the platform's services behind a guard.
type service struct {
	guard *Guard
	// mu guards breaker.
	mu      sync.Mutex
	breaker breaker
}

// guarded makes one call and tries again where that can do no harm.
func guarded[T any](ctx context.Context, s *service, op string, call func(context.Context) (T, error)) (value T, err error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout.Duration())
	defer cancel()
	s.guard.pay(retryShare)
	for try := 1; ; try++ {
		value, err = attempt(ctx, s, op, call)
		if err == nil || try == maxTries || !repeatable(err) || !s.guard.spend() || !clock.Sleep(ctx, minPause+rand.N(clock.Millis(try)*maxPause)) {
			return value, err
		}
	}
}

// attempt makes one try within the rate limit and the breaker.
func attempt[T any](ctx context.Context, s *service, op string, call func(context.Context) (T, error)) (value T, err error) {
	if !s.admits() {
		s.guard.count(op, "open")
		return value, &Error{Op: op, Certainty: NotDone, Err: ErrOpen}
	}
	if err = s.guard.limiter.Wait(ctx); err != nil {
		s.note(neutral)
		s.guard.count(op, "limited")
		return value, &Error{Op: op, Certainty: NotDone, Err: err}
	}
	value, err = call(ctx)
	s.note(verdictOf(err))
	s.guard.count(op, outcome(err))
	return value, err
}

func (s *service) admits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.admit(s.guard.Clock.Now())
}

func (s *service) note(v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaker.note(s.guard.Clock.Now(), v, rand.Float64())
}

// verdictOf tells what the end of a call says about the service itself. One
// that refuses a call for its content or for the rate of calls is well; a
// call that its caller gave up says nothing.
func verdictOf(err error) verdict {
	var status *StatusError
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
		return well
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return well
	case errors.Is(err, context.Canceled):
		return neutral
	default:
		return failing
	}
}

// repeatable tells whether another try may help and can do no harm.
func repeatable(err error) bool {
	if CertaintyOf(err) != NotDone || errors.Is(err, ErrOpen) || errors.Is(err, ErrNotFound) {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status >= http.StatusInternalServerError || status.Status == http.StatusTooManyRequests
	}
	return true
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	default:
		return CertaintyOf(err).String()
	}
}

func (g *Guard) pay(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = min(g.budget+share, maxBudget)
}

// spend takes one retry from the budget and reports false where none is left.
func (g *Guard) spend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget < 1 {
		return false
	}
	g.budget--
	return true
}

func (g *Guard) count(op, outcome string) {
	g.calls.WithLabelValues(op, outcome).Inc()
}
