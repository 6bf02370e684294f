package runner

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rosemaryrill/rosemaryrill/certifier"
)

// portTLS is the TLS configuration of one of the daemon's ports. Without a certificate the port
// is unencrypted.
type portTLS struct {
	certifier *certifier.Certifier
}

func (d *Daemon) startCertificates(context.Context) (err error) {
	files := d.settings.TLS
	d.callersTLS, err = d.newPortTLS(files.CallersCertificateFile, files.CallersKeyFile, "")
	if err != nil {
		return err
	}
	d.peersTLS, err = d.newPortTLS(files.PeersCertificateFile, files.PeersKeyFile, files.AuthorityFile)
	return err
}

func (d *Daemon) newPortTLS(certificateFile, keyFile, authorityFile string) (p portTLS, err error) {
	if certificateFile == "" {
		return portTLS{}, nil
	}
	p.certifier, err = certifier.New(certifier.Settings{
		CertificateFile: certificateFile,
		KeyFile:         keyFile,
		AuthorityFile:   authorityFile,
		Log:             d.observer.Log("certifier"),
	})
	return p, err
}

func (p portTLS) serverConfig() *tls.Config {
	if p.certifier == nil {
		return nil
	}
	return p.certifier.ServerConfig()
}

func (p portTLS) clientConfig() *tls.Config {
	if p.certifier == nil {
		return nil
	}
	return p.certifier.ClientConfig()
}

func (p portTLS) wrap(plain net.Listener) net.Listener {
	if p.certifier == nil {
		return plain
	}
	return tls.NewListener(plain, p.certifier.ServerConfig())
}
