package emul

import (
	"strconv"
	"strings"
	"time"
)

// Names of the functions whose execution needs a slot.
const (
	sleepName  = "pg_sleep"
	repeatName = "repeat"
	seriesName = "generate_series"
)

const maxRepeatBytes = 64 << 20 // size of one value of repeat

// intArg returns argument i of a call as an integer.
func (st callStmt) intArg(i int, params []string) (int64, error) {
	text, err := st.textArg(i, params)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errNotNumber
	}
	return n, nil
}

// uintArg returns argument i of a call as a term or offset.
func (st callStmt) uintArg(i int, params []string) (uint64, error) {
	n, err := st.intArg(i, params)
	if err == nil && n < 0 {
		err = errNotNumber
	}
	return uint64(n), err
}

// millisArg returns argument i of a call as a duration in milliseconds.
func (st callStmt) millisArg(i int, params []string) (time.Duration, error) {
	n, err := st.intArg(i, params)
	return time.Duration(n) * time.Millisecond, err
}

func (st callStmt) textArg(i int, params []string) (string, error) {
	if i >= len(st.args) {
		return "", &Error{sqlStateNoFunction, "function " + st.name + " needs more arguments"}
	}
	return st.args[i].value(params), nil
}

func sleepTime(st callStmt, params []string) (time.Duration, error) {
	text, err := st.textArg(0, params)
	if err != nil {
		return 0, err
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errNotNumber
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// callCursor opens the cursor of a function call. With FROM generate_series, the
// value of the call is returned once per element of the series.
func callCursor(st callStmt, params []string) (*cursor, error) {
	if st.name == seriesName {
		return seriesCursor(st, params, nil)
	}
	value, err := callValue(st, params)
	if err != nil {
		return nil, err
	}
	if st.from != nil {
		return seriesCursor(*st.from, params, &cursor{cols: columnsOf(st), next: func() ([]string, bool) {
			return []string{value}, true
		}})
	}
	return rowsCursor(columnsOf(st), [][]string{{value}}), nil
}

func callValue(st callStmt, params []string) (string, error) {
	switch st.name {
	case sleepName:
		return "", nil
	case repeatName:
		text, err := st.textArg(0, params)
		if err != nil {
			return "", err
		}
		n, err := st.intArg(1, params)
		if err != nil {
			return "", err
		}
		if n < 0 || n*int64(len(text)) > maxRepeatBytes {
			return "", errNotNumber
		}
		return strings.Repeat(text, int(n)), nil
	}
	return "", &Error{sqlStateNoFunction, "function " + st.name + " does not exist"}
}

// seriesCursor counts from the first to the second argument. If each is not nil, it
// returns a row of each per element instead of the element.
func seriesCursor(st callStmt, params []string, each *cursor) (*cursor, error) {
	from, err := st.intArg(0, params)
	if err != nil {
		return nil, err
	}
	to, err := st.intArg(1, params)
	if err != nil {
		return nil, err
	}
	c := &cursor{cols: columnsOf(st), tag: selectTag}
	c.next = func() ([]string, bool) {
		if from > to {
			return nil, false
		}
		from++
		return []string{strconv.FormatInt(from-1, 10)}, true
	}
	if each == nil {
		return c, nil
	}
	count := c.next
	c.cols = each.cols
	c.next = func() ([]string, bool) {
		if _, ok := count(); !ok {
			return nil, false
		}
		return each.next()
	}
	return c, nil
}
