package meas

import (
	"bytes"
	"regexp"
	"strconv"

	"tamarackcross/errs"
)

var retrySeries = regexp.MustCompile(`(?m)^[a-z_]*retries\{.*reason="([a-z_]+)".*\} ([0-9.e+]+)$`)

// retries returns the retries of all entries by reason. The metrics are updated
// about once a second, so the most recent retries can be missing.
func (b *testbed) retries() []ReasonCount {
	counts := make(reasonCounts)
	for i := range b.site.Instances() {
		var text bytes.Buffer
		if err := b.site.Entry(i).Stats().WriteText(&text); err != nil {
			continue
		}
		for _, m := range retrySeries.FindAllStringSubmatch(text.String(), -1) {
			n, _ := strconv.ParseFloat(m[2], 64)
			counts[errs.Reason(m[1])] += int64(n)
		}
	}
	return sortedReasons(counts)
}
