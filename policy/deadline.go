package policy

// TimeoutWithLag is the time that a router may spend on a request whose client waits for the given timeout. The router
// handles events up to lag after they are due, so the request's last timer, and thus the response that the router sends
// when it gives up, may be that late. The result is 0 if nothing can be done in time; such a request is best rejected
// at once.
func TimeoutWithLag(timeout, lag Time) Time { return max(0, timeout-lag) }
