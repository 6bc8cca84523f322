package shape

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted // quoted identifier
	tokenString
	tokenNumber
	tokenParam
	tokenOp
	tokenPunct // one of ( ) [ ] , ; .
)

// token is a token as a range of the text.
type token struct {
	kind       tokenKind
	start, end int
}

// scanner splits SQL text into tokens. It follows the lexical rules of
// PostgreSQL with standard_conforming_strings on.
type scanner struct {
	text         string
	pos          int
	unterminated bool // a string, an identifier or a comment has no end
	// ambiguous is set by a backslash before a quote in a plain string: with
	// standard_conforming_strings off, the string would end elsewhere.
	ambiguous bool
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }
func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWord(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

// at returns the byte at offset n from the current one, or 0 after the end.
func (s *scanner) at(n int) byte {
	if s.pos+n < len(s.text) {
		return s.text[s.pos+n]
	}
	return 0
}

func (s *scanner) next() token {
	s.skipSpace()
	start := s.pos
	if start >= len(s.text) {
		return token{kind: tokenEnd, start: start, end: start}
	}
	kind := s.consume(s.text[start])
	return token{kind: kind, start: start, end: s.pos}
}

func (s *scanner) consume(c byte) tokenKind {
	switch {
	case (c == 'e' || c == 'E') && s.at(1) == '\'':
		s.pos++
		s.escapeString()
		return tokenString
	case isWordStart(c):
		s.word()
		return tokenWord
	case isDigit(c), c == '.' && isDigit(s.at(1)):
		s.number()
		return tokenNumber
	case c == '\'':
		s.quoted('\'')
		return tokenString
	case c == '"':
		s.quoted('"')
		return tokenQuoted
	case c == '$':
		return s.dollar()
	}
	s.pos++
	switch c {
	case '(', ')', '[', ']', ',', ';', '.':
		return tokenPunct
	}
	return tokenOp
}

// skipSpace skips white space and comments.
func (s *scanner) skipSpace() {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch {
		case isSpace(c):
			s.pos++
		case c == '-' && s.at(1) == '-':
			s.skipLineComment()
		case c == '/' && s.at(1) == '*':
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipLineComment() {
	n := strings.IndexAny(s.text[s.pos:], "\r\n")
	if n < 0 {
		n = len(s.text) - s.pos
	}
	s.pos += n
}

// skipBlockComment skips a block comment. Block comments nest.
func (s *scanner) skipBlockComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch {
		case s.text[s.pos] == '/' && s.at(1) == '*':
			depth++
			s.pos += 2
		case s.text[s.pos] == '*' && s.at(1) == '/':
			depth--
			s.pos += 2
		default:
			s.pos++
		}
		if depth == 0 {
			return
		}
	}
	s.unterminated = true
}

func (s *scanner) word() {
	for s.pos < len(s.text) && isWord(s.text[s.pos]) {
		s.pos++
	}
}

// number consumes a number and stops before letters that are not part of it, because a
// server that accepts "1for update" reads "for" as the next word.
func (s *scanner) number() {
	if s.at(0) == '0' && s.prefixedNumber() {
		return
	}
	s.digits()
	if s.at(0) == '.' {
		s.pos++
		s.digits()
	}
	if c := s.at(0); c != 'e' && c != 'E' {
		return
	}
	switch c := s.at(1); {
	case isDigit(c):
		s.pos++
	case (c == '+' || c == '-') && isDigit(s.at(2)):
		s.pos += 2
	}
	s.digits()
}

// prefixedNumber consumes a 0x, 0o or 0b number and reports whether there is one.
func (s *scanner) prefixedNumber() bool {
	switch s.at(1) | 0x20 {
	case 'x', 'o', 'b':
	default:
		return false
	}
	if !isHex(s.at(2)) {
		return false
	}
	s.pos += 2
	for isHex(s.at(0)) || s.at(0) == '_' {
		s.pos++
	}
	return true
}

func isHex(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

func (s *scanner) digits() {
	for isDigit(s.at(0)) || s.at(0) == '_' {
		s.pos++
	}
}

// quoted consumes a string or an identifier in which a quote is written as two quotes.
func (s *scanner) quoted(quote byte) {
	s.pos++
	for {
		n := strings.IndexByte(s.text[s.pos:], quote)
		if n < 0 {
			s.pos = len(s.text)
			s.unterminated = true
			return
		}
		s.pos += n + 1
		s.ambiguous = s.ambiguous || quote == '\'' && s.text[s.pos-2] == '\\'
		if s.at(0) != quote {
			return
		}
		s.pos++
	}
}

// escapeString consumes an E string with all its parts: a quote after white space with a
// line break continues the string with the same rules.
func (s *scanner) escapeString() {
	for {
		s.escapeStringPart()
		p, newline := s.pos, false
		for p < len(s.text) && isSpace(s.text[p]) {
			newline = newline || s.text[p] == '\n' || s.text[p] == '\r'
			p++
		}
		if s.unterminated || !newline || p == len(s.text) || s.text[p] != '\'' {
			return
		}
		s.pos = p
	}
}

func (s *scanner) escapeStringPart() {
	s.pos++
	for s.pos < len(s.text) {
		switch c := s.text[s.pos]; {
		case c == '\\':
			s.pos = min(s.pos+2, len(s.text))
		case c == '\'' && s.at(1) == '\'':
			s.pos += 2
		case c == '\'':
			s.pos++
			return
		default:
			s.pos++
		}
	}
	s.unterminated = true
}

// dollar consumes a parameter, a dollar-quoted string or a single dollar sign.
func (s *scanner) dollar() tokenKind {
	if isDigit(s.at(1)) {
		s.pos++
		s.digits()
		return tokenParam
	}
	n := 1
	for c := s.at(n); isWordStart(c) || n > 1 && isDigit(c); c = s.at(n) {
		n++
	}
	if s.at(n) != '$' {
		s.pos++
		return tokenOp
	}
	tag := s.text[s.pos : s.pos+n+1]
	s.pos += len(tag)
	end := strings.Index(s.text[s.pos:], tag)
	if end < 0 {
		s.pos = len(s.text)
		s.unterminated = true
		return tokenString
	}
	s.pos += end + len(tag)
	return tokenString
}
