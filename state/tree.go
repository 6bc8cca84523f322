package state

import (
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"slices"
)

// NumBuckets is the number of buckets into which the sections are divided by the
// hash of their key. Two instances find the sections in which their states differ
// by comparing first the digests of the buckets, then those of the sections in
// buckets that differ.
const NumBuckets = 64

// leavesPerBucket yields leaves of one or two sections at 6,700 sections, the
// number expected in two years.
const leavesPerBucket = 64

// sectionEntry is one section with its encoding, digest and decoded value.
type sectionEntry struct {
	key    Key
	data   []byte
	digest uint64
	value  Section
}

// leaf holds the sections whose keys have the same hash prefix, ordered by key.
type leaf struct {
	entries []*sectionEntry
}

type bucket struct {
	leaves [leavesPerBucket]*leaf
	digest uint64 // XOR of the digests of the sections
}

// tree is an immutable map of the sections by key. A change of one section copies
// the root, one bucket and one leaf: about 1.5 KiB, whatever the number of
// sections.
type tree struct {
	buckets [NumBuckets]*bucket
	digests [kindCount]uint64
	counts  [kindCount]int
}

// keyHash returns the hash that determines the place of a key in the tree.
func keyHash(k Key) uint64 {
	h := fnvOffset
	h = (h ^ uint64(k.Kind)) * fnvPrime
	return mix(fnv(h, k.Name))
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

func fnv(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix distributes the entropy of an FNV hash over all bits. Without it, the high
// bits vary too little between names that differ only at their end.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

func locate(k Key) (bucketIndex, leafIndex int) {
	h := keyHash(k)
	return int(h >> 58), int(h >> 52 & (leavesPerBucket - 1))
}

// digestOf returns the first 64 bits of the SHA-256 hash of key and data.
func digestOf(k Key, data []byte) uint64 {
	buf := make([]byte, 0, len(k.Name)+len(data)+2)
	buf = append(buf, byte(k.Kind))
	buf = append(buf, k.Name...)
	buf = append(buf, 0)
	buf = append(buf, data...)
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint64(sum[:])
}

func (t *tree) get(k Key) *sectionEntry {
	b, l := locate(k)
	n := t.buckets[b]
	if n == nil || n.leaves[l] == nil {
		return nil
	}
	for _, e := range n.leaves[l].entries {
		if e.key == k {
			return e
		}
	}
	return nil
}

func (t *tree) len() int {
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}

func (t *tree) digest() uint64 {
	var d uint64
	for _, k := range t.digests {
		d ^= k
	}
	return d
}

// bucket yields the sections of one bucket in a fixed order.
func (t *tree) bucket(i int) iter.Seq[*sectionEntry] {
	return func(yield func(*sectionEntry) bool) {
		n := t.buckets[i]
		if n == nil {
			return
		}
		for _, l := range n.leaves {
			if l == nil {
				continue
			}
			for _, e := range l.entries {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// all yields all sections in a fixed order.
func (t *tree) all() iter.Seq[*sectionEntry] {
	return func(yield func(*sectionEntry) bool) {
		for i := range NumBuckets {
			for e := range t.bucket(i) {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// editor modifies a copy of a tree. It copies a bucket before the first change of
// it.
type editor struct {
	tree   tree
	copied [NumBuckets]bool
}

func (t *tree) edit() *editor { return &editor{tree: *t} }

func (ed *editor) editableBucket(b int) *bucket {
	n := ed.tree.buckets[b]
	switch {
	case n == nil:
		n = &bucket{}
	case !ed.copied[b]:
		c := *n
		n = &c
	}
	ed.copied[b] = true
	ed.tree.buckets[b] = n
	return n
}

// set adds e, in place of the section with the same key if there is one.
func (ed *editor) set(e *sectionEntry) {
	ed.remove(e.key)
	b, l := locate(e.key)
	n := ed.editableBucket(b)
	next := &leaf{}
	if old := n.leaves[l]; old != nil {
		next.entries = slices.Clone(old.entries)
	}
	at, _ := slices.BinarySearchFunc(next.entries, e.key, func(x *sectionEntry, k Key) int { return x.key.Compare(k) })
	next.entries = slices.Insert(next.entries, at, e)
	n.leaves[l] = next
	ed.updateTotals(n, e, 1)
}

// remove removes the section with the key, if there is one.
func (ed *editor) remove(k Key) {
	old := ed.tree.get(k)
	if old == nil {
		return
	}
	b, l := locate(k)
	n := ed.editableBucket(b)
	rest := slices.DeleteFunc(slices.Clone(n.leaves[l].entries), func(x *sectionEntry) bool { return x == old })
	n.leaves[l] = &leaf{entries: rest}
	ed.updateTotals(n, old, -1)
}

func (ed *editor) updateTotals(n *bucket, e *sectionEntry, count int) {
	n.digest ^= e.digest
	ed.tree.digests[e.key.Kind] ^= e.digest
	ed.tree.counts[e.key.Kind] += count
}
