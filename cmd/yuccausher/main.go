// Command yuccausher schedules agent programs between callers and targets.
package main

import (
	"context"
	"os"

	"yuccausher/internal/cli"
)

func main() { os.Exit(cli.Main(context.Background(), os.Args[1:])) }
