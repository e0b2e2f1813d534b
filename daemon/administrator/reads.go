package administrator

import (
	"net/http"
	"strconv"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/refuser"
)

func (a *Administrator) getConfig(w http.ResponseWriter, _ *http.Request, operator inventory.Operator) {
	reply(w, http.StatusOK, visible(operator, *a.Configurer.Current()))
}

func (a *Administrator) getStatus(w http.ResponseWriter, r *http.Request, _ inventory.Operator) {
	reply(w, http.StatusOK, a.Configurer.Status(r.Context()))
}

// change is an accepted change as the history shows it.
type change struct {
	Revision int64 `json:"revision"`
	inventory.Delta
}

func (a *Administrator) getHistory(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	after, limit, ok := page(w, r)
	if !ok {
		return
	}
	deltas, err := a.Configurer.History(r.Context(), after, limit)
	if err != nil {
		unread(w, err)
		return
	}
	changes := []change{}
	for _, d := range deltas {
		changes = append(changes, change{d.Base + 1, visibleChange(operator, d)})
	}
	reply(w, http.StatusOK, struct {
		Changes []change `json:"changes"`
	}{changes})
}

func (a *Administrator) getAudit(w http.ResponseWriter, r *http.Request, operator inventory.Operator) {
	if scoped(operator) {
		forbidden("the audit log is for operators of all organisations").Write(w)
		return
	}
	limit, ok := number(w, r, "limit")
	if !ok {
		return
	}
	entries, next, err := a.Configurer.Audit(r.Context(), r.URL.Query().Get("after"), int(limit))
	if err != nil {
		unread(w, err)
		return
	}
	reply(w, http.StatusOK, struct {
		Entries []configurer.AuditEntry `json:"entries"`
		// Next is the after of the next page.
		Next string `json:"next"`
	}{entries, next})
}

func unread(w http.ResponseWriter, err error) {
	refuser.New(http.StatusServiceUnavailable, "not read", err.Error()).Write(w)
}

func page(w http.ResponseWriter, r *http.Request) (after int64, limit int, ok bool) {
	after, ok = number(w, r, "after")
	if !ok {
		return 0, 0, false
	}
	count, ok := number(w, r, "limit")
	return after, int(count), ok
}

// number reads a number of the query that may be absent.
func number(w http.ResponseWriter, r *http.Request, name string) (value int64, ok bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		refuser.New(http.StatusBadRequest, "bad query", name+" must be a number that is not negative").Write(w)
		return 0, false
	}
	return value, true
}
