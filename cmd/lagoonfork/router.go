package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

func registerRouter(ctx context.Context, app *kingpin.Application) {}
