// Command foxwood is a gatekeeper. EDGE_CONFIG names its configuration.
package main

import (
	"log"

	"foxwood/internal/service"
)

func main() {
	log.SetFlags(log.LUTC | log.Ltime | log.Lmicroseconds)
	if err := service.Run(); err != nil {
		log.Fatalf("foxwood: %v", err)
	}
}
