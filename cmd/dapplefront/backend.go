package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dapplefront/internal/testbed"
)

// backendStopTimeout is how long a backend may take to answer what is in flight once it is told to end.
const backendStopTimeout = 5 * time.Second

func backendCommand(options *logOptions) *cobra.Command {
	var kinds []string
	var cores, build int
	var speed float64
	c := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in backend that works on requests by sleeping",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log, err := options.logger("info")
			if err != nil {
				return err
			}
			world := testbed.Environment{Classes: map[string]testbed.Class{}, Keys: &testbed.KeyStore{}}
			for _, text := range kinds {
				kind, err := parseKind(text)
				if err != nil {
					return err
				}
				world.Classes[kind.Name] = kind
			}
			machine := testbed.Machine{ID: 1, Zone: "here", Cores: cores, Speed: speed, ColdCapacity: 1}
			backend, err := testbed.StartBackend(machine, testbed.Build{Number: build}, false, world)
			if err != nil {
				return err
			}
			log.Info("host", "address", backend.Address(), "build", build)
			awaitTermination()
			backend.Stop(backendStopTimeout)
			return nil
		},
	}
	c.Flags().StringSliceVar(&kinds, "kind", []string{"quote=30ms"}, "classes of requests and the work of a request of each")
	c.Flags().IntVar(&cores, "cores", 2, "requests that it works on at once")
	c.Flags().IntVar(&build, "build", 1, "the build that it runs")
	c.Flags().Float64Var(&speed, "speed", 1, "times the usual")
	return c
}

// parseKind reads a class of requests with its mean work, such as quote=30ms.
func parseKind(text string) (testbed.Class, error) {
	name, work, ok := strings.Cut(text, "=")
	d, err := time.ParseDuration(work)
	if !ok || err != nil {
		return testbed.Class{}, fmt.Errorf("--kind %s: NAME=TIME expected, such as quote=30ms", text)
	}
	return testbed.Class{Name: name, Work: d}, nil
}
