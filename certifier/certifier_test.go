package certifier_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/certifier"
)

// authority is a CA that signs the certificates of a test.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, serial: 1}
	a.key = newKey(t)
	template := a.template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(encoded); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// issue signs a certificate and writes the files of a daemon. The returned settings make a
// Certifier check the files on each connection.
func (a *authority) issue(folder, name string) certifier.Settings {
	a.t.Helper()
	key := newKey(a.t)
	encoded, err := x509.CreateCertificate(rand.Reader, a.template(name), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	settings := certifier.Settings{
		CertificateFile: filepath.Join(folder, "certificate.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
		AuthorityFile:   filepath.Join(folder, "authority.pem"),
		CheckEvery:      time.Nanosecond,
	}
	a.write(settings.CertificateFile, "CERTIFICATE", encoded)
	a.write(settings.KeyFile, "EC PRIVATE KEY", encodedKey)
	a.write(settings.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	return settings
}

func (a *authority) write(path, kind string, encoded []byte) {
	a.t.Helper()
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: encoded})
	if err := os.WriteFile(path, content, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the common name in the certificate of the
// server.
func handshake(t *testing.T, server, client *tls.Config) (name string, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	served := make(chan error, 1)
	go func() { served <- acceptHandshake(listener) }()
	connection, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-served
		return "", err
	}
	defer func() { _ = connection.Close() }()
	if err := <-served; err != nil {
		return "", err
	}
	return connection.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// acceptHandshake accepts one connection and completes its handshake.
func acceptHandshake(listener net.Listener) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	return connection.(*tls.Conn).Handshake()
}

func newCertifier(t *testing.T, settings certifier.Settings) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConnectionRequiresCertificateOfAuthority(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	one := newCertifier(t, trusted.issue(t.TempDir(), "one"))
	two := newCertifier(t, trusted.issue(t.TempDir(), "two"))
	other := newCertifier(t, untrusted.issue(t.TempDir(), "other"))
	if name, err := handshake(t, one.ServerConfig(), two.ClientConfig()); err != nil || name != "one" {
		t.Errorf("daemons of one fleet: %q, %v", name, err)
	}
	if _, err := handshake(t, one.ServerConfig(), other.ClientConfig()); err == nil {
		t.Error("a client with a certificate of another authority connected")
	}
	if _, err := handshake(t, other.ServerConfig(), one.ClientConfig()); err == nil {
		t.Error("a daemon connected to a server with a certificate of another authority")
	}
	if _, err := handshake(t, one.ServerConfig(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("a client without a certificate connected")
	}
}

func TestModifiedFilesAreReloaded(t *testing.T) {
	trusted := newAuthority(t)
	folder := t.TempDir()
	server := newCertifier(t, trusted.issue(folder, "old"))
	client := newCertifier(t, trusted.issue(t.TempDir(), "client"))
	settings := trusted.issue(folder, "new")
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(settings.CertificateFile, later, later); err != nil {
		t.Fatal(err)
	}
	if name, err := handshake(t, server.ServerConfig(), client.ClientConfig()); err != nil || name != "new" {
		t.Errorf("after the renewal: %q, %v", name, err)
	}
	if err := os.WriteFile(settings.KeyFile, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	muchLater := later.Add(time.Minute)
	if err := os.Chtimes(settings.KeyFile, muchLater, muchLater); err != nil {
		t.Fatal(err)
	}
	if name, err := handshake(t, server.ServerConfig(), client.ClientConfig()); err != nil || name != "new" {
		t.Errorf("with an invalid key file: %q, %v", name, err)
	}
}

func TestNewFailsOnMissingFiles(t *testing.T) {
	if _, err := certifier.New(certifier.Settings{CertificateFile: "none", KeyFile: "none"}); err == nil {
		t.Error("missing files were accepted")
	}
}
