package shape

import "strings"

// parseSetting sets the name, value and scope of a SET, RESET or SHOW statement.
func parseSetting(s *Statement) {
	p := settingParser{scan: scanner{text: s.text}}
	p.advance()
	verb := p.word
	p.advance()
	if verb == "set" {
		p.scope(s)
	}
	p.name(s)
	if verb == "set" && s.name != "transaction" && s.name != "constraints" {
		p.value(s)
	}
	if verb == "reset" {
		s.reset = true
	}
	s.pins = s.kind == Set && !s.local && !s.reset && !s.IsProxySetting()
}

// settingParser parses a SET, RESET or SHOW statement token by token.
type settingParser struct {
	scan scanner
	tok  token
	word string // lower-case word, or the text of a quoted identifier
}

func (p *settingParser) advance() {
	p.tok = p.scan.next()
	text := p.raw()
	switch p.tok.kind {
	case tokenWord:
		p.word = strings.ToLower(text)
	case tokenQuoted:
		p.word = strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	default:
		p.word = ""
	}
}

func (p *settingParser) raw() string { return p.scan.text[p.tok.start:p.tok.end] }

// scope parses SESSION or LOCAL.
func (p *settingParser) scope(s *Statement) {
	switch p.word {
	case "local":
		s.local = true
		p.advance()
	case "session":
		p.advance()
		p.session(s)
	}
}

func (p *settingParser) session(s *Statement) {
	if p.word == "characteristics" {
		s.name = "session_characteristics"
		s.value = p.rest()
	}
}

// name parses the name of the setting. Special forms of the grammar are mapped to the
// name of the setting that they change.
func (p *settingParser) name(s *Statement) {
	if s.name != "" {
		return
	}
	s.name = p.word
	p.advance()
	switch {
	case s.name == "time" && p.word == "zone":
		s.name = "timezone"
		p.advance()
	case s.name == "session" && p.word == "authorization":
		s.name = "session_authorization"
		p.advance()
	case s.name == "authorization":
		s.name = "session_authorization"
	case s.name == "names":
		s.name = "client_encoding"
	case s.name == "schema":
		s.name = "search_path"
	case s.name == "transaction" && p.word == "isolation":
		s.name = "transaction_isolation"
		if s.kind == Set {
			p.transaction(s)
		}
	case (s.name == "transaction" || s.name == "constraints") && s.kind == Set:
		p.transaction(s)
	default:
		p.dotted(s)
	}
}

func (p *settingParser) dotted(s *Statement) {
	for p.tok.kind == tokenPunct && p.raw() == "." {
		p.advance()
		s.name += "." + p.word
		p.advance()
	}
	s.name = strings.ToLower(s.name)
}

// transaction parses SET TRANSACTION and SET CONSTRAINTS, which have effect until the
// end of the transaction.
func (p *settingParser) transaction(s *Statement) {
	if s.name != "constraints" {
		s.name = "transaction"
	}
	s.local = true
	for start := p.tok.start; p.tok.kind != tokenEnd; {
		before := p.word
		p.advance()
		s.readOnly = before == "read" && p.word == "only" || s.readOnly && !(before == "read" && p.word == "write")
		s.value = p.scan.text[start:]
	}
}

func (p *settingParser) rest() string {
	text := p.scan.text[p.tok.start:]
	p.scan.pos = len(p.scan.text)
	p.advance()
	return text
}

func (p *settingParser) value(s *Statement) {
	if p.word == "to" || p.raw() == "=" {
		p.advance()
	}
	if s.value != "" || p.tok.kind == tokenEnd {
		return
	}
	value, start := p.unquoted(), p.tok.start
	p.advance()
	if p.tok.kind != tokenEnd {
		s.value = p.scan.text[start:]
		return
	}
	if s.reset = value == "default" && start+len(value) == len(p.scan.text); s.reset {
		return
	}
	s.value = value
}

// unquoted returns the value of the current token, without quotes.
func (p *settingParser) unquoted() string {
	raw := p.raw()
	switch {
	case p.tok.kind == tokenWord, p.tok.kind == tokenQuoted:
		return p.word
	case p.tok.kind != tokenString:
		return raw
	case raw[0] == '\'':
		return strings.ReplaceAll(raw[1:len(raw)-1], "''", "'")
	case raw[0] == '$':
		n := strings.IndexByte(raw[1:], '$') + 2
		return raw[n : len(raw)-n]
	}
	return unescape(raw[2 : len(raw)-1])
}

// unescape resolves backslashes and doubled quotes of an E string. Escapes for control
// characters become their letter, since no setting needs control characters.
func unescape(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if (s[i] == '\\' || s[i] == '\'') && i+1 < len(s) {
			i++
		}
		b.WriteByte(s[i])
	}
	return b.String()
}
