package listener_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/rationer"
)

// TestOutdatedConfigurationRefusesNothingForGood guards against a caller who gives up on a route
// or a key that exists, because the daemon it came to could not learn of it.
func TestOutdatedConfigurationRefusesNothingForGood(t *testing.T) {
	source := config()
	source.Routes = append(source.Routes, inventory.Route{Name: "hosted", Host: "tents.example", Path: "/seats/", Pool: "bookings", Tier: "high"})
	for name, c := range map[string]struct {
		path, key     string
		mayBeOutdated bool
		status        int
	}{
		"unknown route":               {"/tables/1", "secret", false, http.StatusNotFound},
		"unknown route, outdated":     {"/tables/1", "secret", true, http.StatusServiceUnavailable},
		"unknown key":                 {"/seats/1", "other", false, http.StatusUnauthorized},
		"unknown key, outdated":       {"/seats/1", "other", true, http.StatusServiceUnavailable},
		"known, outdated":             {"/seats/1", "secret", true, http.StatusOK},
		"without an id, and outdated": {"/seats/1", "secret", true, http.StatusBadRequest},
	} {
		l := &listener.Listener{
			Source: source, Clock: clock.System{}, Memory: &rationer.Rationer{MaxBytes: 1500},
			Handler: handlerFunc(func(w http.ResponseWriter, _ *classifier.Request) error {
				w.WriteHeader(http.StatusOK)
				return nil
			}),
			Head: func(r *http.Request) classifier.Head {
				return classifier.Head{ID: r.Header.Get("Id"), Host: "tents.example", Path: r.URL.Path, Credential: c.key, Method: r.Method, Header: r.Header}
			},
			Provenance: func() inventory.Provenance { return inventory.Provenance{Revision: 1, MayBeOutdated: c.mayBeOutdated} },
		}
		w, r := httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
		r.URL.Path = c.path
		if c.status != http.StatusBadRequest {
			r.Header.Set("Id", "1")
		}
		l.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("%s: answered with %d, want %d", name, w.Code, c.status)
		}
		if promised := w.Header().Get("Retry-After") != ""; promised != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%s: Retry-After is set: %t", name, promised)
		}
	}
}
