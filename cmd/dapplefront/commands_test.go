package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRootCommand_HidesAliasesOfRenamedCommands(t *testing.T) {
	root := rootCommand()
	for alias, name := range map[string]string{"day": "scenario", "host": "backend", "register": "endpoints", "load": "loadgen"} {
		t.Run(alias, func(t *testing.T) {
			old, _, err := root.Find([]string{alias})
			require.NoError(t, err)
			require.Equal(t, alias, old.Name())
			require.True(t, old.Hidden)
			current, _, err := root.Find([]string{name})
			require.NoError(t, err)
			require.Equal(t, name, current.Name())
			require.False(t, current.Hidden)
			require.Equal(t, current.Short, old.Short)
			require.Equal(t, current.Flags().FlagUsages(), old.Flags().FlagUsages())
		})
	}
}
