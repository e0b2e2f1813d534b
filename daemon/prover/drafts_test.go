package prover_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// wantOwnDraft fails where a stream is not the whole answer to the prompt. The
// engines' answers count their tokens and start with a hash of the prompt, so
// pieces that are missing, doubled or another's show.
func wantOwnDraft(t *testing.T, r reply, reference string, tokens int) {
	t.Helper()
	text, done := textOf(t, r.body)
	if !r.whole() || !done || text != reference || strings.Count(text, " ") != tokens {
		t.Fatalf("got %d %s, end mark %v, text %q, want %q", r.status, r.outcome, done, text, reference)
	}
}

func textOf(t *testing.T, body string) (text string, done bool) {
	t.Helper()
	for line := range strings.SplitSeq(body, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var piece struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			t.Fatalf("%q: %v", data, err)
		}
		for _, choice := range piece.Choices {
			text += choice.Delta.Content
		}
	}
	return text, false
}

func TestBrokenSilentCrossedAndLateStreamsAreWhole(t *testing.T) {
	c := newCluster(t, shape{engines: 1, serviceSlots: 1, tokenGap: 5 * time.Millisecond})
	const tokens = 40
	for _, faults := range []string{
		`{"connections":3,"cut_after":4}`, `{"connections":2,"silent_after":4}`, `{"connections":1,"late_ms":20000}`,
		`{"connections":2,"crossed_after":4}`, `{"connections":1,"crossed_head":true}`, `{"connections":1,"late_ms":500}`,
	} {
		c.fault(c.engineAt[0], `{}`)
		reference, done := textOf(t, c.draft(0, "", faults, tokens).body)
		if !done {
			t.Fatalf("%s: no reference", faults)
		}
		c.fault(c.engineAt[0], faults)
		wantOwnDraft(t, c.draft(1, "", faults, tokens), reference, tokens)
	}
}

func TestCallerComesBackForItsStream(t *testing.T) {
	c := newCluster(t, shape{engines: 1, serviceSlots: 1, tokenGap: 20 * time.Millisecond})
	const tokens = 30
	reference, _ := textOf(t, c.draft(0, "", "question", tokens).body)
	go c.draft(0, "again", "question", tokens)
	time.Sleep(200 * time.Millisecond)
	wantOwnDraft(t, c.draft(0, "again", "question", tokens), reference, tokens)
	wantOwnDraft(t, c.draft(0, "again", "question", tokens), reference, tokens)
}

// An engine that dies under a stream of which the caller has a part: the
// caller must see that the answer is not whole.
func TestStreamOfADeadEngineIsNoWholeAnswer(t *testing.T) {
	c := newCluster(t, shape{engines: 1, serviceSlots: 1, tokenGap: 50 * time.Millisecond})
	out := make(chan reply, 1)
	go func() { out <- c.draft(0, "", "question", 60) }()
	time.Sleep(500 * time.Millisecond)
	c.engines[0].kill()
	r := <-out
	if _, done := textOf(t, r.body); done || r.whole() {
		t.Fatalf("a cut stream was passed as whole: %d %q", r.status, r.body)
	}
}

func TestCrashingRequestLosesAtMostTwoEngines(t *testing.T) {
	c := newCluster(t, shape{engines: 4, serviceSlots: 1, tokenGap: 5 * time.Millisecond})
	for _, at := range c.engineAt {
		c.fault(at, `{"crash_text":"poison"}`)
	}
	refused := 0
	for i := range 10 {
		r := c.draft(i%daemonCount, fmt.Sprintf("new-key-%d", i), "poison", 10)
		if r.whole() || r.outcome == "not_run" {
			t.Fatalf("send %d: got %d %s", i, r.status, r.outcome)
		}
		if r.status == 422 {
			refused++
		}
	}
	lost := 0
	for _, engine := range c.engines {
		if engine.gone() {
			lost++
		}
	}
	if lost > 2 || refused < 8 {
		t.Fatalf("%d engines were lost, %d sends were refused", lost, refused)
	}
	c.await("an innocent request", func() bool { return c.draft(0, "", "innocent", 5).whole() })
}
