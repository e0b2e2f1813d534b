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
	if !read(w, r, &delta) {
		return
	}
	a.propose(w, r, operator, delta)
}

func (a *Administrator) postUndo(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	var order struct {
		// Revision is the one to take back.
		Revision int64 `json:"revision"`
		// Base is the revision that the operator saw; 0 stands for the newest.
		Base     int64  `json:"base"`
		ChangeID string `json:"change_id"`
	}
	if !read(w, r, &order) {
		return
	}
	if order.Base == 0 {
		order.Base = a.Configurer.Current().Revision
	}
	delta, err := a.Configurer.Undoing(r.Context(), order.Revision, order.Base)
	if err != nil {
		refuse(w, err)
		return
	}
	delta.ChangeID = order.ChangeID
	a.propose(w, r, operator, delta)
}

// propose commits the change, or only checks it where the caller asks so.
func (a *Administrator) propose(w http.ResponseWriter, r *http.Request, operator inventory.Operator, delta inventory.Delta) {
	delta.Author = operator.Name
	delta.Replaced = nil
	if err := allowed(operator, a.Configurer.Current(), delta); err != nil {
		forbidden(err.Error()).Write(w)
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		if err := a.Configurer.Preview(r.Context(), delta); err != nil {
			refuse(w, err)
			return
		}
		reply(w, http.StatusOK, struct {
			Revision int64           `json:"revision"`
			DryRun   bool            `json:"dry_run"`
			Keys     []inventory.Key `json:"keys"`
		}{delta.Base + 1, true, delta.Keys()})
		return
	}
	revision, err := a.Configurer.Commit(r.Context(), delta)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{revision})
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		refuser.New(http.StatusBadRequest, "bad body", err.Error()).Write(w)
		return false
	}
	return true
}

// refuse tells why a change was not accepted, and whether that is certain.
func refuse(w http.ResponseWriter, err error) {
	var conflict *configurer.Conflict
	switch {
	case errors.As(err, &conflict):
		refuseConflict(w, conflict)
	case errors.Is(err, configurer.ErrInvalid):
		refuseInvalid(w, err)
	case errors.Is(err, configurer.ErrChangeID):
		refuser.New(http.StatusConflict, "change id used", err.Error()).Write(w)
	case errors.Is(err, configurer.ErrUnknownRevision):
		refuser.New(http.StatusNotFound, "unknown revision", err.Error()).Write(w)
	case platform.CertaintyOf(err) == platform.NotDone:
		refuser.New(http.StatusServiceUnavailable, "not committed", err.Error()).Write(w)
	default:
		refuser.NewUnknown(http.StatusBadGateway, "outcome unknown", err.Error()+"; send the change again with the same change id").Write(w)
	}
}

func refuseConflict(w http.ResponseWriter, conflict *configurer.Conflict) {
	problem(w, http.StatusPreconditionFailed, struct {
		Title       string                  `json:"title"`
		Status      int                     `json:"status"`
		Detail      string                  `json:"detail"`
		Outcome     refuser.Outcome         `json:"outcome"`
		Revision    int64                   `json:"revision"`
		Differences []configurer.Difference `json:"differences"`
		Whole       bool                    `json:"whole"`
	}{"conflict", http.StatusPreconditionFailed, conflict.Error(), refuser.NotRun, conflict.Revision, conflict.Differences, conflict.Whole})
}

func refuseInvalid(w http.ResponseWriter, err error) {
	mistakes := inventory.Mistakes(err)
	if mistakes == nil {
		mistakes = []inventory.Mistake{{Problem: err.Error()}}
	}
	problem(w, http.StatusUnprocessableEntity, struct {
		Title    string              `json:"title"`
		Status   int                 `json:"status"`
		Detail   string              `json:"detail"`
		Outcome  refuser.Outcome     `json:"outcome"`
		Mistakes []inventory.Mistake `json:"mistakes"`
	}{"not valid", http.StatusUnprocessableEntity, err.Error(), refuser.NotRun, mistakes})
}

func problem(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
