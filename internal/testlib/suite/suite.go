// Package suite runs ginkgo specs and rapid properties with a fixed seed, so that every CI run gives the same result.
// The environment variable HAZELSLIP_SEED sets another seed.
//
// # Usage
//
//	func TestClass(t *testing.T) { suite.Run(t, "class") }
package suite

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// SeedVariable names the environment variable that sets the seed.
const SeedVariable = "HAZELSLIP_SEED"

// Seed returns the seed of this test run. The default is 1.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// RoundsVariable names the environment variable that sets the number of random rounds per test, for `make random`.
const RoundsVariable = "HAZELSLIP_ROUNDS"

// Rounds returns the number of random rounds, or the fallback if the environment variable is unset or not a number.
func Rounds(fallback int) int {
	if rounds, err := strconv.Atoi(os.Getenv(RoundsVariable)); err == nil {
		return rounds
	}
	return fallback
}

// Run runs the ginkgo specs of a package with the seed of this test run.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	configuration, reporter := ginkgo.GinkgoConfiguration()
	configuration.RandomSeed = int64(Seed())
	ginkgo.RunSpecs(t, name, configuration, reporter)
}

// SeedRapid sets rapid's seed to the seed of this test run, unless the flag -rapid.seed was given.
func SeedRapid(t *testing.T) {
	if seedFlag := flag.Lookup("rapid.seed"); seedFlag != nil && seedFlag.Value.String() == seedFlag.DefValue {
		if err := flag.Set("rapid.seed", strconv.FormatUint(Seed(), 10)); err != nil {
			t.Fatal(err)
		}
	}
}
