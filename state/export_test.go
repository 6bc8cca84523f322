package state

// ApplyForgettingResults applies c to m after dropping the results of earlier
// changes, so that a change that is sent again gets a new result. A test uses it
// to show that the check of such changes can fail.
func ApplyForgettingResults(m *Machine, at Stamp, c Command) ApplyResult {
	m.results = newResults()
	return m.Apply(at, c)
}

// ApplyWithoutTermCheck applies c without the comparison of the expected term, so
// that two promotions can begin from the same term. A test uses it to show that
// the check of concurrent promotions can fail.
func ApplyWithoutTermCheck(m *Machine, at Stamp, c Command) ApplyResult {
	if b, ok := c.(BeginPromotion); ok {
		if d, ok := m.View().Group(b.Database); ok {
			b.ExpectedTerm = d.BegunTerm()
			b.NewTerm = max(b.NewTerm, b.ExpectedTerm+1)
		}
		c = b
	}
	return m.Apply(at, c)
}
