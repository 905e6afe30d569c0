package policy

// TimeoutWithLag is how long a router may take over a request that has timeout left, where what falls due at the router
// is done up to lag late: its last timer, and the response that it gives up with, would be late by as much. It is 0
// where nothing can be done in time; such a request is best rejected at once.
func TimeoutWithLag(timeout, lag Time) Time { return max(0, timeout-lag) }
