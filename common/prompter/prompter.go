// Package prompter defines the fields of a completion request in the OpenAI
// format that both daemons and engines read, and derives the prompt's text from
// them. Both must derive the same text, or the hashes of the prompt's blocks
// differ.
package prompter

import "strings"

// Request is the body of a completion request, as far as yuccaspread reads it.
type Request struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens limits the length of the answer; 0 or less means no limit.
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

// Text returns the prompt as a single text, from Prompt and Messages alike.
func (r Request) Text() string {
	var text strings.Builder
	text.WriteString(r.Prompt)
	for _, m := range r.Messages {
		text.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return text.String()
}
