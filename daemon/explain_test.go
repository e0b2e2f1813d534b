package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// TestExplainAnswersOperators asks where requests would go, through the API and with yuccactl. It guards
// against answers to those who may not ask, against mistakes that are not named, and against an exit
// status that hides one.
func TestExplainAnswersOperators(t *testing.T) {
	f := newFleet(t, func(c *inventory.Config) {
		c.Operators = append(c.Operators,
			inventory.Operator{Name: "watcher", TokenSHA256: tokenHash("watcher"), Role: inventory.RoleViewer},
			inventory.Operator{Name: "team", TokenSHA256: tokenHash("team"), Role: inventory.RoleAdmin, Organisations: []string{"families"}},
		)
	}, "wien-a", "graz-a")
	for _, s := range []struct {
		token  string
		body   any
		status int
		// contained is a text that the reply has to contain.
		contained string
	}{
		{"nobody", map[string]any{"route": "question"}, 401, "unknown operator"},
		{"team", map[string]any{"route": "question"}, 403, "your organisations"},
		{"team", map[string]any{"route": "question", "organisation": "families"}, 200, `"verdict":"grant"`},
		{"watcher", map[string]any{"route": "question", "prompt_tokens": 500}, 200, `"chosen":true`},
		{"watcher", map[string]any{"route": "question", "excluded": []string{"graz-a-model-3", "wien-a-model-1", "wien-a-model-2"}}, 200, `"verdict":"refuse"`},
		{"watcher", map[string]any{"route": "nowhere"}, 422, "there is no route"},
		{"watcher", map[string]any{"route": "question", "organisation": "nobody"}, 422, "there is no organisation"},
		{"watcher", map[string]any{"route": "question", "pool": "bookings"}, 422, "does not lead to"},
		{"watcher", map[string]any{"route": "question", "prompt_tokens": -1}, 422, "negative"},
		{"watcher", map[string]any{"rout": "question"}, 400, "unknown field"},
	} {
		status, reply := f.callAs(s.token, http.MethodPost, "/v1/admin/explain", s.body)
		text, _ := json.Marshal(reply)
		if status != s.status || !strings.Contains(string(text), s.contained) {
			t.Errorf("%s %v: status %d: %.2000s", s.token, s.body, status, text)
		}
	}
	f.explainByCommand()
}

// explainByCommand checks what yuccactl prints and its exit status.
func (f *fleet) explainByCommand() {
	f.t.Helper()
	program := filepath.Join(f.folder, "yuccactl")
	if out, err := exec.Command("go", "build", "-o", program, "../operator").CombinedOutput(); err != nil {
		f.t.Fatalf("%v\n%s", err, out)
	}
	server := "http://127.0.0.1:" + f.ports["LISTEN_1"]
	for _, s := range []struct {
		args     []string
		status   int
		contains string
	}{
		{[]string{"--server", server, "explain", "--route", "question", "--prompt-tokens", "500"}, 0, "goes to "},
		{[]string{"--server", server, "--output", "json", "explain", "--route", "question", "--parts", "a:300,b:20"}, 0, `"verdict": "grant"`},
		{[]string{"--server", server, "explain", "--route", "nowhere"}, 2, "there is no route"},
		{[]string{"--server", server, "explain", "--route", "question", "--parts", "a"}, 2, "--parts"},
		{[]string{"--server", server, "explain"}, 2, "--route is missing"},
		{[]string{"--server", server, "explain", "--file", filepath.Join(f.folder, "none.json")}, 2, "none.json"},
		{[]string{"--server", "http://127.0.0.1:1", "explain", "--route", "question"}, 1, "can't be reached"},
		{[]string{"explain", "--id", "r-1"}, 2, "--log"},
	} {
		command := exec.Command(program, s.args...)
		command.Env = append(command.Environ(), "YUCCACTL_TOKEN="+operatorToken)
		out, _ := command.CombinedOutput()
		if command.ProcessState.ExitCode() != s.status || !strings.Contains(string(out), s.contains) {
			f.t.Errorf("%v: status %d, want %d and %q:\n%.3000s", s.args, command.ProcessState.ExitCode(), s.status, s.contains, out)
		}
	}
	f.explainFromLog(program)
}

// explainFromLog asks for a request that has been, by its id.
func (f *fleet) explainFromLog(program string) {
	f.t.Helper()
	log := filepath.Join(f.folder, "some.log")
	lines := `front-a {"time":"2","msg":"request ended","request_id":"r-1","upstream":"u1","chosen_running":3}
{"time":"1","msg":"attempt failed","request_id":"r-1","upstream":"u0","end":"not_run"}
{"time":"3","msg":"request ended","request_id":"r-11","upstream":"u2"}
not JSON r-1
`
	if err := os.WriteFile(log, []byte(lines), 0o600); err != nil {
		f.t.Fatal(err)
	}
	out, err := exec.Command(program, "explain", "--id", "r-1", "--log", log).CombinedOutput()
	text := string(out)
	if err != nil || strings.Index(text, "attempt failed") > strings.Index(text, "request ended") || !strings.Contains(text, "chosen_running=3") || strings.Contains(text, "u2") {
		f.t.Errorf("%v:\n%s", err, text)
	}
	if out, err = exec.Command(program, "explain", "--id", "r-9", "--log", log).CombinedOutput(); err == nil || !strings.Contains(string(out), "no line") {
		f.t.Errorf("an unknown id: %v:\n%s", err, out)
	}
}
