package token_test

import (
	"encoding/base64"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackcross/group"
	"tamarackcross/token"
)

var key = []byte("0123456789abcdef0123456789abcdef")

func drawVector(t *rapid.T) token.Vector {
	var v token.Vector
	for range rapid.IntRange(0, token.MaxDatabases).Draw(t, "databases") {
		db := rapid.StringMatching(`[a-z][a-z0-9-]{0,62}`).Draw(t, "db")
		v = v.With(db, group.Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")})
	}
	return v
}

// TestRoundTrip guards against a token that loses or changes a position.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := token.New(key)
		want := drawVector(t)
		text, err := c.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > token.MaxLen {
			t.Fatalf("token has %d bytes, over the limit", len(text))
		}
		got, err := c.Decode(text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want.Databases(), got.Databases()); diff != "" {
			t.Fatal(diff)
		}
		for _, db := range want.Databases() {
			w, _ := want.At(db)
			g, _ := got.At(db)
			if diff := cmp.Diff(w, g); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// TestTampered guards against a token that is accepted although one of its bits was
// changed.
func TestTampered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := token.New(key)
		text, err := c.Encode(drawVector(t))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := base64.RawURLEncoding.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		bit := rapid.IntRange(0, len(raw)*8-1).Draw(t, "bit")
		raw[bit/8] ^= 1 << (bit % 8)
		if _, err := c.Decode(base64.RawURLEncoding.EncodeToString(raw)); !errors.Is(err, token.ErrForged) {
			t.Fatalf("tampered token: got %v, want ErrForged", err)
		}
	})
}

// TestKeyRotation guards against tokens that are rejected after a key rotation, and
// against tokens of a key that is no longer configured.
func TestKeyRotation(t *testing.T) {
	codec := token.New(key)
	text, err := codec.Encode(token.Vector{}.With("a", group.Position{Term: 1, Offset: 2}))
	if err != nil {
		t.Fatal(err)
	}
	newKey := []byte("another key of thirty-two bytes!")
	if _, err := token.New(newKey, token.WithPreviousKey(key)).Decode(text); err != nil {
		t.Fatal(err)
	}
	if _, err := token.New(newKey).Decode(text); !errors.Is(err, token.ErrForged) {
		t.Fatalf("got %v, want ErrForged", err)
	}
}

// FuzzDecode guards against a panic, or a vector over the limit, on arbitrary input.
func FuzzDecode(f *testing.F) {
	c := token.New(key)
	text, err := c.Encode(token.Vector{}.With("db", group.Position{Term: 3, Offset: 99}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("")
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := c.Decode(text)
		if err == nil && v.Len() > token.MaxDatabases {
			t.Fatalf("decoded vector has %d databases, over the limit", v.Len())
		}
	})
}
