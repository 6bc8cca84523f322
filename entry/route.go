package entry

import (
	"context"

	"tamarackcross/errs"
)

// route chooses the member that serves a request.
func (c *session) route(ctx context.Context, req *request) (*member, error) {
	db, err := c.srv.database(c.database)
	if err != nil {
		return nil, err
	}
	g, err := db.group()
	if err != nil {
		return nil, err
	}
	if req.onPrimary() {
		return db.primaryMember()
	}
	req.latest = c.set.bound == boundLatest && req.reads()
	if req.need, err = c.needFor(ctx, db, g); err != nil {
		return nil, err
	}
	if req.latest || req.primaryOnly {
		return db.primaryMember()
	}
	for _, b := range g.Members {
		m := db.member(b)
		p, _ := m.position()
		if b.Name != g.Primary && !b.Leaving && c.holds(p, req.need) {
			return m, nil
		}
	}
	m, err := db.primaryMember()
	if err != nil {
		return nil, errs.New(errs.NotRun, errs.ReasonNoMember, "no member may serve the read")
	}
	return m, nil
}
