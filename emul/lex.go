package emul

import (
	"strings"
)

// tokenKind is the kind of a token.
type tokenKind int

const (
	wordToken tokenKind = iota
	stringToken
	numberToken
	paramToken
	symbolToken
)

type sqlToken struct {
	kind tokenKind
	text string
}

// tokenize splits a statement into tokens. Comments and white space are dropped.
func tokenize(sql string) ([]sqlToken, error) {
	var out []sqlToken
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			i = skipLine(sql, i)
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i:], "*/")
			if end < 0 {
				return nil, errSyntax
			}
			i += end + 2
		case c == '\'':
			text, next, err := scanString(sql, i)
			if err != nil {
				return nil, err
			}
			out = append(out, sqlToken{stringToken, text})
			i = next
		case c == '$':
			n := prefixLen(sql[i+1:], isDigit)
			out = append(out, sqlToken{paramToken, sql[i+1 : i+1+n]})
			i += 1 + n
		case isDigit(c):
			n := prefixLen(sql[i:], func(b byte) bool { return isDigit(b) || b == '.' })
			out = append(out, sqlToken{numberToken, sql[i : i+n]})
			i += n
		case isWord(c):
			n := prefixLen(sql[i:], isWord)
			out = append(out, sqlToken{wordToken, strings.ToLower(strings.ReplaceAll(sql[i:i+n], `"`, ""))})
			i += n
		default:
			out = append(out, sqlToken{symbolToken, string(c)})
			i++
		}
	}
	return out, nil
}

func skipLine(sql string, i int) int {
	if end := strings.IndexByte(sql[i:], '\n'); end >= 0 {
		return i + end
	}
	return len(sql)
}

// scanString returns the text of the quoted string that starts at i, and the index
// after it.
func scanString(sql string, i int) (string, int, error) {
	var b strings.Builder
	for j := i + 1; j < len(sql); j++ {
		if sql[j] != '\'' {
			b.WriteByte(sql[j])
			continue
		}
		if j+1 < len(sql) && sql[j+1] == '\'' {
			b.WriteByte('\'')
			j++
			continue
		}
		return b.String(), j + 1, nil
	}
	return "", 0, errSyntax
}

// prefixLen returns the length of the longest prefix of s whose bytes all satisfy f.
func prefixLen(s string, f func(byte) bool) int {
	n := 0
	for n < len(s) && f(s[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return c == '_' || c == '.' || c == '"' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// splitStatements splits a simple query at semicolons outside of quotes and
// comments.
func splitStatements(sql string) []string {
	var out []string
	start := 0
	for i := 0; i < len(sql); i++ {
		switch {
		case sql[i] == '\'':
			i = skipPast(sql, i+1, "'")
		case strings.HasPrefix(sql[i:], "--"):
			i = skipPast(sql, i, "\n")
		case strings.HasPrefix(sql[i:], "/*"):
			i = skipPast(sql, i+2, "*/")
		case sql[i] == ';':
			out = appendStatement(out, sql[start:i])
			start = i + 1
		}
	}
	return appendStatement(out, sql[min(start, len(sql)):])
}

// skipPast returns the index of the last byte of the next occurrence of end, or
// len(sql) if there is none.
func skipPast(sql string, i int, end string) int {
	if n := strings.Index(sql[i:], end); n >= 0 {
		return i + n + len(end) - 1
	}
	return len(sql)
}

// appendStatement appends text unless it contains no token. Text with a syntax error
// is appended too, so that the parser reports the error.
func appendStatement(out []string, text string) []string {
	if tokens, err := tokenize(text); err == nil && len(tokens) == 0 {
		return out
	}
	return append(out, text)
}
