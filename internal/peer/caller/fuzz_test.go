package caller

import "testing"

// FuzzParseChat feeds arbitrary request bodies. ParseChat must return either a valid request or a problem.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`))
	f.Add([]byte(`{"messages":[{}],"max_tokens":-1}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, problem := ParseChat(body)
		if (chat == nil) == (problem == nil) {
			t.Fatal("ParseChat returned both or neither of a request and a problem")
		}
		if chat != nil && (chat.maxTokens() < 1 || chat.maxTokens() > maxTokensLimit || len(chat.Messages) == 0) {
			t.Fatalf("accepted a request for %d tokens with %d messages", chat.maxTokens(), len(chat.Messages))
		}
	})
}
