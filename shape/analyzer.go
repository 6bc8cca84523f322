package shape

import "strings"

// Constants of the 64-bit FNV-1a hash. The hash of a text must be equal on every
// instance, so it has no random seed.
const (
	hashOffset uint64 = 14695981039346656037
	hashPrime  uint64 = 1099511628211
)

// spaces are the characters that PostgreSQL skips between tokens. To PostgreSQL, other
// Unicode spaces are part of identifiers.
const spaces = " \t\n\v\f\r"

// maxIdentifierBytes is the maximum length of a PostgreSQL identifier. Longer words are
// neither keywords nor known functions.
const maxIdentifierBytes = 63

// mode is the part of the grammar that the words so far select.
type mode uint8

const (
	modeStart mode = iota
	modeRead
	modeExplain
	modeBegin
	modeAfterStart     // after START, before TRANSACTION
	modeTransactionEnd // after COMMIT, END, ROLLBACK or ABORT
	modeSet
	modeShow
	modeCreate
	modeDeclare
	modePrepare
	modeFinal // no later word changes the kind
)

// listState is the progress in a list of literals after IN. A list has the same
// fingerprint for any number of literals.
type listState uint8

const (
	listNone  listState = iota
	listOpen            // after the opening parenthesis
	listItem            // after a literal
	listComma           // after a comma, which is not hashed yet
)

// analyzer classifies one statement and hashes its normalized text in a single pass.
type analyzer struct {
	calls map[string]callKind
	scan  scanner
	hash  uint64

	kind     Kind
	mode     mode
	readOnly bool
	chain    bool
	pins     bool
	mayWrite bool // the statement looks like a read but is not proved to be one

	depth        int  // open parentheses
	atomic       int  // open BEGIN ATOMIC and CASE blocks of a function body
	inWithClause bool // in the WITH clause, before the main query

	wordBuf          [maxIdentifierBytes]byte // last word, in lower case unless quoted
	wordLen          int                      // length of the last word, or 0 if it is too long
	prior            keyword                  // keyword directly before the last word
	last             keyword                  // the last token if it is a keyword
	prevKind         tokenKind                // of the last token
	prevByte         byte                     // first byte of the last token
	afterDot         bool                     // the last word has a qualifier
	catalogQualified bool                     // the qualifier of the last word is pg_catalog
	notCall          bool                     // the last word cannot be the name of a called function
	pendingSign      byte                     // sign that is not hashed yet, because it may belong to a number
	list             listState
	isPgCatalog      bool // the last word is pg_catalog and may become a qualifier
}

// atTopLevel reports whether a semicolon at this position ends the statement.
func (j *analyzer) atTopLevel() bool { return j.depth == 0 && j.atomic == 0 }

func (j *analyzer) addToken(t token) {
	c := j.scan.text[t.start]
	switch t.kind {
	case tokenWord:
		j.flushPending()
		j.word(t)
	case tokenQuoted:
		j.flushPending()
		j.quotedIdent(t)
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

func (j *analyzer) hashByte(c byte) { j.hash = (j.hash ^ uint64(c)) * hashPrime }

// hashToken hashes a one-byte token and the zero byte that separates tokens.
func (j *analyzer) hashToken(c byte) {
	j.hashByte(c)
	j.hashByte(0)
}

// flushPending hashes a comma or sign whose hashing was delayed because it could have
// been part of a list of literals or of a number.
func (j *analyzer) flushPending() {
	if j.list == listComma {
		j.hashToken(',')
	}
	j.list = listNone
	if j.pendingSign != 0 {
		j.hashToken(j.pendingSign)
		j.pendingSign = 0
	}
}

func (j *analyzer) literal(kind tokenKind) {
	if j.pendingSign != 0 && kind != tokenNumber {
		j.flushPending()
	}
	j.pendingSign = 0
	switch j.list {
	case listOpen:
		j.list = listItem
	case listComma:
		j.list = listItem
		return
	case listItem:
		j.list = listNone
	}
	j.hashToken('?')
}

func (j *analyzer) op(c byte) {
	signed := j.prevKind == tokenOp || j.prevKind == tokenPunct && (j.prevByte == '(' || j.prevByte == ',' || j.prevByte == '[')
	if (c == '-' || c == '+') && signed && j.pendingSign == 0 {
		j.pendingSign = c
		return
	}
	j.flushPending()
	j.hashToken(c)
}

func (j *analyzer) punct(c byte) {
	if c == ',' && j.list == listItem && j.pendingSign == 0 {
		j.list = listComma
		return
	}
	j.flushPending()
	j.hashToken(c)
	switch c {
	case '(':
		j.openParen()
	case ')':
		j.depth = max(0, j.depth-1)
	}
}

func (j *analyzer) openParen() {
	// In a WITH clause, a word comes before each opening parenthesis. A parenthesis
	// without one begins the main query, so that no further common table expression
	// can follow.
	if j.depth == 0 && j.prevKind != tokenWord && j.prevKind != tokenQuoted {
		j.inWithClause = false
	}
	j.depth++
	if j.prevKind == tokenWord && j.last == keyIn {
		j.list = listOpen
	}
	if j.prevKind == tokenWord || j.prevKind == tokenQuoted {
		j.checkCall()
	}
}

// checkCall checks whether the name before an opening parenthesis is a call of a function
// that is not known to have no side effects.
func (j *analyzer) checkCall() {
	if j.notCall {
		return
	}
	name := j.wordBuf[:j.wordLen]
	if j.afterDot && !j.catalogQualified {
		j.mayWrite = true
		return
	}
	kind := j.calls[string(name)]
	switch {
	case kind == callPure:
	case kind == callGrammarWord && j.prevKind == tokenWord && !j.afterDot:
	default:
		j.mayWrite = true
		j.pins = j.pins || leavesState(name)
	}
}

// leavesState reports whether a function changes the state of its connection beyond the
// end of the transaction.
func leavesState(name []byte) bool {
	s := string(name)
	if s == "set_config" {
		return true
	}
	advisory := strings.HasPrefix(s, "pg_advisory_") || strings.HasPrefix(s, "pg_try_advisory_")
	return advisory && !strings.Contains(s, "_xact_")
}

func (j *analyzer) word(t token) {
	text := j.scan.text[t.start:t.end]
	j.hashWord(text)
	j.hashByte(0)
	j.updateQualifier()
	key := keyNone
	if !j.afterDot {
		key = keywordOf(j.wordBuf[:j.wordLen])
	}
	j.notCall = j.last == keyAs || j.last == keyWith || j.last == keyRecursive || j.cteName()
	j.prior = j.last
	j.last = key
	j.addKeyword(key)
}

// cteName reports whether the current word is the name of a further common table
// expression, which may be followed by a list of columns.
func (j *analyzer) cteName() bool {
	return j.inWithClause && j.depth == 0 && j.prevKind == tokenPunct && j.prevByte == ','
}

// hashWord hashes a word in lower case and stores it as the last word.
func (j *analyzer) hashWord(text string) {
	h := j.hash
	for i := range len(text) {
		c := text[i]
		if c >= 'A' && c <= 'Z' {
			c |= 0x20
		}
		h = (h ^ uint64(c)) * hashPrime
		if i < maxIdentifierBytes {
			j.wordBuf[i] = c
		}
	}
	j.hash = h
	j.wordLen = len(text)
	if j.wordLen > maxIdentifierBytes {
		j.wordLen = 0
	}
}

// updateQualifier updates afterDot, catalogQualified and isPgCatalog for the current
// word.
func (j *analyzer) updateQualifier() {
	dot := j.prevKind == tokenPunct && j.prevByte == '.'
	j.catalogQualified = dot && j.isPgCatalog
	j.afterDot = dot
	j.isPgCatalog = !dot && string(j.wordBuf[:j.wordLen]) == "pg_catalog"
}

func (j *analyzer) quotedIdent(t token) {
	text := j.scan.text[t.start:t.end]
	for i := range len(text) {
		j.hashByte(text[i])
	}
	j.hashByte(0)
	inner := strings.Trim(text, `"`)
	j.wordLen = 0
	if len(inner) <= maxIdentifierBytes {
		j.wordLen = copy(j.wordBuf[:], inner)
	}
	j.updateQualifier()
	j.notCall = j.last == keyAs || j.last == keyWith || j.last == keyRecursive || j.cteName()
	if j.mode == modeStart {
		j.setFinalKind(Other)
	}
}

// setFinalKind sets the kind of the statement, whatever words follow.
func (j *analyzer) setFinalKind(k Kind) {
	j.kind = k
	j.mode = modeFinal
}

// statement returns the classified statement after the last token.
func (j *analyzer) statement(text string) Statement {
	j.flushPending()
	text = strings.TrimLeft(text, spaces)
	if !j.scan.unterminated {
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
	case j.scan.unterminated:
		s.kind = Other
	case j.mode == modeStart && j.prevKind == tokenEnd:
		s.kind = Empty
	case j.mode == modeRead && !j.mayWrite && !j.scan.ambiguous:
		s.kind = Read
	case j.mode == modeRead:
		s.kind = Write
	case j.mode == modeSet, j.mode == modeShow:
		parseSetting(&s)
	}
	return s
}

func combineHashes(a, b uint64) uint64 { return (a ^ b) * hashPrime }
