package administrator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/configurer"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/scheduler"
)

// recorderTokenSHA256 is the hash of "operator-token".
const recorderTokenSHA256 = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"

// TestRecorderOverHTTP switches the recorder on and reads a record through the
// API. It fails if a wrong token or a body without "on" switches the recorder, or
// if the record can't be read back.
func TestRecorderOverHTTP(t *testing.T) {
	flightRecorder := &recorder.Recorder{}
	admin := &administrator.Administrator{
		Configurer: &configurer.Configurer{}, Clock: clock.System{}, BootstrapTokenSHA256: recorderTokenSHA256, Recorder: flightRecorder,
	}
	router := mux.NewRouter()
	admin.Register(router)
	call := func(method, token, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, "/v1/admin/recorder", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		return w
	}
	if w := call(http.MethodPost, "wrong", `{"on":true}`); w.Code != http.StatusUnauthorized || flightRecorder.Enabled() {
		t.Fatalf("status %d for a wrong token", w.Code)
	}
	if w := call(http.MethodPost, "operator-token", `{}`); w.Code != http.StatusBadRequest || flightRecorder.Enabled() {
		t.Fatalf("status %d for a body without \"on\"", w.Code)
	}
	if w := call(http.MethodPost, "operator-token", `{"on":true}`); w.Code != http.StatusOK || !flightRecorder.Enabled() {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	shard := recorder.RecordedScheduler{Recorder: flightRecorder, Shard: "s"}
	shard.Update(5, scheduler.Ask{Organisation: "o"})
	w := call(http.MethodGet, "operator-token", "")
	read, err := recorder.Read(w.Body)
	if err != nil || len(read) != 1 || read[0].Kind != "ask" || read[0].AtMS != 5 {
		t.Fatalf("read %v, %v", read, err)
	}
}
