package entry

import (
	"strings"
	"testing"
	"unicode/utf8"

	"tamarackcross/errs"
)

// FuzzParseOptions guards against options that make the parser panic, that leave a
// separator or an upper-case letter in a name, or whose escaped value is not restored.
func FuzzParseOptions(f *testing.F) {
	f.Add(`-c tamarackcross.max_age=1s --work_mem=64\ MB -cx=y`)
	f.Fuzz(func(t *testing.T, text string) {
		for name := range parseOptions(text) {
			if name != strings.ToLower(name) || strings.Contains(name, "=") {
				t.Errorf("name %q of %q", name, text)
			}
		}
		// An escaped value is restored exactly.
		value := strings.NewReplacer(`\`, `\\`, " ", `\ `).Replace(text)
		if got := parseOptions("-c a=" + value)["a"]; got != text {
			t.Errorf("got %q, want %q", got, text)
		}
	})
}

// FuzzSettings guards against a refused value that changes the session, and against
// an accepted value that cannot be set again to what SHOW returns for it.
func FuzzSettings(f *testing.F) {
	f.Add(settingBound, "LATEST")
	f.Fuzz(func(t *testing.T, name, value string) {
		before := settings{bound: boundLatest, key: "k", deadline: 1}
		after := before
		if err := after.set(name, value); err != nil {
			if e := errs.As(err); e == nil || e.Outcome() != errs.NotRun || after != before {
				t.Errorf("%q=%q: %v, %+v", name, value, err, after)
			}
			return
		}
		if !utf8.ValidString(after.key) || len(after.key) > maxKeyLen || after.maxAge > maxAgeLimit || after.deadline > maxDeadline {
			t.Errorf("%q=%q: %+v", name, value, after)
		}
		shown, ok := after.get(name)
		again := after
		if err := again.set(name, shown); !ok || err != nil || again != after {
			t.Errorf("%q=%q is shown as %q: %v, %+v", name, value, shown, err, again)
		}
	})
}

// FuzzSessionVars guards against SQL injection: a value of a backend setting that ends
// its literal and runs as another statement.
func FuzzSessionVars(f *testing.F) {
	f.Add("work_mem", "1'; DROP TABLE t; --")
	f.Fuzz(func(t *testing.T, name, value string) {
		var v sessionVars
		if err := v.put(name, value); err != nil {
			return
		}
		literal := "'" + strings.ReplaceAll(value, "'", "''") + "'"
		if want := "SET " + strings.ToLower(name) + " = " + literal + ";"; v.setSQL != want {
			t.Errorf("got %q, want %q", v.setSQL, want)
		}
		if strings.ContainsAny(name, "'; \t\n\"\\-") {
			t.Errorf("name %q was accepted", name)
		}
		v.reset(name)
		if v.setSQL != "" {
			t.Errorf("%q stays after RESET", v.setSQL)
		}
	})
}
