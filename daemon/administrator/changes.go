package administrator

import (
	"encoding/json"
	"errors"
	"net/http"

	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/refuser"
)

func (a *Administrator) postConfig(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	var delta inventory.Delta
	if !decodeBody(w, r, &delta) {
		return
	}
	a.submitChange(w, r, operator, delta)
}

func (a *Administrator) postUndo(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	var request struct {
		// Revision is the revision to undo.
		Revision int64 `json:"revision"`
		// Base is the revision that the operator has seen; 0 means the newest.
		Base     int64  `json:"base"`
		ChangeID string `json:"change_id"`
	}
	if !decodeBody(w, r, &request) {
		return
	}
	if request.Base == 0 {
		request.Base = a.Configurer.Current().Revision
	}
	delta, err := a.Configurer.BuildUndo(r.Context(), request.Revision, request.Base)
	if err != nil {
		writeChangeError(w, err)
		return
	}
	delta.ChangeID = request.ChangeID
	a.submitChange(w, r, operator, delta)
}

// submitChange commits the change in the operator's name, or only validates it if
// the query has dry_run=true.
func (a *Administrator) submitChange(w http.ResponseWriter, r *http.Request, operator inventory.Operator, delta inventory.Delta) {
	delta.Author = operator.Name
	delta.Replaced = nil
	if err := checkChange(operator, a.Configurer.Current(), delta); err != nil {
		forbidden(err.Error()).Write(w)
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		if err := a.Configurer.Preview(r.Context(), delta); err != nil {
			writeChangeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, struct {
			Revision int64           `json:"revision"`
			DryRun   bool            `json:"dry_run"`
			Keys     []inventory.Key `json:"keys"`
		}{delta.Base + 1, true, delta.Keys()})
		return
	}
	revision, err := a.Configurer.Commit(r.Context(), delta)
	if err != nil {
		writeChangeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{revision})
}

// decodeBody decodes the JSON body of a request. It writes a refusal and returns
// false if the body is invalid, too large or has unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		refuser.New(http.StatusBadRequest, "bad body", err.Error()).Write(w)
		return false
	}
	return true
}

// writeChangeError replies with the reason why a change failed. The outcome is
// unknown where the change may have been committed all the same.
func writeChangeError(w http.ResponseWriter, err error) {
	var conflict *configurer.Conflict
	switch {
	case errors.As(err, &conflict):
		writeConflict(w, conflict)
	case errors.Is(err, configurer.ErrInvalid):
		writeInvalid(w, err)
	case errors.Is(err, configurer.ErrChangeID):
		refuser.New(http.StatusConflict, "change id used", err.Error()).Write(w)
	case errors.Is(err, configurer.ErrUnknownRevision):
		refuser.New(http.StatusNotFound, "unknown revision", err.Error()).Write(w)
	case platform.EffectOf(err) == platform.NoEffect:
		refuser.New(http.StatusServiceUnavailable, "not committed", err.Error()).Write(w)
	default:
		refuser.NewUnknown(http.StatusBadGateway, "outcome unknown", err.Error()+"; send the change again with the same change id").Write(w)
	}
}

// writeConflict replies with the differences between the change's base and the
// current revision.
func writeConflict(w http.ResponseWriter, conflict *configurer.Conflict) {
	writeProblem(w, http.StatusPreconditionFailed, struct {
		Title       string                  `json:"title"`
		Status      int                     `json:"status"`
		Detail      string                  `json:"detail"`
		Outcome     refuser.Outcome         `json:"outcome"`
		Revision    int64                   `json:"revision"`
		Differences []configurer.Difference `json:"differences"`
		Complete    bool                    `json:"whole"`
	}{"conflict", http.StatusPreconditionFailed, conflict.Error(), refuser.NotRun, conflict.Revision, conflict.Differences, conflict.Complete})
}

// writeInvalid replies with the mistakes in a change that failed validation.
func writeInvalid(w http.ResponseWriter, err error) {
	mistakes := inventory.ValidationErrors(err)
	if mistakes == nil {
		mistakes = []inventory.ValidationError{{Problem: err.Error()}}
	}
	writeProblem(w, http.StatusUnprocessableEntity, struct {
		Title    string                      `json:"title"`
		Status   int                         `json:"status"`
		Detail   string                      `json:"detail"`
		Outcome  refuser.Outcome             `json:"outcome"`
		Mistakes []inventory.ValidationError `json:"mistakes"`
	}{"not valid", http.StatusUnprocessableEntity, err.Error(), refuser.NotRun, mistakes})
}

// writeProblem writes a reply of type application/problem+json.
func writeProblem(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
