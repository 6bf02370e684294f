package main_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveHost is what rilld serve has in a test.
type serveHost struct {
	memoryBytes float64
	bodyBytes   int
	// encrypted is set if the ports for callers and operators speak TLS, and thereby HTTP/2.
	encrypted bool
}

// startHostileServe starts rilld serve with a platform, an engine and a service.
func startHostileServe(t *testing.T, folder string) *hostile {
	return startServe(t, folder, serveHost{memoryBytes: serveMemory, bodyBytes: serveBody})
}

// startEncryptedServe starts the same with TLS.
func startEncryptedServe(t *testing.T, folder string) *hostile {
	return startServe(t, folder, serveHost{memoryBytes: serveMemory, bodyBytes: serveBody, encrypted: true})
}

func startServe(t *testing.T, folder string, host serveHost) *hostile {
	h := newHostile(t, folder)
	h.largestBody, h.memoryBytes = host.bodyBytes, host.memoryBytes
	f := &fleet{processes: h.processes, platform: freeAddress(t), engines: []string{freeAddress(t)}, services: []string{freeAddress(t)}}
	h.start("platform", "rillbench", "platform", "--listen", f.platform)
	h.start("engine", "rillbench", "engine", "--listen", f.engines[0], "--weights", "w1")
	h.start("service", "rillbench", "service", "--listen", f.services[0])
	h.await("http://" + f.platform + "/v1/hosts")
	f.daemons = []daemonPorts{{name: "daemon", callers: h.ports["callers"], peers: h.ports["peers"], operators: h.ports["operators"]}}
	memory := ""
	if known, err := h.run("rilld", "settings"); err == nil && strings.Contains(known, "limits.memory_bytes") {
		memory = fmt.Sprintf(`"memory_bytes": %d,`, int64(host.memoryBytes)) // Releases without this setting bound nothing.
	}
	scheme, encryption := "http://", ""
	if host.encrypted {
		scheme = "https://"
		certificate, key := h.writeCertificate()
		f.operatorFlags = []string{"--authority", certificate}
		encryption = fmt.Sprintf(`"tls": {"callers_certificate_file": %q, "callers_key_file": %q},`, certificate, key)
		h.client.Transport.(*http.Transport).TLSClientConfig = &tls.Config{InsecureSkipVerify: true}
	}
	file := h.write("hostile-serve.jsonc", fmt.Sprintf(`{
  "name": "daemon", "data_centre": "sapporo", "callers_listen": %q, "peers_listen": %q, "operators_listen": %q, "peers_advertise": %q,
  "platform": [%q], "limits": {%s "max_body_bytes": %d}, %s
  "leave_notice": "500ms", "drain_bound": "3s",
}`, h.ports["callers"], h.ports["peers"], h.ports["operators"], h.ports["peers"], f.platform, memory, host.bodyBytes, encryption))
	callers := scheme + h.ports["callers"]
	h.metrics = callers + "/metrics"
	start := func(path string) {
		h.startLimited("serve", "--log=false", "--config", file)
		h.awaitBy(h.client, callers+path)
	}
	start("/healthz")
	f.apply(f.configuration(""))
	h.awaitBy(h.client, callers+"/readyz")
	h.startDaemon = func() { start("/readyz") }
	h.newRequest = func(bodyBytes int) *http.Request {
		body := []byte(`{"item":"wheel"}`)
		body = append(body, bytes.Repeat([]byte(" "), max(bodyBytes-len(body), 0))...)
		request, err := http.NewRequest(http.MethodPost, callers+placePath, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer other-key")
		request.Header.Set("Idempotency-Key", fmt.Sprint("o", ordinaryCount.Add(1)))
		return request
	}
	return h
}

// writeCertificate writes a certificate for loopback that is its own authority.
func (h *hostile) writeCertificate() (certificateFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		h.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		h.t.Fatal(err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		h.t.Fatal(err)
	}
	certificateFile = h.write("certificate.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})))
	keyFile = h.write("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey})))
	return certificateFile, keyFile
}
