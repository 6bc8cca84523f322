package relay

import (
	"testing"
	"time"

	"tamarackcross/config"
	"tamarackcross/proxy"
)

// FuzzRequest guards against a message of another instance that ends the process of a holder.
func FuzzRequest(f *testing.F) {
	h, err := encode(proxy.Forwarded{
		Request: proxy.Request{ID: "1", Text: "write x 1", Statement: proxy.Write{}}, NewUnit: true, Database: "db", Customer: "c", Caller: "u",
		Route: config.Route{Service: "svc", Timeout: time.Second}, Begin: &proxy.Begin{ReadOnly: true}, Values: map[string]string{"a": "b"},
	})
	if err != nil {
		f.Fatal(err)
	}
	data, err := encoding{}.Marshal(h)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := new(forwardedRequest)
		if err := (encoding{}).Unmarshal(data, h); err != nil {
			return
		}
		if req, err := h.decode(); err == nil && (req.Forwarded == nil || req.Statement == nil) {
			t.Fatalf("incomplete request %+v", req)
		}
	})
}

// FuzzReply guards against a message of a holder that ends the process of the instance that
// serves the caller.
func FuzzReply(f *testing.F) {
	data, err := encoding{}.Marshal(encodeAnswer(proxy.Answer{
		Rows: [][]byte{[]byte("1")}, Signature: "m1:x", Proof: &proxy.Proof{Member: "m1", Lags: map[string]time.Duration{"m2": time.Second}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x80})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := new(reply)
		if err := (encoding{}).Unmarshal(data, r); err == nil {
			r.answer()
		}
	})
}
