// Package suite runs ginkgo specs and rapid properties with seeds that are
// fixed, so that CI gives the same verdict every run. HAZELSLIP_SEED sets
// another one.
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

// Seed returns the seed of this run.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(SeedVariable), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// RoundsVariable names the environment variable that sets how many random runs
// a test makes, for `make random`.
const RoundsVariable = "HAZELSLIP_ROUNDS"

// Rounds returns how many random runs to make.
func Rounds(otherwise int) int {
	if asked, err := strconv.Atoi(os.Getenv(RoundsVariable)); err == nil {
		return asked
	}
	return otherwise
}

// Run runs the specs of a package.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	configuration, reporter := ginkgo.GinkgoConfiguration()
	configuration.RandomSeed = int64(Seed())
	ginkgo.RunSpecs(t, name, configuration, reporter)
}

// FixRapid gives rapid the seed of this run, unless its own flag was given.
func FixRapid(t *testing.T) {
	if known := flag.Lookup("rapid.seed"); known != nil && known.Value.String() == known.DefValue {
		if err := flag.Set("rapid.seed", strconv.FormatUint(Seed(), 10)); err != nil {
			t.Fatal(err)
		}
	}
}
