package emul

import (
	"slices"
	"strconv"
)

// writeStmt is a statement that writes one row.
type writeStmt interface {
	statement
	// row returns the key of the row whose lock the statement needs.
	row(params []string) rowKey
	// write changes the row in t and returns the command tag. The caller holds the mutex
	// of the member.
	write(t *txn, params []string) (string, error)
}

func (st insertStmt) row(params []string) rowKey {
	return rowKey{st.table, st.key.value(params)}
}

func (st insertStmt) write(t *txn, params []string) (string, error) {
	k := st.row(params)
	_, exists := t.get(k)
	if exists && st.conflict == conflictError {
		return "", errDuplicateKey
	}
	if exists && st.conflict == conflictSkip {
		return "INSERT 0 0", nil
	}
	t.put(k, st.value.value(params), true)
	return "INSERT 0 1", nil
}

func (st updateStmt) row(params []string) rowKey {
	return rowKey{st.table, st.key.value(params)}
}

func (st updateStmt) write(t *txn, params []string) (string, error) {
	k := st.row(params)
	old, exists := t.get(k)
	if !exists {
		return "UPDATE 0", nil
	}
	value := st.value.value(params)
	if st.add {
		sum, err := addText(old, value)
		if err != nil {
			return "", err
		}
		value = sum
	}
	t.put(k, value, true)
	return "UPDATE 1", nil
}

func addText(a, b string) (string, error) {
	x, errX := strconv.ParseInt(a, 10, 64)
	y, errY := strconv.ParseInt(b, 10, 64)
	if errX != nil || errY != nil {
		return "", errNotNumber
	}
	return strconv.FormatInt(x+y, 10), nil
}

func (st deleteStmt) row(params []string) rowKey {
	return rowKey{st.table, st.key.value(params)}
}

func (st deleteStmt) write(t *txn, params []string) (string, error) {
	k := st.row(params)
	if _, exists := t.get(k); !exists {
		return "DELETE 0", nil
	}
	t.put(k, "", false)
	return "DELETE 1", nil
}

// record is one row of a table as a transaction sees it.
type record struct{ key, value string }

// selectRows returns the rows of a SELECT. The caller holds the mutex of the member.
func (s *session) selectRows(st selectStmt, params []string) ([][]string, error) {
	t := s.txn
	if t == nil {
		t = &txn{m: s.m}
	}
	var found []record
	if st.key == nil {
		found = t.scan(st.table)
	} else {
		found = t.find(rowKey{st.table, st.key.value(params)})
	}
	if slices.Contains(st.columns, countColumn) || slices.Contains(st.columns, sumColumn) {
		return aggregate(st.columns, found)
	}
	found, err := applyLimit(found, st.limit, params)
	if err != nil {
		return nil, err
	}
	rows := make([][]string, len(found))
	for i, r := range found {
		rows[i] = r.project(st.columns)
	}
	return rows, nil
}

func applyLimit(found []record, limit *operand, params []string) ([]record, error) {
	if limit == nil {
		return found, nil
	}
	n, err := strconv.Atoi(limit.value(params))
	if err != nil || n < 0 {
		return nil, errNotNumber
	}
	return found[:min(n, len(found))], nil
}

func (r record) project(columns []string) []string {
	row := make([]string, len(columns))
	for i, name := range columns {
		row[i] = r.value
		if isKeyColumn(name) {
			row[i] = r.key
		}
	}
	return row
}

// aggregate returns the single row of counts and sums. A sum over a value that is
// not a number is an error.
func aggregate(columns []string, found []record) ([][]string, error) {
	row := make([]string, len(columns))
	for i, name := range columns {
		switch name {
		case countColumn:
			row[i] = strconv.Itoa(len(found))
		case sumColumn:
			sum, err := sumOf(found)
			if err != nil {
				return nil, err
			}
			row[i] = sum
		default:
			return nil, errSyntax
		}
	}
	return [][]string{row}, nil
}

func sumOf(found []record) (string, error) {
	sum := int64(0)
	for _, r := range found {
		n, err := strconv.ParseInt(r.value, 10, 64)
		if err != nil {
			return "", errNotNumber
		}
		sum += n
	}
	return strconv.FormatInt(sum, 10), nil
}

// find returns the row with key k, if it exists. The caller holds mu.
func (t *txn) find(k rowKey) []record {
	v, ok := t.get(k)
	if !ok {
		return nil
	}
	return []record{{k.key, v}}
}

// scan returns the rows of a table ordered by key. The caller holds mu.
func (t *txn) scan(table string) []record {
	data := t.m.data[table]
	found := make([]record, 0, len(data))
	for k, v := range data {
		if _, written := t.writes[rowKey{table, k}]; !written {
			found = append(found, record{k, v})
		}
	}
	for k, c := range t.writes {
		if k.table == table && c.Present {
			found = append(found, record{k.key, c.Value})
		}
	}
	slices.SortFunc(found, func(a, b record) int {
		if a.key < b.key {
			return -1
		}
		return 1
	})
	return found
}
