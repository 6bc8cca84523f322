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
	tag  string // "SELECT" stands for a tag with the number of rows
}

// rowsCursor is a cursor over rows held in memory.
func rowsCursor(cols []column, all [][]string) *cursor {
	i := 0
	return &cursor{cols: cols, tag: selectTag, next: func() ([]string, bool) {
		if i == len(all) {
			return nil, false
		}
		i++
		return all[i-1], true
	}}
}

// tagCursor is a cursor without rows.
func tagCursor(tag string) *cursor { return &cursor{tag: tag} }

const selectTag = "SELECT"

// execute runs or continues a portal and sends its rows.
func (s *session) execute(ctx context.Context, p *portal, limit int) error {
	ctx, done := s.statement(ctx)
	defer done()
	if p.cursor == nil && s.control(p.stmt) {
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
		if err := s.m.takeSlot(ctx); err != nil {
			return err
		}
		defer s.m.freeSlot()
	}
	if p.cursor == nil {
		if err := s.start(ctx, p); err != nil {
			return err
		}
	}
	return s.stream(ctx, p, limit)
}

// takeSlot waits for a slot. Waiting senders of a channel are served in order
// of arrival.
func (m *Member) takeSlot(ctx context.Context) error {
	select {
	case m.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case m.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return endOf(ctx)
	}
}

func (m *Member) freeSlot() { <-m.slots }

// control handles the statements that need neither a slot nor a cursor.
func (s *session) control(st statement) bool {
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

// discard forgets the settings and prepared statements of the session.
func (s *session) discard() {
	clear(s.settings)
	clear(s.statements)
	clear(s.portals)
}

// complete sends CommandComplete, or keeps it until an implicit transaction
// with writes has committed.
func (s *session) complete(tag string) {
	if s.txn != nil && !s.txn.explicit {
		s.pending = tag
		return
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// lockRow takes the row lock of a write before its slot, so that a statement
// that waits for a lock does not keep the holder from committing.
func (s *session) lockRow(ctx context.Context, p *portal) error {
	w, ok := p.stmt.(writeStmt)
	if !ok || p.cursor != nil {
		return nil
	}
	if s.txn == nil {
		s.txn = s.m.begin(false)
	}
	if err := s.txn.join(); err != nil {
		return err
	}
	return s.txn.lock(ctx, w.row(p.params))
}

// start takes the snapshot, holds the slot for the service time and sends the
// position and the row description.
func (s *session) start(ctx context.Context, p *portal) error {
	switch st := p.stmt.(type) {
	case writeStmt:
		return s.startWrite(ctx, p, st)
	case commitStmt:
		return s.startCommit(ctx, p)
	case discardStmt:
		return &Error{stateActiveTxn, "DISCARD ALL cannot run inside a transaction block"}
	case noopStmt:
		p.cursor = tagCursor(st.tag)
		return s.m.serve(ctx)
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

// serve holds the slot for the service time.
func (m *Member) serve(ctx context.Context) error {
	if !wait(ctx, m.Service()) {
		return endOf(ctx)
	}
	return m.gate(ctx)
}

func (s *session) startCommit(ctx context.Context, p *portal) error {
	if err := s.m.serve(ctx); err != nil {
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
	if err := s.m.serve(ctx); err != nil {
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
			return nil, endOf(ctx)
		}
	}
	if err := s.m.serve(ctx); err != nil {
		return nil, err
	}
	s.sendParameter(positionParameter, pos)
	return c, nil
}

// snapshot opens the cursor of a read together with its position.
func (s *session) snapshot(p *portal) (*cursor, string, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	pos := s.m.appliedPosition().String()
	switch st := p.stmt.(type) {
	case selectStmt:
		all, err := s.read(st, p.params)
		return rowsCursor(columnsOf(st), all), pos, err
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

// setting answers SHOW.
func (s *session) setting(name string) string {
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
			s.complete(selectTag + " " + strconv.Itoa(p.sent))
			return nil
		}
		if err := s.sendRow(c.cols, row, p.formats); err != nil {
			return err
		}
		p.sent++
		if len(s.out) < flushOutput {
			continue
		}
		if ctx.Err() != nil {
			return endOf(ctx)
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
