package main

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"dapplefront/internal/logging"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

func endpointsCommand(options *logging.Options) *cobra.Command {
	var address, group string
	c := &cobra.Command{
		Use:   "endpoints ADDRESS=ZONE=BUILD ...",
		Short: "Run a test server for endpoint discovery (xDS) with a fixed list of endpoints",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			log, err := options.Logger("info")
			if err != nil {
				return err
			}
			discovery, err := testbed.StartDiscovery(address, group, nil)
			if err != nil {
				return err
			}
			var zones []string
			for i, text := range args {
				host, zone, err := parseEndpoint(text, uint32(i+1))
				if err != nil {
					return err
				}
				discovery.Set(testbed.Endpoint{Backend: host, State: policy.Serving})
				if !slices.Contains(zones, zone) {
					zones = append(zones, zone)
				}
			}
			log.Info("endpoint discovery", "address", discovery.Address(), "resources", strings.Join(discovery.Resources(zones), ", "))
			awaitTermination()
			discovery.Stop()
			return nil
		},
	}
	c.Flags().StringVar(&address, "listen", "127.0.0.1:9000", "address to listen on")
	c.Flags().StringVar(&group, "group", "shop", "first part of the resource names")
	return c
}

// parseEndpoint parses ADDRESS=ZONE=BUILD. It returns a backend with the given host id, and its zone.
func parseEndpoint(text string, id uint32) (h *testbed.Backend, zone string, err error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return nil, "", fmt.Errorf("%s: ADDRESS=ZONE=BUILD expected", text)
	}
	address, zone := parts[0], parts[1]
	build, err := strconv.Atoi(parts[2])
	if _, _, addressErr := net.SplitHostPort(address); err != nil || addressErr != nil {
		return nil, "", fmt.Errorf("%s: ADDRESS=ZONE=BUILD expected", text)
	}
	return testbed.RemoteBackend(address, testbed.Machine{ID: id, Zone: zone, Cores: 1, Speed: 1}, build), zone, nil
}
