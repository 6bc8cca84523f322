package shape

import "strings"

// FNV-1a, 64 bits: the hash must be equal on every instance.
const (
	hashOffset uint64 = 14695981039346656037
	hashPrime  uint64 = 1099511628211
)

// spaces are the characters that PostgreSQL skips between tokens. Other Unicode
// spaces are part of identifiers.
const spaces = " \t\n\v\f\r"

// maxName is the longest identifier of PostgreSQL in bytes. Longer words are
// neither keywords nor known functions.
const maxName = 63

type mode uint8

const (
	modeStart mode = iota
	modeRead
	modeExplain
	modeBegin
	modeStarted // after START, before TRANSACTION
	modeEnd
	modeSet
	modeShow
	modeCreate
	modeDeclare
	modePrepare
	modeFixed
)

type listState uint8

const (
	listNone listState = iota
	listOpen
	listItem
	listComma
)

// judge holds the state of the single pass over one statement.
type judge struct {
	calls map[string]callKind
	scan  scanner
	hash  uint64

	kind     Kind
	mode     mode
	readOnly bool
	chain    bool
	pins     bool
	suspect  bool // a read candidate that is not proved to be a read

	depth  int  // open parentheses
	atomic int  // open BEGIN ATOMIC and CASE blocks of a function body
	header bool // before the main part of a WITH statement

	buf       [maxName]byte // last word in lower case
	n         int           // its length, or 0 if it is too long
	prior     keyword       // keyword directly before the last word
	last      keyword       // the last token, if it is a keyword
	prevKind  tokenKind
	prevByte  byte
	afterDot  bool
	catalog   bool      // the qualifier of the last word is pg_catalog
	notCall   bool      // the last word cannot be the name of a called function
	sign      byte      // held back: it belongs to the number that may follow
	list      listState // progress in a list of literals after IN
	pgCatalog bool      // the last word is pg_catalog and may become a qualifier
}

// atTop reports whether a semicolon ends the statement here.
func (j *judge) atTop() bool { return j.depth == 0 && j.atomic == 0 }

func (j *judge) take(t token) {
	c := j.scan.text[t.start]
	switch t.kind {
	case tokenWord:
		j.flush()
		j.word(t)
	case tokenQuoted:
		j.flush()
		j.ident(t)
	case tokenString, tokenNumber, tokenParam:
		j.literal(t.kind)
	case tokenOp:
		j.op(c)
	case tokenPunct:
		j.punct(c)
	}
	if t.kind != tokenWord {
		j.prior = j.last
		j.last = keyNone
	}
	j.prevKind = t.kind
	j.prevByte = c
}

func (j *judge) emit(c byte) { j.hash = (j.hash ^ uint64(c)) * hashPrime }

// mark hashes a one-byte token. The zero byte separates tokens.
func (j *judge) mark(c byte) {
	j.emit(c)
	j.emit(0)
}

// flush hashes what was held back while a list of literals was possible.
func (j *judge) flush() {
	if j.list == listComma {
		j.mark(',')
	}
	j.list = listNone
	if j.sign != 0 {
		j.mark(j.sign)
		j.sign = 0
	}
}

func (j *judge) literal(kind tokenKind) {
	if j.sign != 0 && kind != tokenNumber {
		j.flush()
	}
	j.sign = 0
	switch j.list {
	case listOpen:
		j.list = listItem
	case listComma:
		j.list = listItem
		return
	case listItem:
		j.list = listNone
	}
	j.mark('?')
}

func (j *judge) op(c byte) {
	signed := j.prevKind == tokenOp || j.prevKind == tokenPunct && (j.prevByte == '(' || j.prevByte == ',' || j.prevByte == '[')
	if (c == '-' || c == '+') && signed && j.sign == 0 {
		j.sign = c
		return
	}
	j.flush()
	j.mark(c)
}

func (j *judge) punct(c byte) {
	if c == ',' && j.list == listItem && j.sign == 0 {
		j.list = listComma
		return
	}
	j.flush()
	j.mark(c)
	switch c {
	case '(':
		j.open()
	case ')':
		j.depth = max(0, j.depth-1)
	}
}

func (j *judge) open() {
	// Only a common table expression has a word before its parenthesis. After
	// one that stands alone, no further expression can be defined.
	if j.depth == 0 && j.prevKind != tokenWord && j.prevKind != tokenQuoted {
		j.header = false
	}
	j.depth++
	if j.prevKind == tokenWord && j.last == keyIn {
		j.list = listOpen
	}
	if j.prevKind == tokenWord || j.prevKind == tokenQuoted {
		j.call()
	}
}

// call decides about a name in front of an opening parenthesis.
func (j *judge) call() {
	if j.notCall {
		return
	}
	name := j.buf[:j.n]
	if j.afterDot && !j.catalog {
		j.suspect = true
		return
	}
	kind := j.calls[string(name)]
	switch {
	case kind == callPure:
	case kind == callWord && j.prevKind == tokenWord && !j.afterDot:
	default:
		j.suspect = true
		j.pins = j.pins || leavesState(name)
	}
}

// leavesState reports whether a function changes its connection beyond the end
// of the transaction.
func leavesState(name []byte) bool {
	s := string(name)
	if s == "set_config" {
		return true
	}
	advisory := strings.HasPrefix(s, "pg_advisory_") || strings.HasPrefix(s, "pg_try_advisory_")
	return advisory && !strings.Contains(s, "_xact_")
}

func (j *judge) word(t token) {
	text := j.scan.text[t.start:t.end]
	j.fold(text)
	j.emit(0)
	j.qualify()
	key := keyNone
	if !j.afterDot {
		key = keywordOf(j.buf[:j.n])
	}
	j.notCall = j.last == keyAs || j.last == keyWith || j.last == keyRecursive || j.cteName()
	j.prior = j.last
	j.last = key
	j.step(key)
}

// cteName reports whether the current word names a further common table
// expression, which may have a column list.
func (j *judge) cteName() bool {
	return j.header && j.depth == 0 && j.prevKind == tokenPunct && j.prevByte == ','
}

// fold hashes a word in lower case and keeps it as the last word.
func (j *judge) fold(text string) {
	h := j.hash
	for i := range len(text) {
		c := text[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		h = (h ^ uint64(c)) * hashPrime
		if i < maxName {
			j.buf[i] = c
		}
	}
	j.hash = h
	j.n = len(text)
	if j.n > maxName {
		j.n = 0
	}
}

// qualify notes the qualifier in front of the current word, and whether the word
// may itself be the qualifier pg_catalog.
func (j *judge) qualify() {
	dot := j.prevKind == tokenPunct && j.prevByte == '.'
	j.catalog = dot && j.pgCatalog
	j.afterDot = dot
	j.pgCatalog = !dot && string(j.buf[:j.n]) == "pg_catalog"
}

func (j *judge) ident(t token) {
	text := j.scan.text[t.start:t.end]
	for i := range len(text) {
		j.emit(text[i])
	}
	j.emit(0)
	inner := strings.Trim(text, `"`)
	j.n = 0
	if len(inner) <= maxName {
		j.n = copy(j.buf[:], inner)
	}
	j.qualify()
	j.notCall = j.last == keyAs || j.last == keyWith || j.last == keyRecursive || j.cteName()
	if j.mode == modeStart {
		j.fix(Other)
	}
}

func (j *judge) fix(k Kind) {
	j.kind = k
	j.mode = modeFixed
}

// statement returns the verdict after the last token.
func (j *judge) statement(text string) Statement {
	j.flush()
	text = strings.TrimLeft(text, spaces)
	if !j.scan.broken {
		text = strings.TrimRight(text, spaces)
	}
	s := Statement{
		text:        text,
		kind:        j.kind,
		fingerprint: j.hash,
		readOnly:    j.readOnly,
		chain:       j.chain,
		pins:        j.pins,
	}
	switch {
	case j.scan.broken:
		s.kind = Other
	case j.mode == modeStart && j.prevKind == tokenEnd:
		s.kind = Empty
	case j.mode == modeRead && !j.suspect && !j.scan.doubtful:
		s.kind = Read
	case j.mode == modeRead:
		s.kind = Write
	case j.mode == modeSet, j.mode == modeShow:
		parseSetting(&s)
	}
	return s
}

func mix(a, b uint64) uint64 { return (a ^ b) * hashPrime }
