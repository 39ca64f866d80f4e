package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// chatRequest holds the fields of a chat completion request that are used.
// Clients of the chat API may send other fields, which have no effect.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Seed                *int64        `json:"seed"`
	User                string        `json:"user"`
	N                   int           `json:"n"`
}

// chatMessage is one message of the conversation.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a message's text, sent as a string or as text parts.
type chatContent string

// chatPart is one part of a message's content.
type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		var parts []chatPart
		if err := json.Unmarshal(data, &parts); err != nil {
			return err
		}
		return c.join(parts)
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*c = chatContent(text)
	return nil
}

// join sets the content to the concatenated text parts. It returns an error if a
// part is not text.
func (c *chatContent) join(parts []chatPart) error {
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return verdict.Refuse(verdict.ReasonBadRequest, "content of type %q is not served; send text", p.Type)
		}
		text.WriteString(p.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// decodeChat parses and validates a chat completion request.
func decodeChat(body []byte) (chatRequest, *verdict.Error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, verdict.Refuse(verdict.ReasonBadRequest, "the body is not a chat completion request: %v", err)
	}
	switch {
	case req.Model == "":
		return req, verdict.Refuse(verdict.ReasonBadRequest, "model is missing; it names the class")
	case len(req.Messages) == 0:
		return req, verdict.Refuse(verdict.ReasonBadRequest, "messages is empty")
	case req.N > 1:
		return req, verdict.Refuse(verdict.ReasonBadRequest, "n must be 1")
	case req.MaxTokens < 0 || req.MaxCompletionTokens < 0:
		return req, verdict.Refuse(verdict.ReasonBadRequest, "max_tokens must not be negative")
	}
	return req, nil
}

// prompt returns all messages as one text, each with its role and a line break.
func (r chatRequest) prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(string(m.Content))
		text.WriteString("\n")
	}
	return text.String()
}

// maxTokens returns the limit on the answer's tokens: the one that the caller
// asks for, but at most longest, the limit of the class.
func (r chatRequest) maxTokens(longest int) int {
	asked := max(r.MaxTokens, r.MaxCompletionTokens)
	if asked == 0 || (longest > 0 && asked > longest) {
		return longest
	}
	return asked
}

// chatChunk is one event of a streamed completion.
type chatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

// chunkChoice is the single choice of a chatChunk.
type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        chatDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

// chatDelta is the text that a chunk adds to the answer.
type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatCompletion is a completion that is sent as one body.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   chatUsage          `json:"usage"`
}

// completionChoice is the single choice of a chatCompletion.
type completionChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// answerMessage is the answer of a chatCompletion.
type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatUsage holds the token counts of a chatCompletion.
type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}
