// Package certifier provides the TLS configurations of a daemon's ports and of its connections to
// such ports. It reloads certificates without a restart when their files change.
//
// # Usage
//
//	c, err := certifier.New(certifier.Settings{
//		CertificateFile: "/run/rill/peers.pem",
//		KeyFile:         "/run/rill/peers.key",
//		AuthorityFile:   "/run/rill/authority.pem",
//	})
//	server := &http.Server{TLSConfig: c.ServerConfig()}
//	transport := &http.Transport{TLSClientConfig: c.ClientConfig()}
//
// If an authority is set, both sides must present a certificate that it signed. The names in
// certificates are not verified, since daemons are addressed by IP addresses, which change
// whenever a host is replaced: any holder of a certificate of the authority is accepted as a
// daemon of the fleet.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("certifier")

const defaultCheckEvery = 10 * time.Second

var (
	errNoAuthority   = errors.New("the authority file contains no PEM certificate")
	errNoCertificate = errors.New("the peer presented no certificate")
)

// Settings are the parameters of a Certifier.
type Settings struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the CA certificates that verify the certificates of peers. If it is
	// empty, ServerConfig requires no client certificate, and ClientConfig verifies servers against
	// the root certificates of the system.
	AuthorityFile string
	// CheckEvery is the minimum time between two checks of the files for changes; 10 s by
	// default.
	CheckEvery time.Duration
	Log        *slog.Logger
}

// keyMaterial is the content of the files.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modifiedAt  time.Time
}

// Certifier provides the certificate and the authority of a port.
type Certifier struct {
	settings Settings

	mu        sync.Mutex
	current   keyMaterial
	checkedAt time.Time
}

// New returns a Certifier. It fails if the files cannot be loaded.
func New(settings Settings) (c *Certifier, err error) {
	defer Error.WrapP(&err)
	if settings.CheckEvery == 0 {
		settings.CheckEvery = defaultCheckEvery
	}
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	c = &Certifier{settings: settings, checkedAt: time.Now()}
	c.current, err = c.load()
	if err != nil {
		return nil, err
	}
	return c, nil
}

// ServerConfig returns the TLS configuration of a port that accepts connections.
func (c *Certifier) ServerConfig() *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.certificate(), nil
		},
	}
	if c.settings.AuthorityFile != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = c.verify
	}
	return config
}

// ClientConfig returns the TLS configuration of connections to the ports of other daemons.
func (c *Certifier) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.certificate(), nil
		},
		// Disables the verification by crypto/tls, which includes names; verify checks that the
		// authority signed the certificate.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// ClientWithoutCertificate returns the TLS configuration of connections that present no client
// certificate, to ports whose certificate is signed by the authority in the file. The file is read
// only once.
func ClientWithoutCertificate(authorityFile string) (config *tls.Config, err error) {
	defer Error.WrapP(&err)
	authority, err := readAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// Disables the verification by crypto/tls, which includes names; verify checks that the
		// authority signed the certificate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return Error.Wrap(verify(state, authority))
		},
	}, nil
}

func readAuthority(file string) (authority *x509.CertPool, err error) {
	encoded, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	authority = x509.NewCertPool()
	if !authority.AppendCertsFromPEM(encoded) {
		return nil, errNoAuthority
	}
	return authority, nil
}

// verify checks that the current authority signed the certificate of the peer.
func (c *Certifier) verify(state tls.ConnectionState) (err error) {
	defer Error.WrapP(&err)
	return verify(state, c.authority())
}

func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	options := x509.VerifyOptions{
		Roots:         authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func (c *Certifier) certificate() *tls.Certificate {
	current := c.reloadIfModified()
	return &current.certificate
}

func (c *Certifier) authority() *x509.CertPool {
	return c.reloadIfModified().authority
}

// reloadIfModified returns the key material, after loading it again if the files have changed
// and the last check was at least CheckEvery ago. If they cannot be loaded, the current key
// material stays in use, since a partially written file must not make the port unusable.
func (c *Certifier) reloadIfModified() keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checkedAt) < c.settings.CheckEvery {
		return c.current
	}
	c.checkedAt = now
	modifiedAt, err := c.lastModified()
	if err == nil && !modifiedAt.After(c.current.modifiedAt) {
		return c.current
	}
	reloaded, err := c.load()
	if err != nil {
		c.settings.Log.Error("certifier: cannot reload the certificate files; keeping the current certificate", "error", err)
		return c.current
	}
	c.settings.Log.Info("certifier: reloaded the certificate files", "file", c.settings.CertificateFile)
	c.current = reloaded
	return c.current
}

func (c *Certifier) load() (m keyMaterial, err error) {
	m.modifiedAt, err = c.lastModified()
	if err != nil {
		return keyMaterial{}, err
	}
	m.certificate, err = tls.LoadX509KeyPair(c.settings.CertificateFile, c.settings.KeyFile)
	if err != nil {
		return keyMaterial{}, err
	}
	if c.settings.AuthorityFile != "" {
		m.authority, err = readAuthority(c.settings.AuthorityFile)
	}
	return m, err
}

// lastModified returns the latest modification time of the files.
func (c *Certifier) lastModified() (modifiedAt time.Time, err error) {
	for _, file := range []string{c.settings.CertificateFile, c.settings.KeyFile, c.settings.AuthorityFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(modifiedAt) {
			modifiedAt = info.ModTime()
		}
	}
	return modifiedAt, nil
}
