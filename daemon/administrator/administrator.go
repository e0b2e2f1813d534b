// Package administrator serves the administration API.
package administrator

import (
	"context"
	"encoding/json"
	"net/http"
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

// Bounds of the API.
const (
	// maxBodyBytes bounds a change.
	maxBodyBytes = 32 << 20
	// callsPerSecond and callBurst bound the calls of one operator.
	callsPerSecond = 20
	callBurst      = 60
	// badTokensPerSecond and badTokenBurst bound the calls with a token that
	// nobody has, from anywhere.
	badTokensPerSecond = 5
	badTokenBurst      = 20
	// limitedRetry tells callers over their limit when to try again.
	limitedRetry = 1 * clock.Second
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
	// Stop begins a planned stop of this daemon; nil refuses it.
	Stop func()
	// Recorder is the flight recorder; nil for none.
	Recorder *recorder.Recorder
	// Moves answers with the moves; nil leaves the page out.
	Moves http.Handler

	once sync.Once
	// strangers bounds calls without a known token.
	strangers *rate.Limiter
	// mu guards limits.
	mu sync.Mutex
	// limits bounds the calls of each operator by name.
	limits map[string]*rate.Limiter
}

// handler answers a call of a known operator.
type handler func(w http.ResponseWriter, r *http.Request, operator inventory.Operator)

// Register adds the handlers to router.
func (a *Administrator) Register(router *mux.Router) {
	admin := router.PathPrefix("/v1/admin").Subrouter()
	get := func(path string, next handler) {
		admin.HandleFunc(path, a.guard(inventory.RoleViewer, next)).Methods(http.MethodGet)
	}
	post := func(path string, next handler) {
		admin.HandleFunc(path, a.guard(inventory.RoleOperator, next)).Methods(http.MethodPost)
	}
	get("/config", a.getConfig)
	post("/config", a.postConfig)
	get("/history", a.getHistory)
	post("/undo", a.postUndo)
	get("/status", a.getStatus)
	get("/moves", a.getMoves)
	get("/audit", a.getAudit)
	post("/drain", a.postDrain)
	get("/recorder", a.getRecord)
	post("/recorder", a.postRecorder)
}

// guard admits operators with the role, within their rate.
func (a *Administrator) guard(role inventory.Role, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, refusal := a.admit(r, role)
		if refusal != nil {
			refusal.Write(w)
			return
		}
		next(w, r, operator)
	}
}

func (a *Administrator) admit(r *http.Request, role inventory.Role) (operator inventory.Operator, refusal *refuser.Refusal) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	operator, found := identify(a.Configurer.Current(), a.BootstrapTokenSHA256, token)
	switch {
	case !bearer || !found:
		if !a.limiter("").Allow() {
			return operator, limited()
		}
		return operator, refuser.New(http.StatusUnauthorized, "unknown operator", "send an operator's token as a bearer token")
	case !a.limiter(operator.Name).Allow():
		return operator, limited()
	case !may(operator, role):
		return operator, forbidden("this takes the role " + string(role))
	}
	return operator, nil
}

func limited() *refuser.Refusal {
	refusal := refuser.New(http.StatusTooManyRequests, "too many calls", "the rate limit of the administration API is reached")
	refusal.RetryAfter = limitedRetry
	return refusal
}

func forbidden(detail string) *refuser.Refusal {
	return refuser.New(http.StatusForbidden, "not allowed", detail)
}

// limiter returns the limiter of an operator, or of all strangers for the
// empty name.
func (a *Administrator) limiter(name string) *rate.Limiter {
	a.once.Do(func() {
		a.strangers = rate.NewLimiter(badTokensPerSecond, badTokenBurst)
		a.limits = map[string]*rate.Limiter{}
	})
	if name == "" {
		return a.strangers
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	limiter, found := a.limits[name]
	if !found {
		limiter = rate.NewLimiter(callsPerSecond, callBurst)
		a.limits[name] = limiter
	}
	return limiter
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// postDrain begins a planned stop of this daemon and answers at once.
func (a *Administrator) postDrain(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if scoped(operator) {
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
	// The stop goes on without the entry: a table that is down must not keep a
	// VM from being taken away.
	noted := a.Configurer.Note(context.WithoutCancel(r.Context()), entry) == nil
	reply(w, http.StatusAccepted, struct {
		Daemon  string `json:"daemon"`
		Audited bool   `json:"audited"`
	}{a.Daemon, noted})
	a.Stop()
}

func (a *Administrator) getMoves(w http.ResponseWriter, r *http.Request, _ inventory.Operator) {
	if a.Moves == nil {
		http.NotFound(w, r)
		return
	}
	a.Moves.ServeHTTP(w, r)
}
