package emul

import (
	"context"
	"time"

	"tamarackcross/group"
)

const appliedName = "group_applied"

// callApplied answers group_applied(after, timeout_ms): the position that the
// member has applied, as soon as it is beyond after or when the time is up.
func (m *Member) callApplied(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	passed, timeout, err := st.after(params)
	if err != nil {
		return nil, err
	}
	var answer string
	err = m.poll(ctx, timeout, func() bool {
		p := m.appliedPosition()
		answer = p.String()
		return passed(p)
	})
	return [][]string{{answer}}, err
}

// after reads the arguments (after, timeout_ms) of a call that waits for a
// position.
func (st callStmt) after(params []string) (passed func(group.Position) bool, timeout time.Duration, err error) {
	text, err := st.text(0, params)
	if err != nil {
		return nil, 0, err
	}
	if passed, err = passedBy(text); err != nil {
		return nil, 0, err
	}
	timeout, err = st.millis(1, params)
	return passed, timeout, err
}
