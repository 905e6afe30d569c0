package simadapter

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const launchLines = "BEGIN_BATCH 1000 1\nSELECT 0\n" +
	"LAUNCH 5 Balancers=1 Categories.count=1 Categories.0.Name=quote Categories.0.AimUs=800000 Unknown=1 MyZone=a\n" +
	"LEDGER 0 1\nM 7 a std 0 in_service 1 1 -\nVIEW C 1 0\nPHASE_TOLD 1 0 2 0 served 1 0\nEOF_BATCH\n"

func runAfterLaunch(t *testing.T, lines string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Run(strings.NewReader(launchLines+"BEGIN_BATCH 6000 2\nSELECT 0\n"+lines+"EOF_BATCH\n"), &out)
	return out.String(), err
}

func TestRun_SendsAttemptAndIgnoresEventsOfUnknownRequests(t *testing.T) {
	out, err := runAfterLaunch(t, "INCOMING rq_1 quote - - 500000 - 0\nENDED rq_9 0 7 served 10 1 -\nTIMED_OUT_CLIENT rq_8\n")
	require.NoError(t, err)
	require.Contains(t, out, "TRY rq_1 7 ")
	require.Contains(t, out, "EOR 2")
}

func TestRun_NamesMalformedLine(t *testing.T) {
	for _, bad := range []string{"INCOMING rq_1 quote - - soon - 0\n", "NONSENSE 1\n", "DUE x\n",
		"ENDED rq_1 0 7 perhaps 10 1 -\n", "VIEW Z 1 0\n", "LEDGER 0 2\nM 7 a std 0 in_service 1 1 -\n"} {
		_, err := runAfterLaunch(t, bad)
		require.ErrorContains(t, err, "line 1")
		require.ErrorContains(t, err, "expected")
	}
	_, err := runAfterLaunch(t, "INCOMING rq_1 other - - 500000 - 0\n")
	require.ErrorContains(t, err, "other")
}
