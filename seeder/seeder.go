// Package seeder sets a fixed seed and a fixed number of cases for property tests, which makes their results reproducible.
//
// # Usage
//
// A test package with property tests calls Main from its TestMain:
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// The environment variables RILL_CASES and RILL_SEED override the default number of cases, which CI uses, and the
// default seed:
//
//	RILL_CASES=10000 RILL_SEED=7 go test -count=1 ./configurator
//
// The variables are read before the tests start, when go test does not record accesses to the environment. Without
// -count=1 it may therefore report a cached result of another seed or number of cases.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	// DefaultSeed is the seed if neither RILL_SEED nor the command line sets one.
	DefaultSeed = "20261204"
	// DefaultCases is the number of cases if neither RILL_CASES nor the command line sets one.
	DefaultCases = "100"

	casesVariable = "RILL_CASES"
	seedVariable  = "RILL_SEED"
)

// Main runs the tests of a package with a fixed seed and number of cases, and exits with their result.
func Main(m *testing.M) {
	flag.Parse()
	setFlagDefault("rapid.seed", seedVariable, DefaultSeed)
	setFlagDefault("rapid.checks", casesVariable, DefaultCases)
	mustSetFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setFlagDefault sets a flag, unless the command line does, to the value of the environment variable or else to the
// given value.
func setFlagDefault(name, variable, value string) {
	onCommandLine := false
	flag.Visit(func(f *flag.Flag) { onCommandLine = onCommandLine || f.Name == name })
	if onCommandLine {
		return
	}
	if fromEnvironment := os.Getenv(variable); fromEnvironment != "" {
		value = fromEnvironment
	}
	mustSetFlag(name, value)
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
