package state

import (
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"slices"
)

// Groups is the number of groups into which sections are divided by the hash of
// their key. Digests of groups find differing sections in two steps.
const Groups = 64

// leavesPerGroup keeps leaves at one or two sections for 6,700 sections.
const leavesPerGroup = 64

// entry is one section with its encoding, digest and decoded value.
type entry struct {
	key    Key
	data   []byte
	digest uint64
	value  Section
}

// leaf holds the entries of one hash prefix, ordered by key.
type leaf struct {
	entries []*entry
}

type node struct {
	leaves [leavesPerGroup]*leaf
	digest uint64 // XOR of the digests of the entries
}

// tree is an immutable map of sections. A change copies the root, one group and
// one leaf, about 1.5 KiB, whatever the number of sections.
type tree struct {
	groups  [Groups]*node
	digests [kindCount]uint64
	counts  [kindCount]int
}

// keyHash places a key in the tree and takes part in the choice of owners.
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

// mix spreads the bits of an FNV hash: its high bits alone are too regular for
// names that differ only at their end.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

func place(k Key) (group, slot int) {
	h := keyHash(k)
	return int(h >> 58), int(h >> 52 & (leavesPerGroup - 1))
}

// digestOf returns the first 64 bits of a SHA-256 over key and data.
func digestOf(k Key, data []byte) uint64 {
	buf := make([]byte, 0, len(k.Name)+len(data)+2)
	buf = append(buf, byte(k.Kind))
	buf = append(buf, k.Name...)
	buf = append(buf, 0)
	buf = append(buf, data...)
	sum := sha256.Sum256(buf)
	return binary.BigEndian.Uint64(sum[:])
}

func (t *tree) get(k Key) *entry {
	g, s := place(k)
	n := t.groups[g]
	if n == nil || n.leaves[s] == nil {
		return nil
	}
	for _, e := range n.leaves[s].entries {
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

// group yields the entries of one group in a fixed order.
func (t *tree) group(i int) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		n := t.groups[i]
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

// all yields all entries in a fixed order.
func (t *tree) all() iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for i := range Groups {
			for e := range t.group(i) {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// editor changes a copy of a tree. Groups are copied once per editor.
type editor struct {
	tree  tree
	fresh [Groups]bool
}

func (t *tree) edit() *editor { return &editor{tree: *t} }

func (ed *editor) node(g int) *node {
	n := ed.tree.groups[g]
	switch {
	case n == nil:
		n = &node{}
	case !ed.fresh[g]:
		c := *n
		n = &c
	}
	ed.fresh[g] = true
	ed.tree.groups[g] = n
	return n
}

// set puts e in the place of the entry of the same key.
func (ed *editor) set(e *entry) {
	ed.remove(e.key)
	g, s := place(e.key)
	n := ed.node(g)
	next := &leaf{}
	if old := n.leaves[s]; old != nil {
		next.entries = slices.Clone(old.entries)
	}
	at, _ := slices.BinarySearchFunc(next.entries, e.key, func(x *entry, k Key) int { return x.key.Compare(k) })
	next.entries = slices.Insert(next.entries, at, e)
	n.leaves[s] = next
	ed.account(n, e, 1)
}

// remove drops the entry of the key, if there is one.
func (ed *editor) remove(k Key) {
	old := ed.tree.get(k)
	if old == nil {
		return
	}
	g, s := place(k)
	n := ed.node(g)
	rest := slices.DeleteFunc(slices.Clone(n.leaves[s].entries), func(x *entry) bool { return x == old })
	n.leaves[s] = &leaf{entries: rest}
	ed.account(n, old, -1)
}

func (ed *editor) account(n *node, e *entry, count int) {
	n.digest ^= e.digest
	ed.tree.digests[e.key.Kind] ^= e.digest
	ed.tree.counts[e.key.Kind] += count
}
