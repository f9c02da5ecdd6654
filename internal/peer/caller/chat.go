package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"hazelslip/internal/serve/draft"
)

// The types below are the messages of the published chat-completions protocol.

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatError struct {
	Error chatErrorDetail `json:"error"`
}

type chatErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Outcome string `json:"hazelslip_outcome,omitempty"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// decodeChat reads and validates a chat-completions request.
func decodeChat(request *http.Request) (*chatRequest, *Problem) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, bodyReadProblem(err)
	}
	return ParseChat(body)
}

// ParseChat decodes and validates the body of a chat-completions request.
func ParseChat(body []byte) (*chatRequest, *Problem) {
	chat := &chatRequest{}
	if err := json.Unmarshal(body, chat); err != nil {
		return nil, badRequest("the body is not a chat-completions request: %v", err)
	}
	if len(chat.Messages) == 0 {
		return nil, badRequest("messages must hold at least one message")
	}
	if requested := max(chat.MaxTokens, chat.MaxCompletionTokens); requested > maxTokensLimit || chat.MaxTokens < 0 || chat.MaxCompletionTokens < 0 {
		return nil, badRequest("max_tokens must be 1 to %d", maxTokensLimit)
	}
	return chat, nil
}

func (chat *chatRequest) prompt() string {
	var prompt strings.Builder
	for _, message := range chat.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	return prompt.String()
}

func (chat *chatRequest) maxTokens() int {
	if requested := max(chat.MaxTokens, chat.MaxCompletionTokens); requested > 0 {
		return requested
	}
	return defaultMaxTokens
}

func errorBody(status int, problem Problem) chatError {
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return chatError{Error: chatErrorDetail{Message: problem.Message, Type: kind, Outcome: string(problem.Outcome)}}
}

func completeResponse(job draft.Request, text string, result draft.Result) chatResponse {
	return chatResponse{
		ID: job.ID, Object: "chat.completion", Created: time.Now().Unix(), Model: job.Class.Model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &result.FinishReason}},
		Usage:   estimateUsage(job.Prompt, result.Tokens),
	}
}

// estimateUsage returns the token usage of a request. The number of prompt tokens is an estimate, since only the engine
// has the tokenizer.
func estimateUsage(prompt string, tokens int) *chatUsage {
	const bytesPerToken = 4
	estimated := len(prompt) / bytesPerToken
	return &chatUsage{PromptTokens: estimated, CompletionTokens: tokens, TotalTokens: estimated + tokens}
}

// eventWriter writes the tokens of a draft to a caller as server-sent events.
type eventWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	id         string
	model      string
	created    int64
	started    bool
	buffer     []byte
}

// writeTimeout bounds each write, in case the caller does not read.
const writeTimeout = 20 * time.Second

func (events *eventWriter) writeToken(token string) error {
	delta := &chatDelta{Content: token}
	if !events.started {
		events.started = true
		delta.Role = "assistant"
		events.writer.Header().Set("Content-Type", "text/event-stream")
		events.writer.Header().Set("Cache-Control", "no-store")
	}
	return events.writeChunk(chatChoice{Delta: delta})
}

func (events *eventWriter) writeChunk(choice chatChoice) error {
	return events.writeEvent(chatResponse{
		ID: events.id, Object: "chat.completion.chunk", Created: events.created, Model: events.model,
		Choices: []chatChoice{choice},
	})
}

func (events *eventWriter) writeEvent(value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return events.writeData(body)
}

func (events *eventWriter) writeData(body []byte) error {
	events.buffer = append(events.buffer[:0], "data: "...)
	events.buffer = append(events.buffer, body...)
	events.buffer = append(events.buffer, "\n\n"...)
	_ = events.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := events.writer.Write(events.buffer); err != nil {
		return err
	}
	return events.controller.Flush()
}

func (events *eventWriter) finish(result draft.Result) {
	if !events.started {
		events.writer.Header().Set("Content-Type", "text/event-stream")
	}
	if err := events.writeChunk(chatChoice{Delta: &chatDelta{}, FinishReason: &result.FinishReason}); err != nil {
		return
	}
	_ = events.writeData([]byte("[DONE]"))
}

func (events *eventWriter) writeError(problem Problem) {
	_ = events.writeEvent(errorBody(problem.Status, problem))
}
