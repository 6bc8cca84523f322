package emul

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Type OIDs and formats of the protocol.
const (
	oidInt8      = 20
	oidInt2      = 21
	oidInt4      = 23
	oidText      = 25
	binaryFormat = 1
)

// preparedStatement is a parsed statement of the extended protocol.
type preparedStatement struct {
	stmt   statement
	params []uint32
}

// portal is a statement bound to its parameters. Its cursor stays open between
// executions with a row limit.
type portal struct {
	stmt     statement
	params   []string
	formats  []int16
	cursor   *cursor
	rowsSent int
	describe bool // send the row description before the rows
}

// handleExtended handles a message of the extended protocol other than Sync and
// Flush.
func (s *session) handleExtended(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describe(msg)
	case *pgproto3.Execute:
		p, ok := s.portals[msg.Portal]
		if !ok {
			return &Error{sqlStateNoPortal, "portal does not exist"}
		}
		return s.execute(ctx, p, int(msg.MaxRows))
	case *pgproto3.Close:
		s.closeObject(msg)
		return nil
	}
	return &Error{sqlStateProtocol, "unexpected message"}
}

func (s *session) parse(msg *pgproto3.Parse) error {
	st, n, err := parseOne(msg.Query)
	if err != nil {
		return err
	}
	p := &preparedStatement{stmt: st, params: make([]uint32, n)}
	for i := range p.params {
		p.params[i] = oidText
		if i < len(msg.ParameterOIDs) && msg.ParameterOIDs[i] != 0 {
			p.params[i] = msg.ParameterOIDs[i]
		}
	}
	if _, exists := s.statements[msg.Name]; exists && msg.Name != "" {
		return &Error{sqlStateDuplicateStatement, "prepared statement already exists"}
	}
	s.statements[msg.Name] = p
	s.send(&pgproto3.ParseComplete{})
	return nil
}

// parseOne parses a query of at most one statement.
func parseOne(sql string) (statement, int, error) {
	texts := splitStatements(sql)
	switch len(texts) {
	case 0:
		return emptyStmt{}, 0, nil
	case 1:
		return parse(texts[0])
	}
	return nil, 0, eris.Wrap(errSyntax, "several commands in a prepared statement")
}

func (s *session) bind(msg *pgproto3.Bind) error {
	st, ok := s.statements[msg.PreparedStatement]
	if !ok {
		return &Error{sqlStateNoStatement, "prepared statement does not exist"}
	}
	if len(msg.Parameters) != len(st.params) {
		return &Error{sqlStateProtocol, "bind message has the wrong number of parameters"}
	}
	p := &portal{stmt: st.stmt}
	for i, raw := range msg.Parameters {
		text, err := decodeParam(raw, st.params[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.params = append(p.params, text)
	}
	p.formats = append(p.formats, msg.ResultFormatCodes...)
	s.portals[msg.DestinationPortal] = p
	s.send(&pgproto3.BindComplete{})
	return nil
}

// formatOf returns the format of value i. A single code applies to all values.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

// decodeParam returns the text of a parameter. A parameter of type text looks the
// same in both formats.
func decodeParam(raw []byte, oid uint32, format int16) (string, error) {
	if format != binaryFormat {
		return string(raw), nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case oid == oidInt4 && len(raw) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case oid == oidInt2 && len(raw) == 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10), nil
	case oid == oidText:
		return string(raw), nil
	}
	return "", &Error{sqlStateUnsupported, "binary format is not supported for this parameter type"}
}

func (s *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		p, ok := s.portals[msg.Name]
		if !ok {
			return &Error{sqlStateNoPortal, "portal does not exist"}
		}
		s.sendColumns(columnsOf(p.stmt), p.formats)
		return nil
	}
	st, ok := s.statements[msg.Name]
	if !ok {
		return &Error{sqlStateNoStatement, "prepared statement does not exist"}
	}
	s.send(&pgproto3.ParameterDescription{ParameterOIDs: st.params})
	s.sendColumns(columnsOf(st.stmt), nil)
	return nil
}

// sendColumns sends RowDescription, or NoData for a statement without rows.
func (s *session) sendColumns(cols []column, formats []int16) {
	if len(cols) == 0 {
		s.send(&pgproto3.NoData{})
		return
	}
	s.sendRowDescription(cols, formats)
}

func (s *session) sendRowDescription(cols []column, formats []int16) {
	fields := make([]pgproto3.FieldDescription, len(cols))
	for i, c := range cols {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: c.size(),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	s.send(&pgproto3.RowDescription{Fields: fields})
}

func (s *session) closeObject(msg *pgproto3.Close) {
	if msg.ObjectType == 'P' {
		delete(s.portals, msg.Name)
	} else {
		delete(s.statements, msg.Name)
	}
	s.send(&pgproto3.CloseComplete{})
}
