package administrator

import (
	"net/http"
	"strconv"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/refuser"
)

func (a *Administrator) getConfig(w http.ResponseWriter, _ *http.Request, operator inventory.Operator) {
	writeJSON(w, http.StatusOK, visibleConfig(operator, *a.Configurer.Current()))
}

func (a *Administrator) getStatus(w http.ResponseWriter, r *http.Request, _ inventory.Operator) {
	writeJSON(w, http.StatusOK, a.Configurer.Status(r.Context()))
}

// change is an entry of the history: an accepted change and its revision.
type change struct {
	Revision int64 `json:"revision"`
	inventory.Delta
}

func (a *Administrator) getHistory(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	after, limit, ok := parsePage(w, r)
	if !ok {
		return
	}
	deltas, err := a.Configurer.History(r.Context(), after, limit)
	if err != nil {
		writeReadError(w, err)
		return
	}
	changes := []change{}
	for _, d := range deltas {
		changes = append(changes, change{d.Base + 1, visibleChange(operator, d)})
	}
	writeJSON(w, http.StatusOK, struct {
		Changes []change `json:"changes"`
	}{changes})
}

func (a *Administrator) getAudit(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if isScoped(operator) {
		forbidden("the audit log is for operators of all organisations").Write(w)
		return
	}
	limit, ok := parseNumber(w, r, "limit")
	if !ok {
		return
	}
	entries, next, err := a.Configurer.Audit(r.Context(), r.URL.Query().Get("after"), int(limit))
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Entries []configurer.AuditEntry `json:"entries"`
		// Next is the value of the query parameter "after" for the next page.
		Next string `json:"next"`
	}{entries, next})
}

func writeReadError(w http.ResponseWriter, err error) {
	refuser.New(http.StatusServiceUnavailable, "not read", err.Error()).Write(w)
}

// parsePage reads the query parameters "after" and "limit". It writes a refusal
// and returns false if one is invalid.
func parsePage(w http.ResponseWriter, r *http.Request) (after int64, limit int, ok bool) {
	after, ok = parseNumber(w, r, "after")
	if !ok {
		return 0, 0, false
	}
	count, ok := parseNumber(w, r, "limit")
	return after, int(count), ok
}

// parseNumber reads an optional query parameter that must not be negative; an
// absent one is 0. It writes a refusal and returns false if it is invalid.
func parseNumber(w http.ResponseWriter, r *http.Request, parameter string) (value int64, ok bool) {
	text := r.URL.Query().Get(parameter)
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		refuser.New(http.StatusBadRequest, "bad query", parameter+" must be a number that is not negative").Write(w)
		return 0, false
	}
	return value, true
}
