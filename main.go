// Hazelslip serves large language models whose replicas span several
// instances. See README.md.
package main

import (
	"os"

	"hazelslip/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
