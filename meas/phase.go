package meas

import (
	"slices"
	"strings"
	"time"

	"tamarackcross/errs"
)

// ReasonCount is the number of rejected requests or retries with one reason.
type ReasonCount struct {
	Reason errs.Reason `json:"reason"`
	Count  int64       `json:"count"`
}

// PhaseResult counts how the requests that arrived in one phase ended.
type PhaseResult struct {
	Phase      string        `json:"phase"`
	Seconds    float64       `json:"seconds"`
	Offered    int64         `json:"offered"`
	InTime     int64         `json:"answered_in_time"`
	Late       int64         `json:"late"`
	Refused    int64         `json:"refused"`
	Reasons    []ReasonCount `json:"refused_by_reason,omitempty"`
	Unknown    int64         `json:"unknown"`
	Errors     int64         `json:"errors"`
	NotOffered int64         `json:"not_offered"` // no caller connection was free
	Goodput    float64       `json:"goodput_per_s"`
	P50        float64       `json:"p50_ms"` // of all successful answers, including late ones
	P99        float64       `json:"p99_ms"`
}

// phase is the part of a run with arrivals from one time, inclusive, to another,
// exclusive.
type phase struct {
	name     string
	from, to time.Duration
}

func (p phase) contains(at time.Duration) bool { return at >= p.from && at < p.to }

// summarize counts the samples of a phase for which include is true.
func (p phase) summarize(all []sample, deadline time.Duration, include func(sample) bool) PhaseResult {
	r := PhaseResult{Phase: p.name, Seconds: (p.to - p.from).Seconds()}
	answerTimes := newLatencies()
	reasons := make(reasonCounts)
	for _, s := range all {
		if !p.contains(s.at) || !include(s) {
			continue
		}
		if s.status == notOffered {
			r.NotOffered++
			continue
		}
		r.Offered++
		r.count(s, deadline)
		switch s.status {
		case answered:
			answerTimes.add(s.latency)
		case refused:
			reasons[s.reason]++
		}
	}
	r.P50, r.P99 = answerTimes.quantile(50), answerTimes.quantile(99)
	r.Goodput = ratio(float64(r.InTime), r.Seconds)
	r.Reasons = sortedReasons(reasons)
	return r
}

func (r *PhaseResult) count(s sample, deadline time.Duration) {
	switch s.status {
	case answered:
		if s.latency > deadline {
			r.Late++
		} else {
			r.InTime++
		}
	case refused:
		r.Refused++
	case unknown:
		r.Unknown++
	case failed:
		r.Errors++
	}
}

// addReasons returns the sum of both counts.
func addReasons(to []ReasonCount, from reasonCounts) []ReasonCount {
	sum := make(reasonCounts)
	for _, c := range to {
		sum[c.Reason] += c.Count
	}
	for reason, n := range from {
		sum[reason] += n
	}
	return sortedReasons(sum)
}

func sortedReasons(counts reasonCounts) []ReasonCount {
	var out []ReasonCount
	for reason, n := range counts {
		out = append(out, ReasonCount{reason, n})
	}
	slices.SortFunc(out, func(a, b ReasonCount) int { return strings.Compare(string(a.Reason), string(b.Reason)) })
	return out
}

func allSamples(sample) bool { return true }

// timeline returns goodput and p99 for each interval of a run.
func timeline(all []sample, total, interval, deadline time.Duration) (goodput, p99 []point) {
	for from := time.Duration(0); from < total; from += interval {
		r := phase{from: from, to: from + interval}.summarize(all, deadline, allSamples)
		goodput = append(goodput, point{from.Seconds(), r.Goodput})
		p99 = append(p99, point{from.Seconds(), r.P99})
	}
	return goodput, p99
}
