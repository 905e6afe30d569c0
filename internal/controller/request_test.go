package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/api"
)

// The expected details are those that the program at commit d72f78e returned.
func TestDecodeBody_KeepsDetailsOfProblemDocuments(t *testing.T) {
	for _, c := range []struct {
		into                any
		body, field, detail string
	}{
		{&api.CreateRelease{}, `{"build":"x"}`, "build", "json: cannot unmarshal string into Go struct field Creation.build of type int"},
		{&api.CreateRelease{}, `7`, "body", "json: cannot unmarshal number into Go value of type api.Creation"},
		{&api.CreateRelease{}, `{"steps":3}`, "steps", "json: cannot unmarshal number into Go struct field Creation.steps of type []api.Step"},
		{&api.PatchRelease{}, `{"labels":3}`, "labels", "json: cannot unmarshal number into Go struct field Change.labels of type map[string]*string"},
		{&api.PatchRelease{}, `[]`, "body", "json: cannot unmarshal array into Go value of type api.Change"},
		{&api.PlanAck{}, `{"followed":"CreateRelease"}`, "followed", "json: cannot unmarshal string into Go struct field Heed.followed of type bool"},
		{&api.Vote{}, `{"stage":"x"}`, "stage", "json: cannot unmarshal string into Go struct field Vote.stage of type int"},
		{&api.StepDone{}, `{"CreateRelease":1}`, "body", `json: unknown field "CreateRelease"`},
		{&api.StepDone{}, `{} {}`, "body", "more than one value"},
		{&api.StepDone{}, ``, "body", "EOF"},
	} {
		t.Run(c.body, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(c.body))
			err := decodeBody(httptest.NewRecorder(), r, c.into)
			var p *problem
			require.ErrorAs(t, err, &p)
			require.Equal(t, problem{status: http.StatusBadRequest, field: c.field, detail: c.detail}, *p)
		})
	}
}
