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

// DefaultCallsPerSecond is the rate limit of a Guard that sets none. Eight
// daemons at this limit stay below the platform's two thousand reads per second.
const DefaultCallsPerSecond = 200

// Limits of retries.
const (
	// maxAttempts is the maximum number of attempts of one call.
	maxAttempts = 3
	// minRetryDelay is the minimum delay before a retry. A random delay is added
	// to it: up to retryJitter before the second attempt, up to twice that before
	// the third.
	minRetryDelay = 20 * clock.Millisecond
	retryJitter   = 100 * clock.Millisecond
	// retriesPerCall is the number of retries that each call adds to the retry
	// budget.
	retriesPerCall = 0.1
	// maxRetryBudget is the maximum number of retries in the budget.
	maxRetryBudget = 10
)

// ErrBreakerOpen is wrapped by the error of a call that was not sent because
// earlier calls to the same service failed.
var ErrBreakerOpen = errors.New("circuit breaker is open after repeated failures of the service")

// Guard limits the calls of one daemon to the platform: a deadline for each call
// including its retries, a rate limit over all services, retries with jitter and
// a budget, and a circuit breaker for each service. Its exported fields must be
// set before Protect.
type Guard struct {
	Clock clock.Clock
	// CallsPerSecond is the rate limit of all calls, retries included; 0 or less
	// means DefaultCallsPerSecond.
	CallsPerSecond float64
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer

	limiter *rate.Limiter
	calls   *prometheus.CounterVec
	// mu guards retryBudget.
	mu sync.Mutex
	// retryBudget is the number of retries that may be made, at most
	// maxRetryBudget.
	retryBudget float64
}

// Protect returns a client that calls the given client within the limits of g.
// Call it once per Guard.
func (g *Guard) Protect(client Client) Client {
	perSecond := g.CallsPerSecond
	if perSecond <= 0 {
		perSecond = DefaultCallsPerSecond
	}
	g.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	g.retryBudget = maxRetryBudget
	g.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccaspread_platform_calls_total",
		Help: "Calls to the platform by operation and outcome, retries included.",
	}, []string{"op", "outcome"})
	if g.Registerer != nil {
		g.Registerer.MustRegister(g.calls)
	}
	return Client{
		Table:       &guardedTable{guardedService{guard: g}, client.Table},
		ObjectStore: &guardedObjects{guardedService{guard: g}, client.ObjectStore},
		VMList:      &guardedVMs{guardedService{guard: g}, client.VMList},
		WeightStore: &guardedWeights{guardedService{guard: g}, client.WeightStore},
	}
}

// guardedService is one of the platform's services behind a Guard.
type guardedService struct {
	guard *Guard
	// mu guards breaker.
	mu      sync.Mutex
	breaker breaker
}

// callWithRetries makes one call and retries it if that is safe and the budget
// allows it. The deadline covers all attempts.
func callWithRetries[T any](ctx context.Context, s *guardedService, op string, call func(context.Context) (T, error)) (value T, err error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout.Duration())
	defer cancel()
	s.guard.addRetryBudget(retriesPerCall)
	for attempts := 1; ; attempts++ {
		value, err = attempt(ctx, s, op, call)
		if err == nil || attempts == maxAttempts || !isRetryable(err) || !s.guard.takeRetry() || !clock.Sleep(ctx, minRetryDelay+rand.N(clock.Millis(attempts)*retryJitter)) {
			return value, err
		}
	}
}

// attempt makes one attempt of a call if the breaker and the rate limit allow it.
func attempt[T any](ctx context.Context, s *guardedService, op string, call func(context.Context) (T, error)) (value T, err error) {
	if !s.allowCall() {
		s.guard.countCall(op, "open")
		return value, &Error{Op: op, Effect: NoEffect, Err: ErrBreakerOpen}
	}
	if err = s.guard.limiter.Wait(ctx); err != nil {
		s.recordHealth(inconclusive)
		s.guard.countCall(op, "limited")
		return value, &Error{Op: op, Effect: NoEffect, Err: err}
	}
	value, err = call(ctx)
	s.recordHealth(serviceHealthOf(err))
	s.guard.countCall(op, outcomeLabel(err))
	return value, err
}

func (s *guardedService) allowCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.allow(s.guard.Clock.Now())
}

func (s *guardedService) recordHealth(health serviceHealth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaker.record(s.guard.Clock.Now(), health, rand.Float64())
}

// serviceHealthOf returns what the outcome of a call says about the service. A
// service that refuses a call because of its content or the rate of calls is
// healthy; a call that its caller cancelled is inconclusive.
func serviceHealthOf(err error) serviceHealth {
	var status *StatusError
	switch {
	case err == nil, errors.Is(err, ErrNotFound):
		return healthy
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return healthy
	case errors.Is(err, context.Canceled):
		return inconclusive
	default:
		return unhealthy
	}
}

// isRetryable reports whether another attempt may succeed and is safe: the
// failed one is known to have had no effect.
func isRetryable(err error) bool {
	if EffectOf(err) != NoEffect || errors.Is(err, ErrBreakerOpen) || errors.Is(err, ErrNotFound) {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status >= http.StatusInternalServerError || status.Status == http.StatusTooManyRequests
	}
	return true
}

func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	default:
		return EffectOf(err).String()
	}
}

func (g *Guard) addRetryBudget(retries float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget = min(g.retryBudget+retries, maxRetryBudget)
}

// takeRetry takes one retry from the budget. It returns false if none is left.
func (g *Guard) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryBudget < 1 {
		return false
	}
	g.retryBudget--
	return true
}

func (g *Guard) countCall(op, outcome string) {
	g.calls.WithLabelValues(op, outcome).Inc()
}
