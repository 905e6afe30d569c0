package controller

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go4.org/netipx"

	"dapplefront/control"
	"dapplefront/internal/certs"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// logBuffer collects log output for tests.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *logBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}
func (p *logBuffer) String() string { p.mu.Lock(); defer p.mu.Unlock(); return p.text.String() }

func TestServer_AuthorizesByCertificateAndNetworkDuringCertificateRotation(t *testing.T) {
	authority, err := testbed.NewAuthority(t.TempDir())
	require.NoError(t, err)
	reloader := func(name string) *certs.Reloader {
		f, err := authority.Issue(name, time.Hour)
		require.NoError(t, err)
		r, err := certs.Open(f)
		require.NoError(t, err)
		return r
	}
	nets := func(text string) *netipx.IPSet {
		var b netipx.IPSetBuilder
		b.AddPrefix(netip.MustParsePrefix(text))
		s, err := b.IPSet()
		require.NoError(t, err)
		return s
	}
	grants := []Grant{{CommonNames: []string{"router-*"}, Roles: []Role{RoleRead, RoleVote}}, {CommonNames: []string{"people-*"}, Roles: []Role{RoleRead, RoleRelease, RoleWithdraw}},
		{CommonNames: []string{"people-far"}, Networks: nets("10.0.0.0/8"), Roles: []Role{RoleServe}}, {CommonNames: []string{"c*"}, Roles: Roles}}
	var logged logBuffer
	log := slog.New(slog.NewTextHandler(&logged, nil))
	var nodes []*Node
	var servers []*Server
	for i := range 3 {
		name := fmt.Sprintf("c%d", i+1)
		r := reloader(name)
		n, err := Open(NodeConfig{Name: name, Dir: t.TempDir(), Listen: "127.0.0.1:0", Bootstrap: i == 0, FastElections: true, Control: testConfig, InitialBuild: 1,
			StreamLayer: TLSStreamLayer(r, []string{"c*"})}, log)
		require.NoError(t, err)
		s, err := Serve(n, ServerConfig{Listen: "127.0.0.1:0", BookmarkInterval: 50 * time.Millisecond, Authorizer: &Authorizer{ServerTLS: r.Server(), ClientTLS: r.Client(), Grants: grants,
			Peers: []string{"c*"}}}, log)
		require.NoError(t, err)
		t.Cleanup(func() { s.Close(); _ = n.Close() })
		nodes, servers = append(nodes, n), append(servers, s)
		if i > 0 {
			require.Eventually(t, func() bool { return nodes[0].AddMember(name, n.Address()) == nil }, 10*time.Second, 20*time.Millisecond)
		}
	}
	require.Eventually(t, func() bool {
		known := 0
		nodes[2].Read(func(s *control.State, _ policy.Time) { known = len(s.ControllerURLs()) })
		return known == 3
	}, 20*time.Second, 10*time.Millisecond, "controllers must learn each other's URLs through TLS")
	statusOf := func(caller *tls.Config, at int, method, path, body string) int {
		h := &http.Client{Transport: &http.Transport{TLSClientConfig: caller}, Timeout: 5 * time.Second}
		defer h.CloseIdleConnections()
		r, err := http.NewRequest(method, servers[at].URL()+path, strings.NewReader(body))
		require.NoError(t, err)
		got, err := h.Do(r)
		if err != nil {
			return 0
		}
		_ = got.Body.Close()
		return got.StatusCode
	}
	router, people, far := reloader("router-1").Client(), reloader("people-ann").Client(), reloader("people-far").Client()
	for at := range 3 { // also through followers, which forward requests
		require.Equal(t, 403, statusOf(router, at, "POST", "/v1/releases", `{"build":9}`))
		require.Equal(t, 403, statusOf(people, at, "PUT", "/v1/releases/2/votes/r1", `{"stage":0,"voice":"on"}`))
		require.Equal(t, 403, statusOf(far, at, "PUT", "/v1/releases/1/orders/ready", ""), "the role must not apply outside the grant's network")
		require.Equal(t, 200, statusOf(router, at, "GET", "/v1/releases", ""))
	}
	require.Contains(t, []int{200, 201}, statusOf(people, 2, "POST", "/v1/releases", `{"build":2}`))
	require.Equal(t, 200, statusOf(router, 1, "PUT", "/v1/releases/2/votes/r1", `{"stage":0,"voice":"on"}`))
	require.Contains(t, logged.String(), `who=router-1`)
	require.Contains(t, logged.String(), `call="POST /v1/releases" lacks=release`)
	require.NotContains(t, logged.String(), "PRIVATE")

	// Connections with a certificate of another authority, and without a certificate, are rejected.
	other, err := testbed.NewAuthority(t.TempDir())
	require.NoError(t, err)
	f, err := other.Issue("people-ann", time.Hour)
	require.NoError(t, err)
	f.Authority = authority.File()
	otherAuthority, err := certs.Open(f)
	require.NoError(t, err)
	require.Zero(t, statusOf(otherAuthority.Client(), 0, "GET", "/v1/releases", ""))
	require.Zero(t, statusOf(&tls.Config{InsecureSkipVerify: true}, 0, "GET", "/v1/releases", ""))

	// The server's certificate is replaced while a watch is open: new connections use the new certificate.
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: people}}
	r, err := http.NewRequest(http.MethodGet, servers[0].URL()+"/v1/watch", nil)
	require.NoError(t, err)
	got, err := h.Do(r)
	require.NoError(t, err)
	defer func() { _ = got.Body.Close() }()
	serial := func() string {
		c, err := tls.Dial("tcp", strings.TrimPrefix(servers[0].URL(), "https://"), people)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	before := serial()
	_, err = authority.Issue("c1", time.Hour)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return serial() != before }, 10*time.Second, 50*time.Millisecond)
	buffer := make([]byte, 4096)
	for range 3 { // the open watch still receives bookmarks
		n, err := got.Body.Read(buffer)
		require.NoError(t, err)
		require.Positive(t, n)
	}
}
