package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func writeCertificate(t *testing.T, certFile, keyFile string, serial int64) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	for file, block := range map[string]*pem.Block{
		keyFile: {Type: "PRIVATE KEY", Bytes: der}, certFile: {Type: "CERTIFICATE", Bytes: cert},
	} {
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
}

// Guards against ignoring new certificate files, and against a reload that
// closes open connections.
func TestCertificateReload(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, nil)
	v := c.vms[0]
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writeCertificate(t, certFile, keyFile, 1)
	v.settings.TLSCertificateFile, v.settings.TLSKeyFile = certFile, keyFile
	c.launchVM(v)
	keptTransport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	get := func(transport *http.Transport) (serial int64, reused bool) {
		req := v.request(http.MethodGet, firstKey, "/lots/1")
		req.URL.Scheme = "https"
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
		resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
		if err != nil {
			return 0, false
		}
		// A connection is reused only if the response was read to its end.
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.NoError(t, err)
		if resp.StatusCode != http.StatusOK {
			return 0, false
		}
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64(), reused
	}
	v.eventually("first certificate", func() bool { serial, _ := get(keptTransport); return serial == 1 })
	writeCertificate(t, certFile, keyFile, 2)
	v.eventually("second certificate", func() bool {
		newTransport := keptTransport.Clone()
		defer newTransport.CloseIdleConnections()
		serial, _ := get(newTransport)
		return serial == 2
	})
	serial, reused := get(keptTransport)
	require.Equal(t, int64(1), serial)
	require.True(t, reused)
	keptTransport.CloseIdleConnections()
}
