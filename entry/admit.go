package entry

import (
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
)

// admit refuses what cannot start at all.
func (c *session) admit(req *request, now time.Time) error {
	if !now.Before(req.deadline) {
		return errs.New(errs.NotRun, errs.ReasonDeadline, "request could not start before its deadline")
	}
	return nil
}

// admission describes the request to the queue of a member.
func (c *session) admission(req *request) admit.Request {
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	req.usual = 0
	if est.Known {
		req.usual = est.High
	}
	return admit.Request{
		Caller:   c.caller,
		Class:    est.Class,
		Arrived:  time.Now(), // the wait in a queue starts anew with each attempt
		Deadline: req.deadline,
		Expected: est.Mean,
	}
}
