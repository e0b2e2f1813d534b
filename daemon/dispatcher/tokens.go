package dispatcher

import (
	"encoding/json"

	"yuccaspread/daemon/relayer"
)

// closingEvents are the events of a whole stream that hold no token: the one
// that tells why it ended, and the end mark.
const closingEvents = 2

// tokens counts the output tokens of a whole answer. An answer that tells
// nothing of its length counts as one token.
func (r *run) tokens(pull *relayer.Pull) int {
	if r.req.Stream {
		return max(pull.Events()-closingEvents, 0)
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
