package shape

// addKeyword updates the classification with the keyword of an unquoted word.
func (j *analyzer) addKeyword(key keyword) {
	if key == keyTemp && j.mode != modeCreate {
		j.pins = j.pins || j.prior == keyInto || string(j.wordBuf[:j.wordLen]) == "pg_temp"
	}
	switch j.mode {
	case modeStart:
		j.first(key)
	case modeRead:
		j.read(key)
	case modeExplain:
		j.explain(key)
	case modeBegin:
		j.begin(key)
	case modeAfterStart:
		j.afterStart(key)
	case modeTransactionEnd:
		j.end(key)
	case modeCreate:
		j.create(key)
	case modeDeclare:
		j.pins = j.pins || key == keyHold && j.prior == keyWith
	case modePrepare:
		j.pins = key != keyTransaction
		j.setFinalKind(Other)
	}
}

// first selects the mode by the first word of the statement.
func (j *analyzer) first(key keyword) {
	switch key {
	case keySelect, keyValues, keyTable:
		j.mode = modeRead
	case keyWith:
		j.mode = modeRead
		j.inWithClause = true
	case keyExplain:
		j.mode = modeExplain
	case keyModify:
		j.setFinalKind(Write)
	case keyBegin:
		j.kind, j.mode = Begin, modeBegin
	case keyStart:
		j.mode = modeAfterStart
	case keyCommit, keyEnd:
		j.kind, j.mode = Commit, modeTransactionEnd
	case keyRollback:
		j.kind, j.mode = Rollback, modeTransactionEnd
	case keySet:
		j.kind, j.mode = Set, modeSet
	case keyShow:
		j.kind, j.mode = Show, modeShow
	case keyCopy:
		j.setFinalKind(Copy)
	case keyCreate:
		j.mode = modeCreate
	case keyDeclare:
		j.mode = modeDeclare
	case keyPrepare:
		j.mode = modePrepare
	case keySessionState:
		j.pins = true
		j.setFinalKind(Other)
	default:
		j.setFinalKind(Other)
	}
}

// read detects clauses that write or lock rows. The keyword UPDATE also covers FOR
// UPDATE and data-modifying common table expressions.
func (j *analyzer) read(key keyword) {
	switch key {
	case keyModify, keyInto:
		j.mayWrite = true
	case keyShare, keyNo, keyKey:
		j.mayWrite = j.mayWrite || j.prior == keyFor
	case keySelect, keyValues, keyTable:
		j.inWithClause = j.inWithClause && j.depth > 0
	}
}

// explain skips the options up to the statement that is explained. EXPLAIN ANALYZE runs
// that statement, so an EXPLAIN is a read only if the statement is one.
func (j *analyzer) explain(key keyword) {
	switch key {
	case keySelect, keyValues, keyTable, keyWith, keyModify:
		j.first(key)
	case keyAnalyze, keyVerbose:
	default:
		if j.depth == 0 {
			j.setFinalKind(Other)
		}
	}
}

func (j *analyzer) begin(key keyword) {
	if j.prior != keyRead {
		return
	}
	switch key {
	case keyOnly:
		j.readOnly = true
	case keyWrite:
		j.readOnly = false
	}
}

func (j *analyzer) afterStart(key keyword) {
	if key != keyTransaction {
		j.setFinalKind(Other)
		return
	}
	j.kind, j.mode = Begin, modeBegin
}

// end handles the words after COMMIT, END, ROLLBACK and ABORT. ROLLBACK TO
// keeps the transaction open, and COMMIT PREPARED ends another one.
func (j *analyzer) end(key keyword) {
	switch key {
	case keyTo, keyPrepared:
		j.setFinalKind(Other)
	case keyChain:
		j.chain = j.prior != keyNo
	}
}

// create detects temporary objects, and function bodies of the form BEGIN ATOMIC, in
// which semicolons do not end the statement.
func (j *analyzer) create(key keyword) {
	switch {
	case key == keyTemp:
		j.pins = true
	case key == keyAtomic && j.prior == keyBegin:
		j.atomic++
	case key == keyCase && j.atomic > 0:
		j.atomic++
	case key == keyEnd && j.atomic > 0:
		j.atomic--
	}
}
