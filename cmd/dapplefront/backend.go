package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/logging"
	"dapplefront/internal/testbed"
)

// backendStopTimeout limits how long a stopping backend waits for its requests in flight.
const backendStopTimeout = 5 * time.Second

func backendCommand(options *logging.Options) *cobra.Command {
	var classes []string
	var cores, build int
	var speed float64
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a test backend that simulates work by sleeping",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			environment := testbed.Environment{Classes: map[string]testbed.Class{}, Keys: &testbed.KeyStore{}}
			for _, text := range classes {
				class, err := parseClass(text)
				if err != nil {
					return err
				}
				environment.Classes[class.Name] = class
			}
			machine := testbed.Machine{ID: 1, Zone: "here", Cores: cores, Speed: speed, ColdCapacity: 1}
			backend, err := testbed.StartBackend(machine, testbed.Build{Number: build}, false, environment)
			if err != nil {
				return err
			}
			log.Info("host", "address", backend.Address(), "build", build)
			awaitTermination()
			backend.Stop(backendStopTimeout)
			return nil
		},
	}
	c.Flags().StringSliceVar(&classes, "kind", []string{"quote=30ms"}, "request classes with the mean work of a request, as NAME=TIME")
	c.Flags().IntVar(&cores, "cores", 2, "number of requests processed at once")
	c.Flags().IntVar(&build, "build", 1, "number of the build that the backend runs")
	c.Flags().Float64Var(&speed, "speed", 1, "speed, as a multiple of the usual speed")
	return c
}

// parseClass parses a request class with the mean work of a request, such as quote=30ms.
func parseClass(text string) (testbed.Class, error) {
	name, work, ok := strings.Cut(text, "=")
	d, err := time.ParseDuration(work)
	if !ok || err != nil {
		return testbed.Class{}, fmt.Errorf("--kind %s: NAME=TIME expected, such as quote=30ms", text)
	}
	return testbed.Class{Name: name, Work: d}, nil
}
