package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"dapplefront/policy"
)

// maxBodyBytes is enough for a plan for 500,000 hosts.
const maxBodyBytes = 16 << 20

// decodeBody reads a request's JSON body strictly: unknown fields and a second value are errors.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil && d.More() {
		err = errors.New("more than one value")
	}
	if err == nil {
		return nil
	}
	field, detail := "body", err.Error()
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		detail = typeNamesInDetails.Replace(detail)
		if wrongType.Field != "" {
			field = wrongType.Field
		}
	}
	return invalid(field, "%s", detail)
}

// typeNamesInDetails gives types in the decoder's errors the names that they first had: clients see them in the details of
// problems, which stay to the letter.
var typeNamesInDetails = strings.NewReplacer("CreateRelease", "Creation", "PatchRelease", "Change", "PlanAck", "Heed")

func pathBuild(r *http.Request) (int, error) {
	build, err := strconv.Atoi(r.PathValue("build"))
	if err != nil || build < 1 {
		return 0, invalid("build", "a number from 1 expected")
	}
	return build, nil
}

func pathPlanVersion(r *http.Request) (uint64, error) {
	version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil {
		return 0, invalid("version", "a number expected")
	}
	return version, nil
}

// ifMatch is the version that a change is for; 0 for any.
func ifMatch(r *http.Request) (uint64, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" || tag == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || version == 0 || len(tag) < 3 || tag[0] != '"' {
		return 0, invalid("If-Match", "an ETag of this release expected")
	}
	return version, nil
}

// pathBuildIfMatch is the build of a change, and the version that it is for.
func pathBuildIfMatch(r *http.Request) (build int, version uint64, err error) {
	if build, err = pathBuild(r); err != nil {
		return 0, 0, err
	}
	version, err = ifMatch(r)
	return build, version, err
}

// unitsPerMs converts between policy.Time and the milliseconds of the REST interface.
const unitsPerMs = policy.Second / 1000

func toMs(t policy.Time) int64 { return int64(t) / int64(unitsPerMs) }

func fromMs(ms int64) policy.Time { return policy.Time(ms) * unitsPerMs }
