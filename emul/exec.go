package emul

import (
	"context"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// column describes one column of a result.
type column struct {
	name string
	oid  uint32
}

func (c column) size() int16 {
	if c.oid == oidInt8 {
		return 8
	}
	return -1
}

func textColumns(names ...string) []column {
	cols := make([]column, len(names))
	for i, name := range names {
		cols[i] = column{name: name, oid: oidText}
	}
	return cols
}

// columnsOf describes the result of a statement; nil means that it has no rows.
func columnsOf(st statement) []column {
	switch st := st.(type) {
	case showStmt:
		if st.name == statusName {
			return textColumns(statusColumns...)
		}
		return textColumns(st.name)
	case callStmt:
		return callColumns(st)
	case constStmt:
		cols := make([]column, len(st.values))
		for i, v := range st.values {
			cols[i] = column{name: "?column?", oid: v.oid()}
		}
		return cols
	case selectStmt:
		cols := textColumns(st.columns...)
		for i, name := range st.columns {
			if name == countColumn || name == sumColumn {
				cols[i].oid = oidInt8
			}
		}
		return cols
	}
	return nil
}

// cursor produces the rows of a statement.
type cursor struct {
	cols []column
	next func() ([]string, bool)
	tag  string // "SELECT" is sent with the number of rows
}

// rowsCursor returns a cursor over rows held in memory.
func rowsCursor(cols []column, rows [][]string) *cursor {
	i := 0
	return &cursor{cols: cols, tag: selectTag, next: func() ([]string, bool) {
		if i == len(rows) {
			return nil, false
		}
		i++
		return rows[i-1], true
	}}
}

// tagCursor returns the cursor of a statement that returns no rows.
func tagCursor(tag string) *cursor { return &cursor{tag: tag} }

const selectTag = "SELECT"

// execute runs a portal, or continues it after a row limit, and sends its rows.
func (s *session) execute(ctx context.Context, p *portal, limit int) error {
	ctx, done := s.statementContext(ctx)
	defer done()
	if p.cursor == nil && s.executeImmediate(p.stmt) {
		return nil
	}
	if s.txn != nil && s.txn.failed {
		return errFailedTxn
	}
	if isGroupStatement(p.stmt) {
		return s.executeGroup(ctx, p, limit)
	}
	if err := s.lockRow(ctx, p); err != nil {
		return err
	}
	if !s.privileged {
		if err := s.m.acquireSlot(ctx); err != nil {
			return err
		}
		defer s.m.releaseSlot()
	}
	if p.cursor == nil {
		if err := s.start(ctx, p); err != nil {
			return err
		}
	}
	return s.stream(ctx, p, limit)
}

// acquireSlot waits for a slot. Goroutines that wait to send on a channel are served
// in order of arrival.
func (m *Member) acquireSlot(ctx context.Context) error {
	select {
	case m.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case m.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return cancelError(ctx)
	}
}

func (m *Member) releaseSlot() { <-m.slots }

// executeImmediate runs a statement that needs neither a slot nor a cursor. It
// reports false, and does nothing, for all other statements.
func (s *session) executeImmediate(st statement) bool {
	switch st := st.(type) {
	case beginStmt:
		if s.txn == nil {
			s.txn = s.m.begin(true)
		}
		s.txn.explicit = true
		s.complete("BEGIN")
	case rollbackStmt:
		s.abort()
		s.complete("ROLLBACK")
	case commitStmt:
		if s.txn != nil && !s.txn.failed {
			return false
		}
		tag := "COMMIT"
		if s.txn != nil {
			tag = "ROLLBACK"
		}
		s.abort()
		s.complete(tag)
	case emptyStmt:
		s.send(&pgproto3.EmptyQueryResponse{})
	case setStmt:
		if s.txn != nil && s.txn.failed {
			return false
		}
		if st.tag == "RESET" && st.name == "all" {
			clear(s.settings)
		} else {
			s.settings[st.name] = st.value
		}
		s.complete(st.tag)
	case discardStmt:
		if s.txn != nil {
			return false
		}
		s.discard()
		s.complete("DISCARD ALL")
	default:
		return false
	}
	return true
}

// discard drops the settings, prepared statements and portals of the session.
func (s *session) discard() {
	clear(s.settings)
	clear(s.statements)
	clear(s.portals)
}

// complete sends CommandComplete. In an implicit transaction with writes, it is sent
// only after the commit.
func (s *session) complete(tag string) {
	if s.txn != nil && !s.txn.explicit {
		s.pendingTag = tag
		return
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// lockRow takes the row lock of a write before its slot. A statement that waited for
// a lock while it held a slot could keep the owner of the lock from committing.
func (s *session) lockRow(ctx context.Context, p *portal) error {
	w, ok := p.stmt.(writeStmt)
	if !ok || p.cursor != nil {
		return nil
	}
	if s.txn == nil {
		s.txn = s.m.begin(false)
	}
	if err := s.txn.bindToTerm(); err != nil {
		return err
	}
	return s.txn.lock(ctx, w.row(p.params))
}

// start executes the statement of a portal up to its first row and opens its cursor.
// A read takes its snapshot, holds the slot for the service time, and sends the
// position and, if requested, the row description.
func (s *session) start(ctx context.Context, p *portal) error {
	switch st := p.stmt.(type) {
	case writeStmt:
		return s.startWrite(ctx, p, st)
	case commitStmt:
		return s.startCommit(ctx, p)
	case discardStmt:
		return &Error{sqlStateActiveTxn, "DISCARD ALL cannot run inside a transaction block"}
	case noopStmt:
		p.cursor = tagCursor(st.tag)
		return s.m.waitServiceTime(ctx)
	}
	c, err := s.startRead(ctx, p)
	if err != nil {
		return err
	}
	p.cursor = c
	if p.describe {
		s.sendRowDescription(p.cursor.cols, p.formats)
	}
	return nil
}

// waitServiceTime waits for the service time, during which the statement holds its
// slot.
func (m *Member) waitServiceTime(ctx context.Context) error {
	if !wait(ctx, m.ServiceTime()) {
		return cancelError(ctx)
	}
	return m.awaitThaw(ctx)
}

func (s *session) startCommit(ctx context.Context, p *portal) error {
	if err := s.m.waitServiceTime(ctx); err != nil {
		return err
	}
	t := s.txn
	s.txn = nil
	if err := s.commitAndReport(t); err != nil {
		return err
	}
	p.cursor = tagCursor("COMMIT")
	return nil
}

func (s *session) startWrite(ctx context.Context, p *portal, w writeStmt) error {
	if err := s.m.waitServiceTime(ctx); err != nil {
		return err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	tag, err := w.write(s.txn, p.params)
	if err != nil {
		return err
	}
	p.cursor = tagCursor(tag)
	return nil
}

func (s *session) startRead(ctx context.Context, p *portal) (*cursor, error) {
	c, pos, err := s.snapshot(p)
	if err != nil {
		return nil, err
	}
	if call, ok := p.stmt.(callStmt); ok && call.name == sleepName {
		d, err := sleepTime(call, p.params)
		if err != nil {
			return nil, err
		}
		if !wait(ctx, d) {
			return nil, cancelError(ctx)
		}
	}
	if err := s.m.waitServiceTime(ctx); err != nil {
		return nil, err
	}
	s.sendParameter(positionParameter, pos)
	return c, nil
}

// snapshot opens the cursor of a read and returns it with the applied position of
// the member at that moment.
func (s *session) snapshot(p *portal) (*cursor, string, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	pos := s.m.appliedPosition().String()
	switch st := p.stmt.(type) {
	case selectStmt:
		rows, err := s.selectRows(st, p.params)
		return rowsCursor(columnsOf(st), rows), pos, err
	case constStmt:
		row := make([]string, len(st.values))
		for i, v := range st.values {
			row[i] = v.value(p.params)
		}
		return rowsCursor(columnsOf(st), [][]string{row}), pos, nil
	case callStmt:
		c, err := callCursor(st, p.params)
		return c, pos, err
	}
	return nil, pos, errSyntax
}

// settingValue returns the value that SHOW reports for a setting.
func (s *session) settingValue(name string) string {
	switch name {
	case "transaction_read_only":
		if s.m.Status().Role == Primary {
			return "off"
		}
		return "on"
	case "server_version":
		return serverVersion
	case "server_encoding", "client_encoding":
		return clientEncoding
	}
	return s.settings[name]
}

// stream sends up to limit rows, or all of them if limit is 0.
func (s *session) stream(ctx context.Context, p *portal, limit int) error {
	c := p.cursor
	if c.next == nil {
		s.complete(c.tag)
		return nil
	}
	for n := 0; limit == 0 || n < limit; n++ {
		row, ok := c.next()
		if !ok {
			s.complete(selectTag + " " + strconv.Itoa(p.rowsSent))
			return nil
		}
		if err := s.sendRow(c.cols, row, p.formats); err != nil {
			return err
		}
		p.rowsSent++
		if len(s.out) < flushThresholdBytes {
			continue
		}
		if ctx.Err() != nil {
			return cancelError(ctx)
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
	s.send(&pgproto3.PortalSuspended{})
	return nil
}

func (s *session) sendRow(cols []column, row []string, formats []int16) error {
	s.values = s.values[:0]
	for i, text := range row {
		if cols[i].oid != oidInt8 || formatOf(formats, i) != binaryFormat {
			s.values = append(s.values, []byte(text))
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errNotNumber
		}
		s.values = append(s.values, binary.BigEndian.AppendUint64(nil, uint64(n)))
	}
	s.send(&pgproto3.DataRow{Values: s.values})
	return nil
}

// callColumns describes the result of a function call.
func callColumns(st callStmt) []column {
	switch st.name {
	case seriesName:
		return []column{{st.name, oidInt8}}
	case watchName:
		return textColumns(watchColumns...)
	case fetchName:
		return textColumns(fetchColumns...)
	case followName:
		return textColumns(followColumns...)
	}
	return textColumns(st.name)
}

func isGroupStatement(st statement) bool {
	switch st := st.(type) {
	case showStmt:
		return true
	case callStmt:
		return strings.HasPrefix(st.name, groupPrefix)
	}
	return false
}
