package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// tokenHash returns the hash under which the inventory stores a token.
func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// callAs sends a request to the first daemon with the given token and returns
// the status and the decoded reply.
func (f *fleet) callAs(token, method, path string, body any) (status int, reply map[string]any) {
	f.t.Helper()
	content, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://127.0.0.1:"+f.ports["LISTEN_0"]+path, strings.NewReader(string(content)))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err = json.NewDecoder(res.Body).Decode(&reply); err != nil {
		f.t.Fatal(err)
	}
	return res.StatusCode, reply
}

// weightChange returns a change of the weight of the organisation "families".
func weightChange(base int64, id string, weight int) inventory.Delta {
	value := fmt.Sprintf(`{"name":"families","token_sha256":%q,"weight":%d}`, tokenHash(callerToken), weight)
	return inventory.Delta{Base: base, ChangeID: id, Set: []inventory.Entry{{
		Key: inventory.Key{Kind: inventory.OrganisationKind, Name: "families"}, Value: []byte(value),
	}}}
}

// TestOperatorRolesLimitAdministration calls the administration API as several
// operators. It fails if one exceeds its role or its organisations, or if a
// repeated, conflicting or invalid change or an undo gets the wrong answer.
func TestOperatorRolesLimitAdministration(t *testing.T) {
	f := newFleet(t, func(c *inventory.Config) {
		c.Operators = append(c.Operators,
			inventory.Operator{Name: "watcher", TokenSHA256: tokenHash("watcher"), Role: inventory.RoleViewer},
			inventory.Operator{Name: "team", TokenSHA256: tokenHash("team"), Role: inventory.RoleAdmin, Organisations: []string{"families"}},
		)
	}, "wien-a")
	steps := []struct {
		token, method, path string
		body                any
		status              int
		// contained is a text that the reply has to contain.
		contained string
	}{
		{"nobody", http.MethodGet, "/v1/admin/config", nil, 401, "unknown operator"},
		{"watcher", http.MethodPost, "/v1/admin/config", weightChange(1, "a", 5), 403, "operator"},
		{"watcher", http.MethodPost, "/v1/admin/drain", nil, 403, "operator"},
		{"team", http.MethodPost, "/v1/admin/drain", nil, 403, "all organisations"},
		{"team", http.MethodGet, "/v1/admin/audit", nil, 403, "all organisations"},
		{"team", http.MethodPost, "/v1/admin/config?dry_run=true", weightChange(1, "a", 5), 200, `"dry_run":true`},
		{"team", http.MethodPost, "/v1/admin/config", weightChange(1, "a", 5), 200, `"revision":2`},
		{"team", http.MethodPost, "/v1/admin/config", weightChange(1, "a", 5), 200, `"revision":2`},
		{"team", http.MethodPost, "/v1/admin/config", weightChange(1, "b", 6), 412, `"revision":2`},
		{"team", http.MethodPost, "/v1/admin/config", weightChange(2, "c", -1), 422, `"field":"weight"`},
		{operatorToken, http.MethodPost, "/v1/admin/undo", map[string]any{"revision": 2, "change_id": "d"}, 200, `"revision":3`},
		{operatorToken, http.MethodPost, "/v1/admin/undo", map[string]any{"revision": 99, "change_id": "e"}, 404, "history"},
		{"watcher", http.MethodGet, "/v1/admin/history?after=2", nil, 200, `"author":"vienna"`},
		{"watcher", http.MethodGet, "/v1/admin/status", nil, 200, `"accepted":3`},
		{operatorToken, http.MethodGet, "/v1/admin/audit", nil, 200, `"operator":"team"`},
		{operatorToken, http.MethodGet, "/v1/admin/config", nil, 200, `"weight":1`},
	}
	for _, s := range steps {
		status, reply := f.callAs(s.token, s.method, s.path, s.body)
		text, _ := json.Marshal(reply)
		if status != s.status || !strings.Contains(string(text), s.contained) {
			t.Errorf("%s %s %s: status %d: %s", s.token, s.method, s.path, status, text)
		}
	}
}
