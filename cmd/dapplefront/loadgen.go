package main

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/audit"
	"dapplefront/internal/testbed"
)

// loadOptions are the flags of the loadgen command.
type loadOptions struct {
	rate      float64 // requests per second
	seconds   int
	path      string
	class     string
	objective time.Duration // latency objective: a response within this time counts as in time
	timeout   time.Duration
}

func loadgenCommand() *cobra.Command {
	var o loadOptions
	c := &cobra.Command{
		Use:   "loadgen ADDRESS",
		Short: "Send requests to a router at a steady rate",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.run(c, args[0])
		},
	}
	f := c.Flags()
	f.Float64Var(&o.rate, "rate", 100, "requests per second")
	f.IntVar(&o.seconds, "seconds", 10, "duration in seconds")
	f.StringVar(&o.path, "path", "/quote", "path to request")
	f.StringVar(&o.class, "category", "quote", "name of the request class")
	f.DurationVar(&o.objective, "promised", 500*time.Millisecond, "latency objective: a response within this time counts as in time")
	f.DurationVar(&o.timeout, "patience", 2*time.Second, "how long a client waits for a response")
	return c
}

func (o *loadOptions) run(c *cobra.Command, address string) error {
	recorder := audit.NewRecorder()
	defer recorder.Close()
	class := testbed.RequestClass{Class: testbed.Class{Name: o.class}, Path: o.path, Share: 1, LatencyObjective: o.objective, Timeout: o.timeout}
	target := testbed.Target{Name: "router", Address: address, Rate: o.rate}
	clients := testbed.NewClients([]testbed.RequestClass{class}, []testbed.Target{target}, testbed.Behavior{RateFactor: 1}, recorder, "", nil,
		uint64(time.Now().UnixNano()))
	ctx, stop := interruptContext()
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.seconds)*time.Second)
	defer cancel()
	clients.Run(ctx)
	scores, times := clients.Scores()
	s, latencies := scores[o.class], times[o.class]
	slices.Sort(latencies)
	c.Printf("requests %d, in time %d, late %d, rejected %d, failed %d, refused %d, lost %d\n",
		s.Requests, s.InTime, s.Late, s.Rejected, s.Failed, s.Refused, s.Lost+s.TimedOut)
	c.Printf("p50 %v, p90 %v, p99 %v, longest %v\n",
		quantile(latencies, .5), quantile(latencies, .9), quantile(latencies, .99), quantile(latencies, 1))
	return nil
}

// quantile returns the value below which the given share of the sorted latencies lies, or 0 if there are no latencies.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}
