// Package administrator serves the administration API.
package administrator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/refuser"
)

// maxBodyBytes bounds a change.
const maxBodyBytes = 32 << 20

// Administrator serves /v1/admin. Its exported fields are set before Register.
type Administrator struct {
	Configurer *configurer.Configurer
	// BootstrapTokenSHA256 is the hash of a token that works while the
	// inventory holds no operator; empty for none.
	BootstrapTokenSHA256 string
}

// Register adds the handlers to router.
func (a *Administrator) Register(router *mux.Router) {
	admin := router.PathPrefix("/v1/admin").Subrouter()
	admin.HandleFunc("/config", a.guard(a.getConfig)).Methods(http.MethodGet)
	admin.HandleFunc("/config", a.guard(a.postConfig)).Methods(http.MethodPost)
}

// guard admits known operators only.
func (a *Administrator) guard(next func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, found := a.operator(r)
		if !found {
			refuser.New(http.StatusUnauthorized, "unknown operator", "send an operator's token as a bearer token").Write(w)
			return
		}
		next(w, r, name)
	}
}

func (a *Administrator) operator(r *http.Request) (name string, found bool) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	operators := a.Configurer.Current().Operators
	for _, o := range operators {
		if o.TokenSHA256 == hash {
			return o.Name, true
		}
	}
	return "bootstrap", len(operators) == 0 && a.BootstrapTokenSHA256 == hash
}

func (a *Administrator) getConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.Configurer.Current())
}

func (a *Administrator) postConfig(w http.ResponseWriter, r *http.Request, author string) {
	var delta inventory.Delta
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&delta)
	if err != nil {
		refuser.New(http.StatusBadRequest, "bad change", err.Error()).Write(w)
		return
	}
	delta.Author = author
	revision, err := a.Configurer.Commit(r.Context(), delta)
	switch {
	case errors.Is(err, configurer.ErrConflict):
		refuser.New(http.StatusPreconditionFailed, "conflict", err.Error()).Write(w)
	case err != nil:
		refuser.NewUnknown(http.StatusBadGateway, "not committed", err.Error()).Write(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Revision int64 `json:"revision"`
		}{revision})
	}
}
