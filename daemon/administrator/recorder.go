package administrator

import (
	"encoding/json"
	"net/http"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/refuser"
)

// getRecorder replies with the flight record of this daemon as JSON Lines.
func (a *Administrator) getRecorder(w http.ResponseWriter, _ *http.Request, operator inventory.Operator) {
	if !a.checkRecorderAccess(w, operator) {
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_ = a.Recorder.Write(w)
}

// postRecorder switches the flight recorder of this daemon on or off.
func (a *Administrator) postRecorder(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if !a.checkRecorderAccess(w, operator) {
		return
	}
	var body struct {
		On *bool `json:"on"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil || body.On == nil {
		refuser.New(http.StatusBadRequest, "bad body", `send {"on": true} or {"on": false}`).Write(w)
		return
	}
	a.Recorder.SetEnabled(*body.On)
	writeJSON(w, http.StatusOK, struct {
		Daemon string `json:"daemon"`
		On     bool   `json:"on"`
	}{a.Daemon, *body.On})
}

// checkRecorderAccess reports whether the operator may use the flight recorder,
// and writes a refusal if not. Operators that are limited to organisations may
// not, because a record names all organisations.
func (a *Administrator) checkRecorderAccess(w http.ResponseWriter, operator inventory.Operator) bool {
	switch {
	case isScoped(operator):
		forbidden("flight records are for operators of all organisations").Write(w)
		return false
	case a.Recorder == nil:
		refuser.New(http.StatusNotImplemented, "no recorder", "this daemon has no flight recorder").Write(w)
		return false
	default:
		return true
	}
}
