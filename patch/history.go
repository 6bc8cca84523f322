package patch

import (
	"slices"
	"sync"

	"github.com/twmb/murmur3"
)

// Limits of a History.
const (
	maxVersions     = 128
	maxHistoryBytes = 24 << 20 // of the documents without their encodings
)

// Encoded is a version of a document, encoded relative to Base. Base is 0 for a complete
// document.
type Encoded struct {
	Version uint64
	Base    uint64
	Digest  uint64 // hash of Data
	Data    []byte
}

// History holds the newest versions of a document and encodes each at most once per base,
// however many instances ask for it. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	versions []*version // in increasing order
}

type version struct {
	number  uint64
	body    []byte
	encoded map[uint64]Encoded // by base
}

// Add adds a version. A version that is not newer than all others is ignored.
func (h *History) Add(number uint64, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.versions); n > 0 && h.versions[n-1].number >= number {
		return
	}
	h.versions = append(h.versions, &version{number: number, body: body, encoded: make(map[uint64]Encoded)})
	total := 0
	for _, v := range h.versions {
		total += len(v.body)
	}
	for len(h.versions) > 1 && (len(h.versions) > maxVersions || total > maxHistoryBytes) {
		total -= len(h.versions[0].body)
		h.versions = h.versions[1:]
	}
}

// Encode returns a version relative to base, or complete if the history no longer holds the
// base. It returns the newest version if it does not hold the one that is asked for. ok is
// false if it holds none.
func (h *History) Encode(number, base uint64) (e Encoded, ok bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.find(number)
	if v == nil && len(h.versions) > 0 {
		v = h.versions[len(h.versions)-1]
	}
	if v == nil {
		return Encoded{}, false, nil
	}
	var baseBody []byte
	if b := h.find(base); b != nil && b.number < v.number {
		baseBody = b.body
	} else {
		base = 0
	}
	if e, ok := v.encoded[base]; ok {
		return e, true, nil
	}
	data, err := Encode(baseBody, v.body)
	if err != nil {
		return Encoded{}, false, err
	}
	e = Encoded{Version: v.number, Base: base, Digest: murmur3.Sum64(data), Data: data}
	v.encoded[base] = e
	return e, true, nil
}

func (h *History) find(number uint64) *version {
	i, found := slices.BinarySearchFunc(h.versions, number, func(v *version, n uint64) int {
		switch {
		case v.number < n:
			return -1
		case v.number > n:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return h.versions[i]
}
