package emul

import "context"

const appliedName = "group_applied"

// callApplied answers group_applied(after, timeout_ms): the position that the
// member has applied, as soon as it is beyond after or when the time is up.
func (m *Member) callApplied(ctx context.Context, st callStmt, params []string) ([][]string, error) {
	text, err := st.text(0, params)
	if err != nil {
		return nil, err
	}
	passed, err := passedBy(text)
	if err != nil {
		return nil, err
	}
	timeout, err := st.millis(1, params)
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
