package listener_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/rationer"
	"yuccaspread/daemon/refuser"
)

type staticSource inventory.Config

func (s *staticSource) Current() *inventory.Config { return (*inventory.Config)(s) }

type handlerFunc func(w http.ResponseWriter, req *classifier.Request) error

func (f handlerFunc) Handle(_ context.Context, w http.ResponseWriter, req *classifier.Request) error {
	return f(w, req)
}

func config() *staticSource {
	sum := sha256.Sum256([]byte("secret"))
	return &staticSource{
		Revision:      1,
		Organisations: []inventory.Organisation{{Name: "tents", TokenSHA256: hex.EncodeToString(sum[:])}},
		Pools: []inventory.Pool{
			{Name: "bookings", Kind: inventory.PoolService},
			{Name: "questions", Kind: inventory.PoolModel, Model: "guide"},
		},
		Tiers: []inventory.Tier{{Name: "high", DeadlineMS: clock.Second}},
		Routes: []inventory.Route{
			{Name: "book", Path: "/bookings", Pool: "bookings", Tier: "high"},
			{Name: "question", Path: "/v1/completions", Model: "guide", Pool: "questions", Tier: "high", Idempotent: true},
		},
		Limits: inventory.Limits{BodyBytes: 1000},
	}
}

func startServer(t *testing.T, handle handlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(&listener.Listener{Source: config(), Clock: clock.System{}, Handler: handle, Memory: &rationer.Rationer{MaxBytes: 1500}})
	t.Cleanup(server.Close)
	return server
}

func post(t *testing.T, server *httptest.Server, path, body string, header ...string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return server.Client().Do(req)
}

// TestInvalidRequestIsRefusedAsNotRun guards against an invalid request that reaches
// the handler, or whose refusal does not tell the caller that it did not run.
func TestInvalidRequestIsRefusedAsNotRun(t *testing.T) {
	server := startServer(t, func(http.ResponseWriter, *classifier.Request) error {
		t.Error("a bad request reached the handler")
		return nil
	})
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
	}{
		{"unknown token", "/bookings", "{}", []string{"Authorization", "Bearer other"}, http.StatusUnauthorized},
		{"no token", "/bookings", "{}", []string{"Authorization", ""}, http.StatusUnauthorized},
		{"no route", "/nothing", "{}", nil, http.StatusNotFound},
		{"another model", "/v1/completions", `{"model":"x"}`, nil, http.StatusNotFound},
		{"no key", "/bookings", "{}", nil, http.StatusBadRequest},
		{"long key", "/bookings", "{}", []string{"Idempotency-Key", strings.Repeat("k", 200)}, http.StatusBadRequest},
		{"bad deadline", "/v1/completions", `{"model":"guide"}`, []string{"X-Request-Deadline-Ms", "-1"}, http.StatusBadRequest},
		{"torn JSON", "/v1/completions", `{"model":"gui`, nil, http.StatusBadRequest},
		{"too large", "/bookings", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			res, err := post(t, server, c.path, c.body, c.header...)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			var problem struct {
				Outcome string `json:"outcome"`
			}
			if err = json.NewDecoder(res.Body).Decode(&problem); err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != c.status || problem.Outcome != string(refuser.NotRun) {
				t.Fatalf("status %d, outcome %q", res.StatusCode, problem.Outcome)
			}
		})
	}
}

// TestIncompleteAnswerIsAnErrorForTheCaller guards against an incomplete answer that
// the caller reads as a complete one, because the connection ends without an error.
func TestIncompleteAnswerIsAnErrorForTheCaller(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, _ *classifier.Request) error {
		_, _ = io.WriteString(w, "half")
		return errors.New("upstream broke")
	})
	res, err := post(t, server, "/bookings", "{}", "Idempotency-Key", "k")
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	if _, err = io.ReadAll(res.Body); err == nil {
		t.Fatal("the caller read an incomplete answer without an error")
	}
}

// TestBodiesInProgressAreBounded guards against running out of memory when many
// requests with large bodies are in progress at once.
func TestBodiesInProgressAreBounded(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(http.ResponseWriter, *classifier.Request) error {
		entered <- struct{}{}
		<-leave
		return nil
	})
	body := strings.Repeat("x", 800)
	done := make(chan error)
	go func() {
		res, err := post(t, server, "/bookings", body, "Idempotency-Key", "1")
		if err == nil {
			err = res.Body.Close()
		}
		done <- err
	}()
	<-entered
	res, err := post(t, server, "/bookings", body, "Idempotency-Key", "2")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Fatalf("second body: %s", res.Status)
	}
	close(leave)
	if err = <-done; err != nil {
		t.Fatal(err)
	}
}
