package emul

import (
	"context"
	"time"

	"tamarackcross/group"
)

const appliedName = "group_applied"

// callApplied runs group_applied(after, timeout_ms). It returns the applied position
// of the member once that is beyond after or the timeout has passed.
func (m *Member) callApplied(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	passed, timeout, err := st.waitArgs(params)
	if err != nil {
		return nil, err
	}
	var answer string
	err = m.awaitTimeout(ctx, timeout, func() bool {
		p := m.appliedPosition()
		answer = p.String()
		return passed(p)
	})
	return [][]string{{answer}}, err
}

// waitArgs parses the arguments (after, timeout_ms) of a call that waits for a
// position. passed reports whether a position is beyond after.
func (st callStmt) waitArgs(params []string) (passed func(group.Position) bool, timeout time.Duration, err error) {
	text, err := st.textArg(0, params)
	if err != nil {
		return nil, 0, err
	}
	if passed, err = positionAfter(text); err != nil {
		return nil, 0, err
	}
	timeout, err = st.millisArg(1, params)
	return passed, timeout, err
}
