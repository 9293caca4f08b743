// Command foxwood is a gatekeeper on the platform.
package main

import (
	"log"

	"foxwood/internal/platform"
)

func main() {
	log.SetFlags(log.LUTC | log.Ltime | log.Lmicroseconds)
	if err := platform.Run(); err != nil {
		log.Fatalf("foxwood: %v", err)
	}
}
