// Package processsignals receives the signals that control a serving process.
//
// A signal that arrives before a process has asked for it ends the process, and a process that has just been started is
// as likely to be told to reload its settings as any other. Most of the time until main is the initialization of
// packages, so the signals are asked for in the initialization of this one. Go initializes packages in the order of
// their import paths where their dependencies allow; this package depends on few others to come early.
package processsignals

import (
	"os"
	"os/signal"
	"syscall"
)

// ServeCommand is the first argument of a process that serves. Other commands keep the default actions of all signals.
const ServeCommand = "serve"

// Each channel holds one signal. More of them ask for nothing new.
var (
	terminate = make(chan os.Signal, 1)
	reload    = make(chan os.Signal, 1)
)

func init() {
	if len(os.Args) > 1 && os.Args[1] == ServeCommand {
		Receive()
	}
}

// Receive returns the channels of the signals to shut down and to reload the settings, those that have arrived already
// among them.
func Receive() (shutDown, reloadSettings <-chan os.Signal) {
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return terminate, reload
}
