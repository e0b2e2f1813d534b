package dispatcher

import (
	"encoding/json"

	"yuccaspread/daemon/relayer"
)

// closingEvents is the number of events at the end of a complete stream that carry no
// token: the finish reason and the end marker.
const closingEvents = 2

// outputTokens returns the number of output tokens of a complete answer. An answer
// without events that does not report its usage counts as one token.
func (r *requestState) outputTokens(relay *relayer.Relay) int {
	if r.req.Stream {
		return max(relay.EventCount()-closingEvents, 0)
	}
	_, body, kept := r.entry.Answer.Content()
	var answer struct {
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if !kept || json.Unmarshal(body, &answer) != nil || answer.Usage == nil {
		return 1
	}
	return answer.Usage.CompletionTokens
}
