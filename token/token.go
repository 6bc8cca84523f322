// Package token encodes the session vector, the positions that the reads of a session
// must see, as a signed token that the caller keeps.
//
// A token is opaque to callers. It is the unpadded base64url form of a version byte,
// the vector and a truncated HMAC-SHA-256. Its size is limited, so that it fits into a
// header or a cookie.
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
	// MaxLen is the greatest length of a token that is decoded, in bytes.
	MaxLen = 4096
	// MaxDatabases is the greatest number of databases in the vector of a token.
	MaxDatabases = 32
	// MaxNameLen is the greatest length of a database name in bytes, as in PostgreSQL.
	MaxNameLen = 63

	macLen = 16 // bytes of the truncated HMAC
)

// Errors of Decode. They tell nothing about the positions in the token.
var (
	ErrTooLong   = eris.New("token is longer than 4096 bytes")
	ErrMalformed = eris.New("token is malformed")
	ErrForged    = eris.New("token signature does not match")
	ErrVersion   = eris.New("token version is not supported")
)

// Vector is the session vector: for each database the newest position that the session
// has written or read. The zero value is empty. A Vector is immutable.
type Vector struct {
	positions map[string]group.Position
}

// At returns the position of the database db and whether the vector contains it.
func (v Vector) At(db string) (group.Position, bool) {
	p, ok := v.positions[db]
	return p, ok
}

// Len returns the number of databases in the vector.
func (v Vector) Len() int { return len(v.positions) }

// Databases returns the names of the databases in the vector, sorted.
func (v Vector) Databases() []string { return slices.Sorted(maps.Keys(v.positions)) }

// With returns the vector with the position of db raised to p. If p is not newer, the
// vector is unchanged.
func (v Vector) With(db string, p group.Position) Vector {
	if old, ok := v.positions[db]; ok && !old.Less(p) {
		return v
	}
	next := make(map[string]group.Position, len(v.positions)+1)
	maps.Copy(next, v.positions)
	next[db] = p
	return Vector{positions: next}
}

// Merge returns the vector with the newer position of v and w for each database.
func (v Vector) Merge(w Vector) Vector {
	for db, p := range w.positions {
		v = v.With(db, p)
	}
	return v
}

// Codec encodes and decodes tokens with a key that all instances share.
type Codec struct {
	key         []byte
	previousKey []byte
}

// Option configures a Codec.
type Option func(*Codec)

// WithPreviousKey also accepts tokens signed with an older key, during a key rotation.
func WithPreviousKey(key []byte) Option {
	return func(c *Codec) { c.previousKey = slices.Clone(key) }
}

// New returns a codec that signs tokens with key.
func New(key []byte, opts ...Option) *Codec {
	c := &Codec{key: slices.Clone(key)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Encode returns the token of v. It fails if the vector exceeds the limits.
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
		p := v.positions[db]
		buf = binary.AppendUvarint(buf, uint64(len(db)))
		buf = append(buf, db...)
		buf = binary.AppendUvarint(buf, p.Term)
		buf = binary.AppendUvarint(buf, p.Offset)
	}
	buf = append(buf, sign(c.key, buf)...)
	return base64.RawURLEncoding.EncodeToString(buf), nil
}

// Decode verifies the signature of a token and returns its vector. The empty string is
// the token of the empty vector.
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
	if !c.validMAC(body, mac) {
		return Vector{}, ErrForged
	}
	if body[0] != Version {
		return Vector{}, ErrVersion
	}
	return decodeVector(body[1:])
}

// validMAC reports whether the MAC is valid under the current or the previous key.
func (c *Codec) validMAC(body, mac []byte) bool {
	if hmac.Equal(mac, sign(c.key, body)) {
		return true
	}
	return c.previousKey != nil && hmac.Equal(mac, sign(c.previousKey, body))
}

// sign returns the truncated HMAC-SHA-256 of body.
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
	positions := make(map[string]group.Position, n)
	for range n {
		db := r.databaseName()
		p := group.Position{Term: r.uvarint(), Offset: r.uvarint()}
		if r.malformed {
			return Vector{}, ErrMalformed
		}
		positions[db] = p
	}
	if r.malformed || len(r.rest) > 0 || uint64(len(positions)) != n {
		return Vector{}, ErrMalformed
	}
	return Vector{positions: positions}, nil
}

// reader reads fields from a byte slice. After a malformed field its results are not
// valid.
type reader struct {
	rest      []byte
	malformed bool
}

func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) databaseName() string {
	n := r.uvarint()
	if r.malformed || n == 0 || n > MaxNameLen || n > uint64(len(r.rest)) {
		r.malformed = true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}
