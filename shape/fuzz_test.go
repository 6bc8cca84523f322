package shape_test

import (
	"strings"
	"testing"

	"tamarackcross/shape"
)

// FuzzClassify guards against panics, and against a statement that is classified
// differently on its own than as part of a simple query.
func FuzzClassify(f *testing.F) {
	f.Fuzz(func(t *testing.T, sql string) {
		whole := shape.Classify(sql)
		list := shape.Split(sql)
		if len(list) > 1 && whole.Kind() != shape.Other {
			t.Errorf("%d statements classified as one %s", len(list), whole.Kind())
		}
		for _, s := range list {
			again := shape.Classify(s.Text())
			if again.Kind() != s.Kind() || again.Fingerprint() != s.Fingerprint() {
				t.Errorf("%q: %s as part of the query, %s on its own", s.Text(), s.Kind(), again.Kind())
			}
			spaced := shape.Classify(" /* c */" + s.Text() + "\n")
			if s.Kind() == shape.Read && spaced.Fingerprint() != s.Fingerprint() {
				t.Errorf("%q: white space and a comment change the fingerprint", s.Text())
			}
		}
	})
}

const benchQuery = `SELECT b.id, b.state, count(*) FROM bookings b JOIN seats s ON s.id = b.seat
 WHERE b.caller = $1 AND b.day IN (1, 2, 3, 4) AND s.class = 'first' GROUP BY 1, 2 ORDER BY b.id LIMIT 20`

// TestNoAllocation guards against allocations in the classification of a statement,
// which runs for every statement of a caller.
func TestNoAllocation(t *testing.T) {
	for _, sql := range []string{benchQuery, "BEGIN", "insert into t values (1, 'a')"} {
		if n := testing.AllocsPerRun(100, func() { shape.Classify(sql) }); n != 0 {
			t.Errorf("%v allocations for %q", n, sql)
		}
	}
}

func BenchmarkClassify(b *testing.B) {
	for name, sql := range map[string]string{
		"short": "select v from kv where k = $1",
		"join":  benchQuery,
		"large": "select '" + strings.Repeat("x", 100_000) + "', " + strings.Repeat("$a(/**/", 10_000),
		"twice": "select '" + strings.Repeat("x", 200_000) + "', " + strings.Repeat("$a(/**/", 20_000),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				shape.Classify(sql)
			}
		})
	}
}
