// Command teaselgate routes requests between callers and backend servers: separate prefill and decode pools of language
// model engines, and plain HTTP services.
package main

import (
	"os"

	"teaselgate/cli"
)

func main() {
	os.Exit(cli.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
