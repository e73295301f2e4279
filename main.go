// Command teaselgate routes requests between callers and separate prefill and decode pools.
package main

import (
	"os"

	"teaselgate/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
