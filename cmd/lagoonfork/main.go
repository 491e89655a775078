// Command lagoonfork routes requests of consortium members to shared language
// models and bills them to prepaid budgets.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("lagoonfork", "Routes requests to shared language models and bills them to prepaid budgets.")
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
