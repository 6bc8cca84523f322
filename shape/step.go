package shape

// step advances the classification by one unquoted word.
func (j *judge) step(key keyword) {
	if key == keyTemp && j.mode != modeCreate {
		j.pins = j.pins || j.prior == keyInto || string(j.buf[:j.n]) == "pg_temp"
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
	case modeStarted:
		j.started(key)
	case modeEnd:
		j.end(key)
	case modeCreate:
		j.create(key)
	case modeDeclare:
		j.pins = j.pins || key == keyHold && j.prior == keyWith
	case modePrepare:
		j.pins = key != keyTransaction
		j.fix(Other)
	}
}

// first decides by the first word of the statement.
func (j *judge) first(key keyword) {
	switch key {
	case keySelect, keyValues, keyTable:
		j.mode = modeRead
	case keyWith:
		j.mode = modeRead
		j.header = true
	case keyExplain:
		j.mode = modeExplain
	case keyModify:
		j.fix(Write)
	case keyBegin:
		j.kind, j.mode = Begin, modeBegin
	case keyStart:
		j.mode = modeStarted
	case keyCommit, keyEnd:
		j.kind, j.mode = Commit, modeEnd
	case keyRollback:
		j.kind, j.mode = Rollback, modeEnd
	case keySet:
		j.kind, j.mode = Set, modeSet
	case keyShow:
		j.kind, j.mode = Show, modeShow
	case keyCopy:
		j.fix(Copy)
	case keyCreate:
		j.mode = modeCreate
	case keyDeclare:
		j.mode = modeDeclare
	case keyPrepare:
		j.mode = modePrepare
	case keyState:
		j.pins = true
		j.fix(Other)
	default:
		j.fix(Other)
	}
}

// read looks for clauses that write or lock rows. "update" also covers FOR
// UPDATE and data-modifying common table expressions.
func (j *judge) read(key keyword) {
	switch key {
	case keyModify, keyInto:
		j.suspect = true
	case keyShare, keyNo, keyKey:
		j.suspect = j.suspect || j.prior == keyFor
	case keySelect, keyValues, keyTable:
		j.header = j.header && j.depth > 0
	}
}

// explain passes over the options to the statement that is explained. ANALYZE
// runs it, so only explained reads are reads.
func (j *judge) explain(key keyword) {
	switch key {
	case keySelect, keyValues, keyTable, keyWith, keyModify:
		j.first(key)
	case keyAnalyze, keyVerbose:
	default:
		if j.depth == 0 {
			j.fix(Other)
		}
	}
}

func (j *judge) begin(key keyword) {
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

func (j *judge) started(key keyword) {
	if key != keyTransaction {
		j.fix(Other)
		return
	}
	j.kind, j.mode = Begin, modeBegin
}

// end handles the words after COMMIT, END, ROLLBACK and ABORT. ROLLBACK TO
// keeps the transaction open, and COMMIT PREPARED ends another one.
func (j *judge) end(key keyword) {
	switch key {
	case keyTo, keyPrepared:
		j.fix(Other)
	case keyChain:
		j.chain = j.prior != keyNo
	}
}

// create finds temporary objects and function bodies of the form BEGIN ATOMIC,
// in which semicolons do not end the statement.
func (j *judge) create(key keyword) {
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
