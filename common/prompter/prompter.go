// Package prompter reads the part of a completion request, in the OpenAI
// form, that daemons and engines must understand alike: the hashes of a
// prompt's blocks agree only where its text does.
package prompter

import "strings"

// Request is what a completion request says of itself.
type Request struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens bounds the answer; 0 or less for no bound.
	MaxTokens int `json:"max_tokens"`
	// Prompt is set by /v1/completions, Messages by /v1/chat/completions.
	Prompt   string    `json:"prompt"`
	Messages []Message `json:"messages"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Text returns the prompt as one text, whichever form the request has.
func (r Request) Text() string {
	var all strings.Builder
	all.WriteString(r.Prompt)
	for _, m := range r.Messages {
		all.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return all.String()
}
