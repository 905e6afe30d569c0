package record

import "dapplefront/router"

// shutdownKillAfter is the field of the message Shutdown, which stores a router.ShutdownStarted.
const shutdownKillAfter = 1

func decodeShutdownStarted(message []byte) (router.Event, error) {
	var e router.ShutdownStarted
	err := eachField(message, func(f field) error {
		if f.number == shutdownKillAfter {
			e.KillAfter = f.time()
		}
		return nil
	})
	return e, err
}
