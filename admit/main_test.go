package admit_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
