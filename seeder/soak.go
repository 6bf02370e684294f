package seeder

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// soakVariable is the environment variable with the seeds of longer soaks, separated by blanks.
const soakVariable = "RILL_SOAK_SEEDS"

// Soak runs a soak with each seed of the environment variable RILL_SOAK_SEEDS, or with one seed if it is not set.
func Soak(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	seeds := strings.Fields(os.Getenv(soakVariable))
	if len(seeds) == 0 {
		seeds = []string{"1"}
	}
	for _, text := range seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) { run(t, seed) })
	}
}
