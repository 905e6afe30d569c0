package node

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParse_TakesMissingFieldsFromEnvironment(t *testing.T) {
	t.Setenv("EDGE_NAME", "n7")
	t.Setenv("EDGE_LISTEN", "127.0.0.1:9001")
	b := configJSON("127.0.0.1:1", "127.0.0.1:2")
	delete(b, "name")
	p := parseConfig(t, b)
	require.Equal(t, "n7", p.Router.Name)
	require.Equal(t, "127.0.0.1:0", p.Router.Listen, "the file takes precedence")
}

func TestRead_NamesFileAndInvalidField(t *testing.T) {
	read := func(t *testing.T, text string) error {
		t.Helper()
		file := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := Read(file)
		require.ErrorContains(t, err, file)
		return err
	}
	require.ErrorContains(t, read(t, `{"name":"n0",`), "byte")
	require.Error(t, read(t, `[]`))
	for where, change := range map[string]func(map[string]any){
		"name":                func(b map[string]any) { b["name"] = "" },
		"listen":              func(b map[string]any) { b["listen"] = "here" },
		"discovery":           func(b map[string]any) { b["discovery"] = "127.0.0.1" },
		"platform.address":    func(b map[string]any) { b["platform"].(map[string]any)["address"] = "127.0.0.1:0" },
		"platform.news":       func(b map[string]any) { b["platform"].(map[string]any)["news"] = map[string]any{"release": 1} },
		"seed":                func(b map[string]any) { b["seed"] = "zz" },
		"limits":              func(b map[string]any) { b["limits"] = map[string]any{"cores": 0.5} },
		"known: members[0]":   func(b map[string]any) { b["known"] = map[string]any{"members": []any{map[string]any{"id": "a"}}} },
		"settings":            func(b map[string]any) { b["settings"] = []any{1} },
		"settings.Categories": func(b map[string]any) { b["settings"].(map[string]any)["Categories"] = []any{} },
		"settings.MyZone":     func(b map[string]any) { delete(b["settings"].(map[string]any), "MyZone") },
		"settings.Rank":       func(b map[string]any) { b["settings"].(map[string]any)["Rank"] = 7 },
	} {
		t.Run(where, func(t *testing.T) {
			b := configJSON("127.0.0.1:1", "127.0.0.1:2")
			change(b)
			require.ErrorContains(t, read(t, encode(t, b)), where)
		})
	}
	p := parseConfig(t, configJSON("127.0.0.1:1", "127.0.0.1:2"))
	p.Router.Listen = "127.0.0.1:99999"
	_, err := Start(p, slog.New(slog.DiscardHandler))
	require.Error(t, err)
}

// settingsAt returns the object at a path in the settings of a configuration.
func settingsAt(b map[string]any, path ...string) map[string]any {
	object := b["settings"].(map[string]any)
	for _, name := range path {
		object = object[name].(map[string]any)
	}
	return object
}

func classSettings(b map[string]any, n int) map[string]any {
	return settingsAt(b)["Categories"].([]any)[n].(map[string]any)
}

func TestParse_RejectsInvalidSettingsByPath(t *testing.T) {
	for where, change := range map[string]func(map[string]any){
		"settings.Obligations.DrainGraceUs: must be a number": func(b map[string]any) { settingsAt(b, "Obligations")["DrainGraceUs"] = -1 },
		"settings.Obligations.DrainGraceUs: missing":          func(b map[string]any) { delete(settingsAt(b, "Obligations"), "DrainGraceUs") },
		"settings.Obligations.StartCapacity":                  func(b map[string]any) { settingsAt(b, "Obligations")["StartCapacity"] = 1.5 },
		"settings.Obligations.AskWithinUs":                    func(b map[string]any) { settingsAt(b, "Obligations")["AskWithinUs"] = "soon" },
		"settings.Permissions.MaxAttempts":                    func(b map[string]any) { settingsAt(b, "Permissions")["MaxAttempts"] = 0 },
		"settings.Permissions.ConnIdleUs":                     func(b map[string]any) { settingsAt(b, "Permissions")["ConnIdleUs"] = 1e13 },
		"settings.Permissions.RetryAfter":                     func(b map[string]any) { settingsAt(b, "Permissions")["RetryAfter"] = "perhaps" },
		"settings.RegistryMode":                               func(b map[string]any) { settingsAt(b)["RegistryMode"] = "guessed" },
		"settings.Balancers":                                  func(b map[string]any) { settingsAt(b)["Balancers"] = 2.5 },
		"settings.Extra.StageCap.1":                           func(b map[string]any) { settingsAt(b, "Extra")["StageCap"] = []float64{0.1, 2} },
		"settings.Extra.Control":                              func(b map[string]any) { settingsAt(b, "Extra")["Control"] = "whim" },
		"settings.Categories.1.Semantics":                     func(b map[string]any) { classSettings(b, 1)["Semantics"] = "sometimes" },
		"settings.Categories.1.DedupScope":                    func(b map[string]any) { delete(classSettings(b, 1), "DedupScope") },
		"settings.Categories.1.WindowUs: missing":             func(b map[string]any) { delete(classSettings(b, 1), "WindowUs") },
		"settings.Categories.2.DeadlineUs":                    func(b map[string]any) { classSettings(b, 2)["DeadlineUs"] = 0 },
		"settings.Categories.0.AimUs: missing":                func(b map[string]any) { delete(classSettings(b, 0), "AimUs") },
		`settings.Categories.2.Name: duplicate name "quote"`:  func(b map[string]any) { classSettings(b, 2)["Name"] = "quote" },
		"settings.Parties.0.QuotaPerS": func(b map[string]any) {
			settingsAt(b)["Parties"] = []any{map[string]any{"Name": "a", "QuotaPerS": -3}}
		},
	} {
		t.Run(where, func(t *testing.T) {
			b := configJSON("127.0.0.1:1", "127.0.0.1:2")
			change(b)
			_, err := parse([]byte(encode(t, b)))
			require.ErrorContains(t, err, where)
		})
	}
	b := configJSON("127.0.0.1:1", "127.0.0.1:2")
	classSettings(b, 0)["AimUs"], classSettings(b, 1)["AimUs"] = -1, "x"
	_, err := parse([]byte(encode(t, b)))
	require.ErrorContains(t, err, "settings.Categories.0.AimUs")
	require.ErrorContains(t, err, "settings.Categories.1.AimUs", "the error names all invalid settings")
}

// The cases cover one class, a dozen classes, tenants, pushed endpoint lists, and settings that allow features that the
// platform's protocol lacks.
func TestStart_ServesWithValidSettingsOfAllKinds(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"one class": func(b map[string]any) { settingsAt(b)["Categories"] = settingsAt(b)["Categories"].([]any)[:1] },
		"a dozen classes": func(b map[string]any) {
			all := settingsAt(b)["Categories"].([]any)
			for n := range 9 {
				c := maps.Clone(all[n%3].(map[string]any))
				c["Name"] = fmt.Sprint("more-", n)
				all = append(all, c)
			}
			settingsAt(b)["Categories"] = all
		},
		"tenants": func(b map[string]any) {
			settingsAt(b)["Parties"] = []any{map[string]any{"Name": "a", "QuotaPerS": 5}, map[string]any{"Name": "b", "QuotaPerS": 7.5}}
		},
		"pushed endpoint lists": func(b map[string]any) { settingsAt(b)["RegistryMode"] = "pushed" },
		"gossip and health checks": func(b map[string]any) {
			settingsAt(b, "Permissions")["Peers"], settingsAt(b, "Permissions")["Probes"] = true, true
		},
		"sampled statistics": func(b map[string]any) {
			settingsAt(b, "Extra")["MetricsPeriodUs"], settingsAt(b, "Extra")["SampledShare"] = 1000000, 0.5
		},
		"no load report":      func(b map[string]any) { settingsAt(b)["Report"] = map[string]any{"Fields": []string{}, "How": "off"} },
		"hedging":             func(b map[string]any) { settingsAt(b, "Permissions")["SecondCopies"] = true },
		"smallest limits":     func(b map[string]any) { b["limits"] = map[string]any{"cores": 0.1, "memory_mb": 24, "sockets": 64} },
		"no releases by vote": func(b map[string]any) { settingsAt(b)["Extra"] = map[string]any{} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := newFakeHost(t, "a", respondOK)
			platform := newFakePlatform(t, host.entry())
			b := configJSON(platform.address(), platform.address())
			change(b)
			p := parseConfig(t, b)
			require.False(t, p.Router.Router.Limits.HealthChecks || p.Router.Router.Limits.MaxGossipBytes > 0 || p.Router.Router.Release.SampledShare > 0,
				"features that the protocol lacks are turned off")
			n, err := Start(p, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			t.Cleanup(n.Close)
			r := &fixture{T: t, node: n, platform: platform}
			r.eventually(func() bool { got, _ := r.request("GET", "quote", ""); return got.status == 200 })
		})
	}
}

// Guards against connections that are kept longer than their hosts keep them.
func TestUpstreamIdleTimeout_IsShorterThanThatOfHosts(t *testing.T) {
	for _, hostIdle := range []time.Duration{100 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 15 * time.Second} {
		require.LessOrEqual(t, upstreamIdleTimeout(hostIdle), hostIdle-min(idleMargin, hostIdle/2), hostIdle)
	}
}
