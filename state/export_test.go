package state

// ApplyForgetful applies c on a machine that forgets the results of earlier
// changes. It shows that the check of resent changes can fail.
func ApplyForgetful(m *Machine, at Stamp, c Command) Applied {
	m.results = newResults()
	return m.Apply(at, c)
}

// ApplyUncompared applies c with the comparison of the expected term left out.
// It shows that the check of concurrent promotions can fail.
func ApplyUncompared(m *Machine, at Stamp, c Command) Applied {
	if b, ok := c.(BeginPromotion); ok {
		if d, ok := m.View().Group(b.Database); ok {
			b.ExpectedTerm = d.BegunTerm()
			b.NewTerm = max(b.NewTerm, b.ExpectedTerm+1)
		}
		c = b
	}
	return m.Apply(at, c)
}
