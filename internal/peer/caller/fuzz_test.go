package caller

import "testing"

// FuzzParseChat feeds the body of a request from outside.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`))
	f.Add([]byte(`{"messages":[{}],"max_tokens":-1}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, problem := ParseChat(body)
		if (chat == nil) == (problem == nil) {
			t.Fatal("neither a request nor a problem")
		}
		if chat != nil && (chat.tokens() < 1 || chat.tokens() > mostMaxTokens || len(chat.Messages) == 0) {
			t.Fatalf("accepted %d tokens and %d messages", chat.tokens(), len(chat.Messages))
		}
	})
}
