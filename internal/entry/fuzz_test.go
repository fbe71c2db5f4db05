package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/hawthornwick/hawthornwick/internal/result"
)

// FuzzCredential checks that a key is accepted from a single well-formed header
// only, without surrounding blanks, and that every refusal is proved not run.
func FuzzCredential(f *testing.F) {
	for _, seed := range [][2]string{
		{"Bearer key", ""}, {"bearer  key ", ""}, {"Basic dXNlcg==", ""}, {"Bearer", ""}, {"Bearer a, Bearer b", ""},
		{"Bearer a", "Bearer b"}, {"Bearer\tkey", ""}, {" Bearer key", ""}, {"", "Bearer key"},
	} {
		f.Add(seed[0], seed[1])
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		h := http.Header{"Authorization": {first}}
		if second != "" {
			h.Add("Authorization", second)
		}
		var gate result.Gate
		key, refusal := credential(h, &gate)
		switch {
		case refusal != nil && !refusal.NotRun():
			t.Fatal("refusal without proof")
		case refusal != nil:
			return
		case second != "" || key == "" || key != strings.TrimSpace(key):
			t.Fatalf("key %q of %q and %q", key, first, second)
		case !strings.EqualFold(first[:len("Bearer ")], "Bearer ") || !strings.HasSuffix(strings.TrimSpace(first), key):
			t.Fatalf("key %q of %q", key, first)
		}
	})
}

// FuzzModelBody checks that the router reads the same fields as a decoder that
// matches field names by exact case.
func FuzzModelBody(f *testing.F) {
	for _, seed := range []string{
		chat, streamedChat, `{"model":"a","MODEL":"b","prompt":"x"}`, `{"Model":"a","prompt":"x"}`, `{"model":"a","stream":"yes","prompt":1}`,
		`{"model":null,"messages":[]}`, `[]`, `{}`, `{"model":"a","prompt":"x","Stream":true}`, `{"model":"a","prompt":"x"} {}`, "{\"model\":\"\xff\",\"prompt\":1}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := parseModelBody(body)
		if err != nil {
			return
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body, &fields); err != nil {
			t.Fatalf("accepted a body that is no object: %v", err)
		}
		var model string
		var stream bool
		_ = json.Unmarshal(fields["model"], &model)
		_ = json.Unmarshal(fields["stream"], &stream)
		if m.Model != model || m.Stream != stream || m.Model == "" {
			t.Fatalf("read model %q and stream %v of %q", m.Model, m.Stream, body)
		}
		if m.inputTokens() < 1 {
			t.Fatal("no input tokens")
		}
	})
}
