// Package administrator serves the HTTP administration API of a daemon. It
// authenticates operators by bearer token, enforces their roles and rate limits,
// and passes their changes to the configurer.
package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/refuser"
)

// Limits of the API.
const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 32 << 20
	// callsPerSecond and callBurst limit the calls of one operator.
	callsPerSecond = 20
	callBurst      = 60
	// unknownTokenCallsPerSecond and unknownTokenCallBurst limit the calls with a
	// missing or unknown token, from all sources together.
	unknownTokenCallsPerSecond = 5
	unknownTokenCallBurst      = 20
	// rateLimitRetryAfter is the Retry-After of calls over their limit.
	rateLimitRetryAfter = 1 * clock.Second
)

// Administrator serves /v1/admin. Its exported fields are set before Register.
type Administrator struct {
	Configurer *configurer.Configurer
	Clock      clock.Clock
	// Daemon is the name of this daemon in audit entries.
	Daemon string
	// BootstrapTokenSHA256 is the hash of a token that works while the
	// inventory holds no operator; empty for none.
	BootstrapTokenSHA256 string
	// Stop begins a planned stop of this daemon; if nil, drain calls are refused.
	Stop func()
	// Recorder is the flight recorder; nil for none.
	Recorder *recorder.Recorder
	// Moves serves GET /moves; nil answers it with status 404.
	Moves http.Handler
	// Explain serves POST /explain for an operator who may ask for some organisations; nil answers it
	// with status 404.
	Explain func(w http.ResponseWriter, r *http.Request, mayAsk func(organisation string) bool)

	limitersOnce sync.Once
	// unknownTokenLimiter limits calls without a known token.
	unknownTokenLimiter *rate.Limiter
	// mu guards operatorLimiters.
	mu sync.Mutex
	// operatorLimiters limit the calls of each operator, by name.
	operatorLimiters map[string]*rate.Limiter
}

// operatorHandler handles a request of an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator inventory.Operator)

// Register adds the handlers to router.
func (a *Administrator) Register(router *mux.Router) {
	admin := router.PathPrefix("/v1/admin").Subrouter()
	get := func(path string, next operatorHandler) {
		admin.HandleFunc(path, a.requireRole(inventory.RoleViewer, next)).Methods(http.MethodGet)
	}
	post := func(path string, next operatorHandler) {
		admin.HandleFunc(path, a.requireRole(inventory.RoleOperator, next)).Methods(http.MethodPost)
	}
	get("/config", a.getConfig)
	post("/config", a.postConfig)
	get("/history", a.getHistory)
	post("/undo", a.postUndo)
	get("/status", a.getStatus)
	get("/moves", a.getMoves)
	get("/audit", a.getAudit)
	admin.HandleFunc("/explain", a.requireRole(inventory.RoleViewer, a.postExplain)).Methods(http.MethodPost)
	post("/drain", a.postDrain)
	get("/recorder", a.getRecorder)
	post("/recorder", a.postRecorder)
}

// requireRole returns a handler that passes requests of operators with the role
// and within their rate limit on to next and refuses all others.
func (a *Administrator) requireRole(role inventory.Role, next operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, refusal := a.authorise(r, role)
		if refusal != nil {
			refusal.Write(w)
			return
		}
		next(w, r, operator)
	}
}

// authorise returns the operator of a request, or the refusal if the token is
// unknown, the rate limit is exceeded or the role is too low.
func (a *Administrator) authorise(r *http.Request, role inventory.Role) (operator inventory.Operator, refusal *refuser.Refusal) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	operator, found := identify(a.Configurer.Current(), a.BootstrapTokenSHA256, token)
	switch {
	case !bearer || !found:
		if !a.limiterFor("").Allow() {
			return operator, rateLimited()
		}
		return operator, refuser.New(http.StatusUnauthorized, "unknown operator", "send an operator's token as a bearer token")
	case !a.limiterFor(operator.Name).Allow():
		return operator, rateLimited()
	case !hasRole(operator, role):
		return operator, forbidden("this takes the role " + string(role))
	}
	return operator, nil
}

func rateLimited() *refuser.Refusal {
	refusal := refuser.New(http.StatusTooManyRequests, "too many calls", "the rate limit of the administration API is reached")
	refusal.RetryAfter = rateLimitRetryAfter
	return refusal
}

func forbidden(detail string) *refuser.Refusal {
	return refuser.New(http.StatusForbidden, "not allowed", detail)
}

// limiterFor returns the rate limiter of an operator; the empty name stands for
// all calls without a known token.
func (a *Administrator) limiterFor(name string) *rate.Limiter {
	a.limitersOnce.Do(func() {
		a.unknownTokenLimiter = rate.NewLimiter(unknownTokenCallsPerSecond, unknownTokenCallBurst)
		a.operatorLimiters = map[string]*rate.Limiter{}
	})
	if name == "" {
		return a.unknownTokenLimiter
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter, found := a.operatorLimiters[name]
	if !found {
		limiter = rate.NewLimiter(callsPerSecond, callBurst)
		a.operatorLimiters[name] = limiter
	}
	return limiter
}

// writeJSON writes a reply with a JSON body. Errors of the encoder are ignored
// because the status has already been sent.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// postDrain begins a planned stop of this daemon and replies without waiting for
// postExplain serves what the explainer tells.
func (a *Administrator) postExplain(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if a.Explain == nil {
		http.NotFound(w, r)
		return
	}
	a.Explain(w, r, func(organisation string) bool {
		return len(operator.Organisations) == 0 || slices.Contains(operator.Organisations, organisation)
	})
}

// its end.
func (a *Administrator) postDrain(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if isScoped(operator) {
		forbidden("draining is for operators of all organisations").Write(w)
		return
	}
	if a.Stop == nil {
		refuser.New(http.StatusNotImplemented, "no drain", "this daemon cannot stop itself").Write(w)
		return
	}
	entry := configurer.AuditEntry{
		Time: a.Clock.Now(), Operator: operator.Name, Action: configurer.ActionDrain, Daemon: a.Daemon,
	}
	// The stop proceeds without an audit entry if the table is down, because an
	// outage must not prevent the removal of a VM.
	audited := a.Configurer.RecordAudit(context.WithoutCancel(r.Context()), entry) == nil
	writeJSON(w, http.StatusAccepted, struct {
		Daemon  string `json:"daemon"`
		Audited bool   `json:"audited"`
	}{a.Daemon, audited})
	a.Stop()
}

func (a *Administrator) getMoves(w http.ResponseWriter, r *http.Request, _ inventory.Operator) {
	if a.Moves == nil {
		http.NotFound(w, r)
		return
	}
	a.Moves.ServeHTTP(w, r)
}
