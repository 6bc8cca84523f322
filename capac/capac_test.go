package capac_test

import (
	"os"
	"strings"
	"testing"

	"tamarackcross/capac"
)

// TestPage guards against tables in docs/CAPACITY.md that differ from the computed
// ones, for example after a change of a slope.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, table := range []string{capac.SlopeTable(), capac.Table(capac.Today, capac.TwoYears)} {
		if !strings.Contains(page, table) {
			t.Errorf("docs/CAPACITY.md does not contain the table that `tamarackcross capacity` prints:\n%s", table)
		}
	}
}
