package entry

import (
	"time"

	"tamarackcross/admit"
	"tamarackcross/errs"
)

// checkDeadline refuses a request whose deadline has passed.
func (c *session) checkDeadline(req *request, now time.Time) error {
	if !now.Before(req.deadline) {
		return errs.New(errs.NotRun, errs.ReasonDeadline, "request could not start before its deadline")
	}
	return nil
}

// admissionRequest describes the request to the admission queue of a member.
func (c *session) admissionRequest(req *request) admit.Request {
	est := c.srv.learner.Lookup(req.fingerprint, req.arrived)
	req.highDuration = 0
	if est.Known {
		req.highDuration = est.High
	}
	return admit.Request{
		Caller:   c.caller,
		Class:    est.Class,
		Arrived:  time.Now(), // each attempt has the full queue wait
		Deadline: req.deadline,
		Expected: est.Mean,
	}
}
