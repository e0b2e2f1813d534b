package administrator

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/daemon/configurer"
)

// bootstrapHash is the SHA-256 of "operator-token".
const bootstrapHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"

// TestCallsAreRateLimitedPerOperatorAndForUnknownTokens exceeds both rate limits.
// It fails if guesses of tokens are not limited or use up the calls of an
// operator, or if an operator gets more calls than its burst and rate.
func TestCallsAreRateLimitedPerOperatorAndForUnknownTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := mux.NewRouter()
		a := &Administrator{Configurer: &configurer.Configurer{}, BootstrapTokenSHA256: bootstrapHash}
		a.Register(router)
		calls := func(token string, count int) (statuses map[int]int) {
			statuses = map[int]int{}
			for range count {
				r := httptest.NewRequest(http.MethodGet, "/v1/admin/config", nil)
				r.Header.Set("Authorization", "Bearer "+token)
				w := httptest.NewRecorder()
				router.ServeHTTP(w, r)
				statuses[w.Code]++
			}
			return statuses
		}
		if got := calls("guess", 100); got[http.StatusUnauthorized] != unknownTokenCallBurst || got[http.StatusTooManyRequests] != 100-unknownTokenCallBurst {
			t.Errorf("statuses for an unknown token: %v", got)
		}
		if got := calls("operator-token", 100); got[http.StatusOK] != callBurst || got[http.StatusTooManyRequests] != 100-callBurst {
			t.Errorf("statuses for an operator: %v", got)
		}
		time.Sleep(time.Second)
		if got := calls("operator-token", 100); got[http.StatusOK] != callsPerSecond {
			t.Errorf("statuses for an operator a second later: %v", got)
		}
	})
}
