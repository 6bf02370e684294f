package runner_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/certifier"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/runner"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const awaitTimeout = 15 * time.Second

// writeCertificate writes a self-signed certificate and its key.
func writeCertificate(t *testing.T) (certificateFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	certificateFile, keyFile = filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	writePEM(t, certificateFile, "CERTIFICATE", encoded)
	writePEM(t, keyFile, "EC PRIVATE KEY", encodedKey)
	return certificateFile, keyFile
}

func writePEM(t *testing.T, path, kind string, encoded []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: encoded}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// loopbackSettings returns the settings of a daemon that listens on free loopback ports.
func loopbackSettings(t *testing.T, name string, platform netip.AddrPort, seeds []netip.AddrPort) runner.Settings {
	t.Helper()
	settings := loader.DefaultSettings()
	settings.Name = name
	settings.DataCentre = "sapporo"
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	settings.CallersListen, settings.PeersListen, settings.OperatorsListen = loopback, loopback, loopback
	settings.Platform = []netip.AddrPort{platform}
	settings.SeedPeers = seeds
	return runner.Settings{Settings: settings}
}

func startDaemon(t *testing.T, settings runner.Settings) *runner.Daemon {
	t.Helper()
	daemon, err := runner.New(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		err := daemon.Close()
		// A daemon that cannot reach the platform returns this error for its unstored record.
		var unwritten *reporter.UnwrittenError
		if err != nil && !errors.As(err, &unwritten) {
			t.Error(err)
		}
	})
	return daemon
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %s", what, awaitTimeout)
		}
	}
}

// TestConfigurationReplicatesOverTLS starts two daemons with certificates, the second without a
// connection to the platform. A change reaches the second from the first, operators and callers
// connect over TLS, and a daemon without a certificate does not receive the change.
func TestConfigurationReplicatesOverTLS(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	reachable := netip.MustParseAddrPort(platformServer.Listener.Addr().String())
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	certificateFile, keyFile := writeCertificate(t)
	files := loader.TLS{
		CallersCertificateFile: certificateFile, CallersKeyFile: keyFile,
		PeersCertificateFile: certificateFile, PeersKeyFile: keyFile, AuthorityFile: certificateFile,
	}
	first := loopbackSettings(t, "first", reachable, nil)
	first.TLS = files
	one := startDaemon(t, first)
	second := loopbackSettings(t, "second", unreachable, []netip.AddrPort{one.PeersAddress()})
	second.TLS = files
	two := startDaemon(t, second)
	plaintext := startDaemon(t, loopbackSettings(t, "stranger", unreachable, []netip.AddrPort{one.PeersAddress()}))

	change := registrar.Change{Set: registrar.Objects{Accounts: []registrar.Account{{Name: "demo"}}}}
	await(t, "the commit", func() bool {
		_, err := one.Commit(t.Context(), 0, change)
		return err == nil
	})
	await(t, "replication of the change", func() bool { return two.Current().Revision() == 1 })
	if revision := plaintext.Current().Revision(); revision != 0 {
		t.Errorf("a daemon without a certificate has revision %d", revision)
	}
	authority, err := certifier.ClientWithoutCertificate(certificateFile)
	if err != nil {
		t.Fatal(err)
	}
	operators := operator.NewClient(operator.ClientSettings{Daemons: []netip.AddrPort{one.OperatorsAddress()}, TLS: authority})
	if status, err := operators.Status(t.Context()); err != nil || status.Revision != 1 {
		t.Errorf("operators over TLS: %+v, %v", status, err)
	}
	plain := operator.NewClient(operator.ClientSettings{Daemons: []netip.AddrPort{one.OperatorsAddress()}})
	var encrypted *operator.EncryptedPortError
	if _, err := plain.Status(t.Context()); !errors.As(err, &encrypted) || encrypted.Daemon != one.OperatorsAddress() {
		t.Errorf("operators without TLS: %v", err)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	response, err := client.Get("https://" + one.CallersAddress().String() + "/healthz")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("callers over TLS: %v, %v", response, err)
	}
	_ = response.Body.Close()
}

// TestChangeReachesDataCentreWithoutPlatform disconnects a data centre from the platform. Its
// daemons receive a change from a daemon in another data centre. After that daemon has closed, a
// newly started daemon fetches the change from its peers.
func TestChangeReachesDataCentreWithoutPlatform(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	reachable := netip.MustParseAddrPort(platformServer.Listener.Addr().String())
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	near, err := runner.New(t.Context(), loopbackSettings(t, "near", reachable, nil))
	if err != nil {
		t.Fatal(err)
	}
	far := loopbackSettings(t, "far-1", unreachable, []netip.AddrPort{near.PeersAddress()})
	far.DataCentre = "asahikawa"
	first := startDaemon(t, far)
	other := loopbackSettings(t, "far-2", unreachable, []netip.AddrPort{first.PeersAddress()})
	other.DataCentre = "asahikawa"
	second := startDaemon(t, other)

	change := registrar.Change{Set: registrar.Objects{Accounts: []registrar.Account{{Name: "demo"}}}}
	await(t, "the commit", func() bool {
		_, err := near.Commit(t.Context(), 0, change)
		return err == nil
	})
	await(t, "replication of the change", func() bool {
		return first.Current().Revision() == 1 && second.Current().Revision() == 1
	})
	if err := near.Close(); err != nil {
		t.Error(err)
	}
	late := loopbackSettings(t, "far-3", unreachable, []netip.AddrPort{second.PeersAddress()})
	late.DataCentre = "asahikawa"
	third := startDaemon(t, late)
	await(t, "the start without platform and contact", func() bool { return third.Current().Revision() == 1 })
}

// TestDaemonsDiscoverEachOtherFromHostList starts two daemons without seeds. They discover each
// other from the platform's host list, since both use the same port on their hosts.
func TestDaemonsDiscoverEachOtherFromHostList(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	reachable := netip.MustParseAddrPort(platformServer.Listener.Addr().String())
	one, two := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	first := startDaemon(t, loopbackSettings(t, "first", reachable, nil))
	settings := loopbackSettings(t, "second", reachable, nil)
	settings.PeersListen = netip.AddrPortFrom(two, first.PeersAddress().Port())
	second := startDaemon(t, settings)
	platform.SetHosts([]storer.Host{
		{Name: "a", Address: one, DataCentre: "sapporo", State: storer.HostLive},
		{Name: "b", Address: two, DataCentre: "sapporo", State: storer.HostLive},
	})
	operators := operator.NewClient(operator.ClientSettings{Daemons: []netip.AddrPort{second.OperatorsAddress()}})
	await(t, "mutual discovery", func() bool {
		status, err := operators.Status(t.Context())
		return err == nil && len(status.Members) == 2
	})
}
