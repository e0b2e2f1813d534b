package prover_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// requireDraft fails the test unless the stream is the whole answer to the
// prompt. The engines number the tokens of an answer and prefix them with a hash
// of the prompt, so pieces that are missing, repeated or from another answer are
// detected.
func requireDraft(t *testing.T, r reply, want string, tokens int) {
	t.Helper()
	text, done := streamText(t, r.body)
	if !r.whole() || !done || text != want || strings.Count(text, " ") != tokens {
		t.Fatalf("got %d %s, end marker %v, text %q, want %q", r.status, r.outcome, done, text, want)
	}
}

// streamText returns the text of a stream and whether its end marker was seen.
func streamText(t *testing.T, body string) (text string, done bool) {
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

// TestFaultyStreamsAreRepairedToWholeAnswers makes the engine cut a stream, fall
// silent, delay it or send another request's tokens. It fails if the caller gets
// anything but the text that the engine gives without the fault.
func TestFaultyStreamsAreRepairedToWholeAnswers(t *testing.T) {
	c := newCluster(t, clusterOptions{engines: 1, serviceSlots: 1, tokenGap: 5 * time.Millisecond})
	const tokens = 40
	for _, faults := range []string{
		`{"connections":3,"cut_after":4}`, `{"connections":2,"silent_after":4}`, `{"connections":1,"late_ms":20000}`,
		`{"connections":2,"crossed_after":4}`, `{"connections":1,"crossed_head":true}`, `{"connections":1,"late_ms":500}`,
	} {
		c.setFaults(c.engineAddresses[0], `{}`)
		reference, done := streamText(t, c.draft(0, "", faults, tokens).body)
		if !done {
			t.Fatalf("%s: no reference", faults)
		}
		c.setFaults(c.engineAddresses[0], faults)
		requireDraft(t, c.draft(1, "", faults, tokens), reference, tokens)
	}
}

// TestRepeatedKeyReturnsTheSameStream repeats a key while its stream runs and
// after it has ended. It fails if a caller that reconnects doesn't get the whole
// stream from its start.
func TestRepeatedKeyReturnsTheSameStream(t *testing.T) {
	c := newCluster(t, clusterOptions{engines: 1, serviceSlots: 1, tokenGap: 20 * time.Millisecond})
	const tokens = 30
	reference, _ := streamText(t, c.draft(0, "", "question", tokens).body)
	go c.draft(0, "again", "question", tokens)
	time.Sleep(200 * time.Millisecond)
	requireDraft(t, c.draft(0, "again", "question", tokens), reference, tokens)
	requireDraft(t, c.draft(0, "again", "question", tokens), reference, tokens)
}

// TestStreamCutByEngineDeathIsNotWhole kills the only engine after the caller has
// received part of a stream. It guards against a cut stream that the caller can't
// tell from a whole one.
func TestStreamCutByEngineDeathIsNotWhole(t *testing.T) {
	c := newCluster(t, clusterOptions{engines: 1, serviceSlots: 1, tokenGap: 50 * time.Millisecond})
	out := make(chan reply, 1)
	go func() { out <- c.draft(0, "", "question", 60) }()
	time.Sleep(500 * time.Millisecond)
	c.engines[0].kill()
	r := <-out
	if _, done := streamText(t, r.body); done || r.whole() {
		t.Fatalf("a cut stream looks whole to the caller: %d %q", r.status, r.body)
	}
}

// TestCrashingRequestLosesAtMostTwoEngines repeats a request that crashes every
// engine, with new keys and at all daemons. It fails if the request crashes more
// than two of the four engines or if later repeats are not refused.
func TestCrashingRequestLosesAtMostTwoEngines(t *testing.T) {
	c := newCluster(t, clusterOptions{engines: 4, serviceSlots: 1, tokenGap: 5 * time.Millisecond})
	for _, address := range c.engineAddresses {
		c.setFaults(address, `{"crash_text":"poison"}`)
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
		if engine.hasExited() {
			lost++
		}
	}
	if lost > 2 || refused < 8 {
		t.Fatalf("%d engines crashed, want at most 2; %d of 10 requests refused, want at least 8", lost, refused)
	}
	c.await("a request that crashes nothing", func() bool { return c.draft(0, "", "innocent", 5).whole() })
}
