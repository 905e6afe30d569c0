package controller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"dapplefront/policy"
)

// maxBodyBytes is the maximum size of a request body. It is enough for a plan for 500,000 hosts.
const maxBodyBytes = 16 << 20

// decodeBody decodes a request's JSON body strictly: unknown fields and a second JSON value are errors.
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

// typeNamesInDetails replaces type names in the decoder's errors by the names that the types had in earlier versions. Clients
// see these names in the details of problem documents, which must not change.
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

// ifMatch returns the release version in the header If-Match, or 0 if the change applies to any version.
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

// pathBuildIfMatch returns the build that a change applies to, and the version from ifMatch.
func pathBuildIfMatch(r *http.Request) (build int, version uint64, err error) {
	if build, err = pathBuild(r); err != nil {
		return 0, 0, err
	}
	version, err = ifMatch(r)
	return build, version, err
}

// unitsPerMs is the number of policy.Time units in a millisecond, the unit of the REST interface.
const unitsPerMs = policy.Second / 1000

func toMs(t policy.Time) int64 { return int64(t) / int64(unitsPerMs) }

func fromMs(ms int64) policy.Time { return policy.Time(ms) * unitsPerMs }
