//go:build review

package main

import (
	"os/exec"
	"testing"
)

// TestDrainIsKeptAfterDiscoveryReturns plays the case, after the build of the deploy file and review/build-2.sh.
func TestDrainIsKeptAfterDiscoveryReturns(t *testing.T) {
	if text, err := exec.Command("./run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
}
