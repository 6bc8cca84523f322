package authn

import "testing"

// FuzzParseCallers guards against a file of callers that ends the process instead of giving an
// error.
func FuzzParseCallers(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("callers:\n  app: SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := ParseCallers(data); err == nil && c == nil {
			t.Fatal("neither callers nor an error")
		}
	})
}
