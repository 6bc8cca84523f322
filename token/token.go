// Package token carries the session vector between a caller and the proxy.
//
// A token is opaque to callers: base64url of a version byte, the vector and a
// truncated HMAC-SHA-256. It is bounded in size, so that a caller can keep it
// in a header or a cookie.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"tamarackcross/group"
)

const (
	// Version is the first byte of every token.
	Version = 1
	// MaxLen is the longest token that is read or written, in bytes.
	MaxLen = 4096
	// MaxDatabases is the largest number of databases in a vector.
	MaxDatabases = 32
	// MaxNameLen is the longest database name, in bytes, as in PostgreSQL.
	MaxNameLen = 63

	macLen = 16 // bytes of the truncated HMAC
)

// Errors that Decode reports. None of them says anything about the position.
var (
	ErrTooLong   = eris.New("token is longer than 4096 bytes")
	ErrMalformed = eris.New("token is malformed")
	ErrForged    = eris.New("token signature does not match")
	ErrVersion   = eris.New("token version is not supported")
)

// Vector is the state of a session: for each database the newest position that
// the session wrote or read. The zero value is empty.
type Vector struct {
	at map[string]group.Position
}

// At returns the position for the database db and whether there is one.
func (v Vector) At(db string) (group.Position, bool) {
	p, ok := v.at[db]
	return p, ok
}

// Len returns the number of databases in the vector.
func (v Vector) Len() int { return len(v.at) }

// Databases returns the names in the vector in order.
func (v Vector) Databases() []string { return slices.Sorted(maps.Keys(v.at)) }

// With returns the vector with db raised to p. A lower p changes nothing.
func (v Vector) With(db string, p group.Position) Vector {
	if old, ok := v.at[db]; ok && !old.Less(p) {
		return v
	}
	next := make(map[string]group.Position, len(v.at)+1)
	maps.Copy(next, v.at)
	next[db] = p
	return Vector{at: next}
}

// Merge returns the vector raised to every position of w.
func (v Vector) Merge(w Vector) Vector {
	for db, p := range w.at {
		v = v.With(db, p)
	}
	return v
}

// Codec encodes and decodes tokens under a key shared by the fleet.
type Codec struct {
	key      []byte
	previous []byte
}

// Option configures a Codec.
type Option func(*Codec)

// WithPrevious accepts tokens signed by an older key during a key rotation.
func WithPrevious(key []byte) Option {
	return func(c *Codec) { c.previous = slices.Clone(key) }
}

// New returns a codec that signs with key.
func New(key []byte, opts ...Option) *Codec {
	c := &Codec{key: slices.Clone(key)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Encode returns the token of v. It fails when the vector is over the limits.
func (c *Codec) Encode(v Vector) (string, error) {
	if v.Len() > MaxDatabases {
		return "", eris.Errorf("vector names %d databases, at most %d are allowed", v.Len(), MaxDatabases)
	}
	buf := []byte{Version}
	buf = binary.AppendUvarint(buf, uint64(v.Len()))
	for _, db := range v.Databases() {
		if len(db) == 0 || len(db) > MaxNameLen {
			return "", eris.Errorf("database name of %d bytes, 1 to %d are allowed", len(db), MaxNameLen)
		}
		p := v.at[db]
		buf = binary.AppendUvarint(buf, uint64(len(db)))
		buf = append(buf, db...)
		buf = binary.AppendUvarint(buf, p.Term)
		buf = binary.AppendUvarint(buf, p.Offset)
	}
	buf = append(buf, sign(c.key, buf)...)
	return base64.RawURLEncoding.EncodeToString(buf), nil
}

// Decode checks the token and returns its vector. An empty token is the empty
// vector.
func (c *Codec) Decode(text string) (Vector, error) {
	if text == "" {
		return Vector{}, nil
	}
	if len(text) > MaxLen {
		return Vector{}, ErrTooLong
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) <= macLen {
		return Vector{}, ErrMalformed
	}
	body, mac := raw[:len(raw)-macLen], raw[len(raw)-macLen:]
	if !c.signed(body, mac) {
		return Vector{}, ErrForged
	}
	if body[0] != Version {
		return Vector{}, ErrVersion
	}
	return decodeVector(body[1:])
}

func (c *Codec) signed(body, mac []byte) bool {
	if hmac.Equal(mac, sign(c.key, body)) {
		return true
	}
	return c.previous != nil && hmac.Equal(mac, sign(c.previous, body))
}

func sign(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macLen]
}

func decodeVector(b []byte) (Vector, error) {
	r := reader{rest: b}
	n := r.uvarint()
	if n > MaxDatabases {
		return Vector{}, ErrMalformed
	}
	at := make(map[string]group.Position, n)
	for range n {
		db := r.name()
		p := group.Position{Term: r.uvarint(), Offset: r.uvarint()}
		if r.failed {
			return Vector{}, ErrMalformed
		}
		at[db] = p
	}
	if r.failed || len(r.rest) > 0 || uint64(len(at)) != n {
		return Vector{}, ErrMalformed
	}
	return Vector{at: at}, nil
}

// reader takes fields off a byte slice and remembers the first failure.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) name() string {
	n := r.uvarint()
	if r.failed || n == 0 || n > MaxNameLen || n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}
